// Package chain finds the cheapest path through all layers of a model span backend servers that
// each hold a range of the layers. It does no I/O and reads no clock.
package chain

import (
	"math"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/api"
)

// Holder is a backend server that can run any part of the range of layers that it holds.
type Holder struct {
	ID         string
	Address    string
	DataCentre string
	Layers     api.Layers
	// LayerCost is the cost of one layer on this server, HopCost the cost of moving to it, and
	// FirstCost the additional cost if it is the first server of the path.
	LayerCost, HopCost, FirstCost float64
	// NotFirst is set if no path may start at this server.
	NotFirst bool
}

// Part is the range of layers that one server runs on a path.
type Part struct {
	ID      string
	Address string
	Layers  api.Layers
}

// Path is the ordered list of parts that run a request.
type Path []Part

// CoversExactly reports whether the path runs each of the layers once, in order, and uses no server
// twice. It must be checked before each send: any other path gives wrong tokens, and no server
// would detect that, since each runs the layers that it is told to.
func (p Path) CoversExactly(layers int) bool {
	at := 0
	seen := make(map[string]bool, len(p))
	for _, part := range p {
		if part.Layers.From != at || part.Layers.To <= at || seen[part.ID] {
			return false
		}
		seen[part.ID] = true
		at = part.Layers.To
	}
	return at == layers && len(p) > 0
}

// String returns the servers and their ranges, for logs.
func (p Path) String() string {
	parts := make([]string, 0, len(p))
	for _, part := range p {
		parts = append(parts, part.ID+part.Layers.String())
	}
	return strings.Join(parts, " ")
}

// searchState is a state of the search: all layers before a boundary have run, the last of them in
// a data centre. It is encoded as the boundary's index times the number of data centres, plus the
// data centre's index.
type searchState int

// arrival is the last part of the cheapest path to a state.
type arrival struct {
	cost     float64
	previous searchState
	holder   int
	reached  bool
}

// holderSpan describes a holder by the index of its data centre and the indices of the boundaries
// where its layers begin and end.
type holderSpan struct {
	dataCentre, from, to int
}

// search is the state of one path search.
type search struct {
	holders []Holder
	spans   []holderSpan
	// bounds are the layers where ranges begin or end, in ascending order; a path changes servers
	// only there. holdersAt lists for each boundary the holders of the layer after it.
	bounds      []int
	holdersAt   [][]int
	dataCentres []string
	// crossingCost is the cost of continuing in another data centre. Infinity forbids it.
	crossingCost float64
	arrivals     []arrival
}

// CheapestPath returns the cheapest path through the layers [from, layers), or false if there is
// none. If from isn't 0, the path continues from the given data centre.
func CheapestPath(from, layers int, dataCentre string, crossingCost float64, holders []Holder) (Path, bool) {
	if layers <= from {
		return nil, false
	}
	s := newSearch(from, layers, dataCentre, crossingCost, holders)
	s.arrivals[0] = arrival{holder: -1, reached: true} // at layer from, in dataCentre
	for at := range s.bounds {
		for dataCentre := range s.dataCentres {
			if current := s.state(at, dataCentre); s.arrivals[current].reached {
				s.extend(current, at, dataCentre)
			}
		}
	}
	end, reached := s.cheapestEnd()
	if !reached {
		return nil, false
	}
	return mergeByServer(s.backtrack(end)), true
}

func newSearch(from, layers int, dataCentre string, crossingCost float64, holders []Holder) *search {
	s := &search{holders: holders, spans: make([]holderSpan, len(holders)), crossingCost: crossingCost, dataCentres: []string{dataCentre}}
	s.bounds = boundaries(from, layers, holders)
	s.holdersAt = make([][]int, len(s.bounds))
	for i, h := range holders {
		dataCentre := slices.Index(s.dataCentres, h.DataCentre)
		if dataCentre < 0 {
			dataCentre = len(s.dataCentres)
			s.dataCentres = append(s.dataCentres, h.DataCentre)
		}
		begin, _ := slices.BinarySearch(s.bounds, min(max(h.Layers.From, from), layers))
		end, _ := slices.BinarySearch(s.bounds, min(max(h.Layers.To, from), layers))
		s.spans[i] = holderSpan{dataCentre: dataCentre, from: begin, to: end}
		for at := begin; at < end; at++ {
			s.holdersAt[at] = append(s.holdersAt[at], i)
		}
	}
	s.arrivals = make([]arrival, len(s.bounds)*len(s.dataCentres))
	return s
}

