package engine

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Bounds of prefix blocks.
const (
	// PrefixBlockBytes is the length of prompt that one prefix block covers.
	PrefixBlockBytes = 64
	// MaxPrefixBlocks bounds the blocks named of one prompt.
	MaxPrefixBlocks = 64
)

// PrefixBlocks names the whole blocks at the start of a prompt. Each name
// depends on everything before it, so two prompts which share a name share the
// whole prefix up to that block's end.
func PrefixBlocks(prompt string) []uint64 {
	count := min(len(prompt)/PrefixBlockBytes, MaxPrefixBlocks)
	if count == 0 {
		return nil
	}
	blocks := make([]uint64, count)
	digest := xxhash.New()
	for i := range blocks {
		_, _ = digest.WriteString(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		blocks[i] = digest.Sum64()
	}
	return blocks
}

// CacheEventKind says what happened to a prefix block.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheEvicted CacheEventKind = "evicted"
)

// CacheEvent says that an engine holds a prefix block now, or no longer.
type CacheEvent struct {
	// Sequence counts the engine's events from 1; a missing number is an event lost.
	Sequence uint64         `json:"sequence"`
	Kind     CacheEventKind `json:"kind"`
	Block    uint64         `json:"block"`
}

// CacheEvents is a batch of an engine's events. They come late, and some never.
type CacheEvents struct {
	Server      string       `json:"server"`
	Incarnation uint64       `json:"incarnation"`
	Events      []CacheEvent `json:"events,omitempty"`
	// Next is the sequence number to ask after in the next call.
	Next uint64 `json:"next"`
}

// KV is a copy of one request's KV cache in the layers of one engine.
type KV struct {
	Request string `json:"request"`
	Model   string `json:"model"`
	Version string `json:"version"`
	// Layers is the range, as [from, to).
	From int `json:"from"`
	To   int `json:"to"`
	// Positions is how many tokens of the answer the cache covers.
	Positions int `json:"positions"`
	// Data is the engine's own format.
	Data []byte `json:"data"`
}

// ErrKVAbsent says that an engine does not hold the KV cache asked for.
var ErrKVAbsent = eris.New("engine does not hold this KV cache: prefill instead")
