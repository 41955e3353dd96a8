package routes

import "time"

// Engine describes the servers of a model whose layers are spread over them.
type Engine struct {
	// Layers is the number of the model's layers.
	Layers int
	// LayerMB is the memory of one layer's weights.
	LayerMB float64
	// Step is the time of one token through all layers at pace 1, without load.
	Step time.Duration
	// PerSequence is added to Step for each request of the batch.
	PerSequence time.Duration
	// PerContext is added to Step for each 1,000 tokens of each request of the batch.
	PerContext time.Duration
	// ReadPerSecond is the prompt tokens that all layers read in a second at 1.
	ReadPerSecond float64
	// TokenBytes is the memory of one token of a request over all layers.
	TokenBytes float64
	// Prompt and Answer are the usual lengths, in tokens.
	Prompt, Answer int
	// LoadTime is the time to load all layers.
	LoadTime time.Duration
	// LoadsAtOnce is how many loads run at full speed; beyond, each takes longer in
	// proportion. 0 is any number.
	LoadsAtOnce int
	// Cards describes the kinds of accelerator by name.
	Cards map[string]Card
}

// Card is a kind of accelerator.
type Card struct {
	// MB is its memory, for layers and for requests.
	MB float64
	// Pace and Read are times the engine's step and reading times.
	Pace, Read float64
}

// Knows tells whether a kind of accelerator is described. Of another one neither the
// pace nor the memory is known, and it must not pass for a fast one.
func (e *Engine) Knows(card string) bool {
	_, known := e.Cards[card]
	return known
}

// Fits is the most layers that a card can hold.
func (e *Engine) Fits(card Card) int {
	if e.LayerMB <= 0 {
		return 0
	}
	return int(card.MB / e.LayerMB)
}

const bytesPerMB = 1e6

// Room is what fits beside a number of layers held, in tokens times layers: a
// request takes its tokens for each of the layers that it runs on a server.
func (e *Engine) Room(card Card, layers int) float64 {
	if layers == 0 || e.TokenBytes <= 0 {
		return 0
	}
	free := (card.MB - float64(layers)*e.LayerMB) * bytesPerMB
	return max(free, 0) / (e.TokenBytes / float64(e.Layers))
}

// RoomAt is the tokens of requests that servers have room for beside each of their layers
// when layers take such a part of their memory.
func (e *Engine) RoomAt(fill float64) float64 {
	if fill <= 0 || e.TokenBytes <= 0 {
		return 0
	}
	return max(1-fill, 0) / fill * e.LayerMB * bytesPerMB / (e.TokenBytes / float64(e.Layers))
}

// LoadFor is the time to load so many layers.
func (e *Engine) LoadFor(layers int) time.Duration {
	return e.LoadTime * time.Duration(layers) / time.Duration(max(e.Layers, 1))
}

// StepFor is the time of one token through all layers at pace 1 in a batch of so
// many usual requests.
func (e *Engine) StepFor(requests float64) time.Duration {
	each := float64(e.PerSequence) + float64(e.PerContext)*e.Usual()/1000
	return e.Step + time.Duration(each*requests)
}

// Usual is the usual length of a request, prompt and answer, in tokens.
func (e *Engine) Usual() float64 { return float64(max(e.Prompt+e.Answer, 1)) }