func (s *search) state(bound, dataCentre int) searchState {
	return searchState(bound*len(s.dataCentres) + dataCentre)
}

// cheapestEnd returns the cheapest state after the last layer.
func (s *search) cheapestEnd() (end searchState, reached bool) {
	for dataCentre := range s.dataCentres {
		at := s.state(len(s.bounds)-1, dataCentre)
		if known := s.arrivals[at]; known.reached && (!reached || known.cost < s.arrivals[end].cost) {
			end, reached = at, true
		}
	}
	return end, reached
}

// extend tries each part that begins at a state.
func (s *search) extend(current searchState, at, dataCentre int) {
	begins := s.bounds[at] == 0
	for _, i := range s.holdersAt[at] {
		h, span := s.holders[i], s.spans[i]
		entry := s.arrivals[current].cost + h.HopCost
		switch {
		case begins && h.NotFirst:
			continue
		case begins:
			entry += h.FirstCost
		case dataCentre != span.dataCentre && math.IsInf(s.crossingCost, 1):
			continue
		case dataCentre != span.dataCentre:
			entry += s.crossingCost
		}
		for to := at + 1; to <= span.to; to++ {
			next, total := s.state(to, span.dataCentre), entry+h.LayerCost*float64(s.bounds[to]-s.bounds[at])
			if known := s.arrivals[next]; !known.reached || total < known.cost {
				s.arrivals[next] = arrival{cost: total, previous: current, holder: i, reached: true}
			}
		}
	}
}

// boundaries returns the distinct layers where ranges begin or end, in ascending order.
func boundaries(from, layers int, holders []Holder) []int {
	bounds := make([]int, 0, 2*len(holders)+2)
	bounds = append(bounds, from, layers)
	for _, h := range holders {
		bounds = append(bounds, min(max(h.Layers.From, from), layers), min(max(h.Layers.To, from), layers))
	}
	slices.Sort(bounds)
	return slices.Compact(bounds)
}

// backtrack returns the cheapest path to a state.
func (s *search) backtrack(end searchState) Path {
	var path Path
	for at := end; s.arrivals[at].holder >= 0; at = s.arrivals[at].previous {
		h, last := s.holders[s.arrivals[at].holder], s.arrivals[at]
		layers := api.Layers{From: s.bounds[int(last.previous)/len(s.dataCentres)], To: s.bounds[int(at)/len(s.dataCentres)]}
		path = append(path, Part{ID: h.ID, Address: h.Address, Layers: layers})
	}
	slices.Reverse(path)
	return path
}

// mergeByServer merges the parts of a server that occurs twice. A cheap server in the middle of
// another's range gives a path that returns to the other, which servers reject. Since the other
// also holds the layers in between, it runs them, too.
func mergeByServer(path Path) Path {
	var merged Path
	for _, part := range path {
		at := slices.IndexFunc(merged, func(p Part) bool { return p.ID == part.ID })
		if at >= 0 {
			merged = merged[:at+1]
			merged[at].Layers.To = part.Layers.To
			continue
		}
		merged = append(merged, part)
	}
	return merged
}

// Uncovered returns the ranges of layers that no holder has.
func Uncovered(layers int, holders []Holder) []api.Layers {
	counts := CopiesPerLayer(layers, holders)
	var gaps []api.Layers
	for layer, count := range counts {
		switch {
		case count > 0:
		case len(gaps) > 0 && gaps[len(gaps)-1].To == layer:
			gaps[len(gaps)-1].To++
		default:
			gaps = append(gaps, api.Layers{From: layer, To: layer + 1})
		}
	}
	return gaps
}

// CopiesPerLayer counts the holders of each layer.
func CopiesPerLayer(layers int, holders []Holder) []int {
	counts := make([]int, layers)
	for _, h := range holders {
		for layer := max(h.Layers.From, 0); layer < min(h.Layers.To, layers); layer++ {
			counts[layer]++
		}
	}
	return counts
}
