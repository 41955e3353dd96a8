package spread

import "oleandershunt.example/oleandershunt/api"

// capacity returns how much a server adds to the capacity of each layer of a range: the tokens
// of requests that it has memory for, divided by how slowly it processes them.
func (p *planner) capacity(s Server, held api.Layers) float64 {
	if held.Len() == 0 {
		return 0
	}
	return p.engine.RequestCapacity(s.Card, held.Len()) / float64(held.Len()) / max(s.Card.Pace, 0.1) / max(s.Slowdown, 1)
}

// layerState is the total capacity and the number of copies of a layer.
type layerState struct {
	capacity float64
	copies   int
}

// layerStates returns the state of each layer. Lost servers count, because their place is kept.
func (p *planner) layerStates() []layerState {
	states := make([]layerState, p.engine.Layers)
	for _, s := range p.servers {
		capacity := p.capacity(s, s.planned())
		addToLayers(states, s.planned(), layerState{capacity, 1})
		addToLayers(states, s.planned().Overlap(firstLayer), layerState{p.firstLayerCapacity(s, capacity) - capacity, 0})
	}
	return states
}

// firstLayer is the layer at which every request starts.
var firstLayer = api.Layers{From: 0, To: 1}

// firstLayerCapacity returns how much a server adds to the capacity of the first layer, where
// each request also needs a slot.
//
// If first servers have memory for more requests than slots, the first layer would otherwise
// seem to have as much capacity as the others, and spare servers would go elsewhere while
// requests queue to start.
func (p *planner) firstLayerCapacity(s Server, capacity float64) float64 {
	if s.Slots == 0 {
		return capacity
	}
	return min(capacity, float64(s.Slots)*p.engine.TypicalTokens()/max(s.Card.Pace, 0.1)/max(s.Slowdown, 1))
}

// weakestWindow returns the range of the given length with the highest deficit among those that
// fits accepts.
func (p *planner) weakestWindow(length int, fits func(api.Layers) bool) api.Layers {
	layers := p.layerStates()
	length = min(length, len(layers))
	var best api.Layers
	highest := -1.0
	for from := 0; from+length <= len(layers); from++ {
		window := api.Layers{From: from, To: from + length}
		if !fits(window) {
			continue
		}
		if sum := deficit(layers[window.From:window.To]); sum > highest {
			best, highest = window, sum
		}
	}
	return best
}

func anyWindow(api.Layers) bool { return true }

// deficit returns how much layers need another server. It decreases steadily as capacity grows,
// without a cutoff. A single copy counts for half its capacity: if its server fails, the whole
// data centre is unavailable.
func deficit(layers []layerState) float64 {
	sum := 0.0
	for _, l := range layers {
		capacity := l.capacity
		if l.copies == 1 {
			capacity /= 2
		}
		sum += 1 / ((1 + capacity) * (1 + capacity))
	}
	return sum
}

func addToLayers(layers []layerState, held api.Layers, delta layerState) {
	for at := max(held.From, 0); at < min(held.To, len(layers)); at++ {
		layers[at].capacity += delta.capacity
		layers[at].copies += delta.copies
	}
}
