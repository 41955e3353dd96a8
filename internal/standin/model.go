// Package standin holds small stand-ins for the systems that the router
// serves: the platform's object API, model engines and a plain service. Tests,
// the dev command and measurements run against them.
package standin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// vocabulary is the number of different tokens; stopToken ends an answer.
const (
	vocabulary = 50021
	stopToken  = 7
)

// Model is a deterministic stand-in for a language model. Each token is a
// function of the prompt, of all tokens before it and of every layer's passage
// in order, so a layer that is skipped, repeated, swapped or run on a wrong KV
// cache changes the answer.
type Model struct {
	Version string
	Layers  int
}

// cache is one layer range's KV cache for a stream: a digest of every position so far.
type cache struct {
	digest    uint64
	positions int
}

func promptCache(prompt string) cache {
	return cache{digest: xxhash.Sum64String(prompt), positions: 0}
}

// extend adds one token's position.
func (c *cache) extend(token uint32) {
	c.digest = mix(c.digest, uint64(token)+1)
	c.positions++
}

func (c *cache) extendAll(tokens []uint32) {
	for _, token := range tokens {
		c.extend(token)
	}
}

// passLayers runs layers [from, to) on a hidden state.
func passLayers(version string, from, to int, hidden, digest uint64) uint64 {
	seed := xxhash.Sum64String(version)
	for layer := from; layer < to; layer++ {
		hidden = mix(hidden^seed, digest+uint64(layer)*0x9e3779b97f4a7c15)
	}
	return hidden
}

// sample turns the last hidden state into a token.
func sample(hidden uint64) uint32 { return uint32(hidden % vocabulary) }

// mix is a bijection in a for each b (the finalizer of a 64-bit hash).
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0xff51afd7ed558ccd)
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 29
	return x
}

// Generate gives the tokens that the model must answer: the oracle of every check.
func (m Model) Generate(prompt string, maxTokens int) []uint32 {
	kv := promptCache(prompt)
	var tokens []uint32
	for len(tokens) < maxTokens {
		token := sample(passLayers(m.Version, 0, m.Layers, 0, kv.digest))
		tokens = append(tokens, token)
		if token == stopToken {
			break
		}
		kv.extend(token)
	}
	return tokens
}

// Text is the oracle's answer as text.
func (m Model) Text(prompt string, maxTokens int) string {
	var text strings.Builder
	for _, token := range m.Generate(prompt, maxTokens) {
		text.WriteString(tokenText(token))
	}
	return text.String()
}

func tokenText(token uint32) string { return " w" + strconv.FormatUint(uint64(token), 36) }
