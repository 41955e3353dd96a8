package spread

import "oleandershunt.example/oleandershunt/api"

// strength is how much a server adds to each layer of a range: the tokens of
// requests that it has room for, by how slowly it works them off.
func (p *plan) strength(s Server, held api.Layers) float64 {
	if held.Len() == 0 {
		return 0
	}
	return p.engine.Room(s.Card, held.Len()) / float64(held.Len()) / max(s.Card.Pace, 0.1) / max(s.Pace, 1)
}

// layer is what the servers that hold it make of it.
type layer struct {
	strength float64
	copies   int
}

// layers are what the servers make of each layer. The place of a lost server is kept
// for it.
func (p *plan) layers() []layer {
	layers := make([]layer, p.engine.Layers)
	for _, s := range p.servers {
		strength := p.strength(s, s.planned())
		add(layers, s.planned(), layer{strength, 1})
		add(layers, s.planned().Overlap(firstLayer), layer{p.atFirst(s, strength) - strength, 0})
	}
	return layers
}

// firstLayer is where requests begin.
var firstLayer = api.Layers{From: 0, To: 1}

// atFirst is how much a server adds to the first layer: what begins there needs a slot, too.
//
// What can go wrong: first servers have memory for more requests than slots. The first
// layer looks as strong as the others, so spare servers stand elsewhere while requests
// queue up to begin.
func (p *plan) atFirst(s Server, strength float64) float64 {
	if s.Slots == 0 {
		return strength
	}
	return min(strength, float64(s.Slots)*p.engine.Usual()/max(s.Card.Pace, 0.1)/max(s.Pace, 1))
}

// weakest is the window of a length that most needs another server.
func (p *plan) weakest(length int, fits func(api.Layers) bool) api.Layers {
	layers := p.layers()
	length = min(length, len(layers))
	var best api.Layers
	most := -1.0
	for from := 0; from+length <= len(layers); from++ {
		window := api.Layers{From: from, To: from + length}
		if !fits(window) {
			continue
		}
		if sum := need(layers[window.From:window.To]); sum > most {
			best, most = window, sum
		}
	}
	return best
}

func anyWindow(api.Layers) bool { return true }

// need is how much layers need another server: the weaker, the more, without
// bounds. One copy counts for half: with its server the data centre stands still.
func need(layers []layer) float64 {
	sum := 0.0
	for _, l := range layers {
		strength := l.strength
		if l.copies == 1 {
			strength /= 2
		}
		sum += 1 / ((1 + strength) * (1 + strength))
	}
	return sum
}

func add(layers []layer, held api.Layers, by layer) {
	for at := max(held.From, 0); at < min(held.To, len(layers)); at++ {
		layers[at].strength += by.strength
		layers[at].copies += by.copies
	}
}
