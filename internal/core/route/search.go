package route

import (
	"cmp"
	"math"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// searchState is the best known partial path to a cut and data centre.
type searchState struct {
	cost float64
	// step is the last stage of the partial path, and previous the index of the
	// state before it.
	step     step
	previous int
	visited  bool
}

// search finds the path with the least estimated time per token through a range
// of layers, from one data centre to another, over all classes and not only those
// with flow. A server may run a part of its range. search is used if sampling
// fails, and to fill the gaps of a path.
//
// The ends of the range need not be cuts. The path may end in any data centre if
// the index to is negative.
func (d *decision) search(layers api.Layers, from, to int) ([]step, bool) {
	g := d.graph
	cuts := g.cutsWithin(layers)
	dataCentres := len(g.dataCentres)
	states := make([]searchState, len(cuts)*dataCentres)
	states[from] = searchState{visited: true, previous: -1}
	for i, cut := range cuts[:len(cuts)-1] {
		for dc := range dataCentres {
			if states[i*dataCentres+dc].visited {
				d.expand(states, cuts, i*dataCentres+dc, cut, dc)
			}
		}
	}
	best := -1
	least := math.Inf(1)
	for dc := range dataCentres {
		state := states[(len(cuts)-1)*dataCentres+dc]
		cost, linkUp := state.cost, true
		if to >= 0 {
			cost += g.delays[dc][to]
			linkUp = g.linkUp[dc][to]
		}
		if state.visited && linkUp && cost < least {
			best, least = (len(cuts)-1)*dataCentres+dc, cost
		}
	}
	if best < 0 {
		return nil, false
	}
	return backtrack(states, best), true
}

// expand extends the state at index from by every class that has the layer at its
// cut loaded.
func (d *decision) expand(states []searchState, cuts []int, from, cut, dc int) {
	g := d.graph
	last := cuts[len(cuts)-1]
	for _, c := range g.ordered {
		loaded := c.key.layers
		if loaded.From > cut || loaded.To <= cut || !g.linkUp[dc][c.dataCentre] {
			continue
		}
		s := d.choose(c)
		if s == nil {
			continue
		}
		run := api.Layers{From: cut, To: min(loaded.To, last)}
		share := float64(run.Len()) / float64(loaded.Len())
		cost := states[from].cost + g.delays[dc][c.dataCentre] + s.secondsPerToken(d.now)*share
		end, _ := slices.BinarySearch(cuts, run.To)
		to := end*len(g.dataCentres) + c.dataCentre
		if !states[to].visited || cost < states[to].cost {
			states[to] = searchState{cost: cost, step: step{server: s, dataCentre: c.dataCentre, layers: run}, previous: from, visited: true}
		}
	}
}

func backtrack(states []searchState, at int) []step {
	var steps []step
	for states[at].previous >= 0 {
		steps = append(steps, states[at].step)
		at = states[at].previous
	}
	slices.Reverse(steps)
	return steps
}

// cutsWithin returns the cuts inside a range and the range's ends.
func (g *graph) cutsWithin(layers api.Layers) []int {
	cuts := []int{layers.From, layers.To}
	for _, cut := range g.cuts {
		if layers.From < cut && cut < layers.To {
			cuts = append(cuts, cut)
		}
	}
	slices.SortFunc(cuts, cmp.Compare[int])
	return cuts
}
