package routes

import (
	"math"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// Engine describes a service whose servers each hold some layers of a model.
type Engine struct {
	// Layers is the number of layers of the model.
	Layers int
	// LayerMB is the memory of one layer's weights in megabytes.
	LayerMB float64
	// Step is the time of one token through all layers at pace 1 and without load.
	Step time.Duration
	// PerSequence is added to Step for each request of the batch.
	PerSequence time.Duration
	// PerContext is added to Step for each 1,000 tokens of each request of the batch.
	PerContext time.Duration
	// ReadPerSecond is the number of prompt tokens that all layers process in a second on a card
	// with a Read of 1.
	ReadPerSecond float64
	// Chunk is the maximum number of prompt tokens that a server reads in a step. 0 means any number.
	Chunk float64
	// Stride is the number of steps of a pass, at the end of which a server begins with new requests.
	Stride float64
	// TokenBytes is the memory of one token of a request over all layers, in bytes.
	TokenBytes float64
	// TypicalPrompt and TypicalAnswer are the typical lengths in tokens.
	TypicalPrompt, TypicalAnswer int
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// LoadsAtOnce is the number of concurrent loads that run at full speed. Beyond it, each takes
	// proportionally longer. 0 means any number.
	LoadsAtOnce int
	// Cards are the kinds of accelerator by name.
	Cards map[string]Card
}

// Card is a kind of accelerator.
type Card struct {
	// MB is the memory for layers and requests, in megabytes.
	MB float64
	// Pace and Read are factors on the engine's step time and prompt reading time.
	Pace, Read float64
}

// HasCard reports whether a kind of accelerator is configured. The pace and memory of an unknown
// one aren't known, and it must not count as a fast one.
func (e *Engine) HasCard(card string) bool {
	_, known := e.Cards[card]
	return known
}

// HasLayers reports whether a range is one of the model's layers. An entry may name others: it comes from
// another writer, or is about a model of another configuration.
func (e *Engine) HasLayers(layers api.Layers) bool {
	return layers.From >= 0 && layers.From < layers.To && layers.To <= e.Layers
}

// MaxLayers returns the maximum number of layers that a card can hold.
func (e *Engine) MaxLayers(card Card) int {
	if e.LayerMB <= 0 {
		return 0
	}
	return int(card.MB / e.LayerMB)
}

const bytesPerMB = 1e6

// RequestCapacity returns the memory for requests beside a number of layers, in tokens times layers: a request
// uses its tokens for each layer that it runs on a server.
func (e *Engine) RequestCapacity(card Card, layers int) float64 {
	if layers == 0 || e.TokenBytes <= 0 {
		return 0
	}
	free := (card.MB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(free, 0) / (e.TokenBytes / float64(e.Layers))
}

// CapacityAtFill returns the number of request tokens that servers have memory for beside each of their
// layers if the layers use the fraction fill of their memory.
func (e *Engine) CapacityAtFill(fill float64) float64 {
	if fill <= 0 || e.TokenBytes <= 0 {
		return 0
	}
	return max(1-fill, 0) / fill * e.LayerMB * bytesPerMB / (e.TokenBytes / float64(e.Layers))
}

// LoadTimeFor returns the time to load a number of layers.
func (e *Engine) LoadTimeFor(layers int) time.Duration {
	return e.LoadTime * time.Duration(layers) / time.Duration(max(e.Layers, 1))
}

// StepTime returns the time of one token through all layers at pace 1 in a batch of so many typical
// requests.
func (e *Engine) StepTime(requests float64) time.Duration {
	each := float64(e.PerSequence) + float64(e.PerContext)*e.TypicalTokens()/1000
	return e.Step + time.Duration(each*requests)
}

// TypicalTokens returns the typical length of a request, prompt and answer, in tokens.
func (e *Engine) TypicalTokens() float64 { return float64(max(e.TypicalPrompt+e.TypicalAnswer, 1)) }

// readShare is the part of their time in which servers are expected to read prompts while they also
// generate tokens.
const readShare = 0.5

// ReadRate returns the number of prompt tokens that a server with so many layers reads in a second while
// it also generates tokens. It is 0 if unknown.
func (e *Engine) ReadRate(card Card, layers int) float64 {
	if layers <= 0 || e.ReadPerSecond <= 0 {
		return 0
	}
	part := float64(layers) / float64(e.Layers)
	idle := e.ReadPerSecond / max(card.Read, MinCardFactor) / part
	rate := readShare * idle
	if e.Chunk > 0 {
		step := e.Step.Seconds() * max(card.Pace, MinCardFactor) * part
		rate = min(rate, e.Chunk/(step+e.Chunk/idle))
	}
	return rate
}

// FirstEvent returns the time to the first event of a typical prompt on idle servers with a kind of card:
// it is read a chunk in each step, after the pass in which it arrived.
func (e *Engine) FirstEvent(card Card) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	steps := e.Stride + 1
	if e.Chunk > 0 {
		steps += math.Ceil(float64(e.TypicalPrompt) / e.Chunk)
	}
	read := float64(e.TypicalPrompt) / e.ReadPerSecond * max(card.Read, MinCardFactor)
	return time.Duration(steps*float64(e.Step)*max(card.Pace, MinCardFactor) + read*float64(time.Second))
}

// MinCardFactor is the minimum of a card's factors: without a factor a card doesn't count as infinitely
// fast.
const MinCardFactor = 0.1
