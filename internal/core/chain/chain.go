// Package chain finds the cheapest way through all layers of a model over
// backend servers that each hold a range of them. It does no I/O and reads no
// clock.
package chain

import (
	"math"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/api"
)

// Holder is a backend server that may run a part of the layers that it holds.
type Holder struct {
	ID      string
	Address string
	// Place is the data centre.
	Place  string
	Layers api.Layers
	// Cost is the price of one layer on this server, Hop that of a change to it, and
	// First what is added when it is the first one.
	Cost, Hop, First float64
	// NotFirst says that no path may begin here.
	NotFirst bool
}

// Part is one server's range on a path.
type Part struct {
	ID      string
	Address string
	Layers  api.Layers
}

// Path is the parts that run a request, in order.
type Path []Part

// Tiles tells whether the path runs each of the layers once, in order, and no
// server twice. A path that doesn't would give wrong tokens, which nobody on the
// way notices: servers run what they are told. So it is asked before each send.
func (p Path) Tiles(layers int) bool {
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

// String names the servers and their ranges, for logs.
func (p Path) String() string {
	parts := make([]string, 0, len(p))
	for _, part := range p {
		parts = append(parts, part.ID+part.Layers.String())
	}
	return strings.Join(parts, " ")
}

// spot is a state of the search: all layers before a boundary are run, the last of them in
// a data centre. It is the number of the boundary times that of data centres, and the
// number of the data centre.
type spot int

// step is the last part of the cheapest way to a spot.
type step struct {
	cost    float64
	from    spot
	holder  int
	reached bool
}

// span is a holder as the search sees it: its data centre, and the boundaries where its
// layers begin and end, by number.
type span struct {
	place, from, to int
}

// search is one search for a path.
type search struct {
	holders []Holder
	spans   []span
	// bounds are the layers where ranges begin or end, in order: a path changes servers
	// only there. covering lists for each the holders that run on from there.
	bounds   []int
	covering [][]int
	places   []string
	// cross is what is added when a path goes on in another data centre. Infinite
	// forbids it.
	cross float64
	best  []step
}

// Find returns the cheapest path through layers [from, layers); one that begins
// at a later layer goes on at a place.
func Find(from, layers int, place string, cross float64, holders []Holder) (Path, bool) {
	if layers <= from {
		return nil, false
	}
	s := newSearch(from, layers, place, cross, holders)
	s.best[0] = step{holder: -1, reached: true} // at from, in place
	for at := range s.bounds {
		for place := range s.places {
			if here := s.spot(at, place); s.best[here].reached {
				s.extend(here, at, place)
			}
		}
	}
	end, reached := s.end()
	if !reached {
		return nil, false
	}
	return merge(s.walk(end)), true
}

func newSearch(from, layers int, place string, cross float64, holders []Holder) *search {
	s := &search{holders: holders, spans: make([]span, len(holders)), cross: cross, places: []string{place}}
	s.bounds = boundaries(from, layers, holders)
	s.covering = make([][]int, len(s.bounds))
	for i, h := range holders {
		number := slices.Index(s.places, h.Place)
		if number < 0 {
			number = len(s.places)
			s.places = append(s.places, h.Place)
		}
		begin, _ := slices.BinarySearch(s.bounds, min(max(h.Layers.From, from), layers))
		end, _ := slices.BinarySearch(s.bounds, min(max(h.Layers.To, from), layers))
		s.spans[i] = span{place: number, from: begin, to: end}
		for at := begin; at < end; at++ {
			s.covering[at] = append(s.covering[at], i)
		}
	}
	s.best = make([]step, len(s.bounds)*len(s.places))
	return s
}

func (s *search) spot(bound, place int) spot { return spot(bound*len(s.places) + place) }

// end is the spot after the last layer that is reached at least cost.
func (s *search) end() (end spot, reached bool) {
	for place := range s.places {
		at := s.spot(len(s.bounds)-1, place)
		if known := s.best[at]; known.reached && (!reached || known.cost < s.best[end].cost) {
			end, reached = at, true
		}
	}
	return end, reached
}

// extend tries each part that begins at a spot.
func (s *search) extend(here spot, at, place int) {
	begins := s.bounds[at] == 0
	for _, i := range s.covering[at] {
		h, over := s.holders[i], s.spans[i]
		entry := s.best[here].cost + h.Hop
		switch {
		case begins && h.NotFirst:
			continue
		case begins:
			entry += h.First
		case place != over.place && math.IsInf(s.cross, 1):
			continue
		case place != over.place:
			entry += s.cross
		}
		for to := at + 1; to <= over.to; to++ {
			next, total := s.spot(to, over.place), entry+h.Cost*float64(s.bounds[to]-s.bounds[at])
			if known := s.best[next]; !known.reached || total < known.cost {
				s.best[next] = step{cost: total, from: here, holder: i, reached: true}
			}
		}
	}
}

// boundaries lists the layers where ranges begin or end, each once, in order.
func boundaries(from, layers int, holders []Holder) []int {
	places := make([]int, 0, 2*len(holders)+2)
	places = append(places, from, layers)
	for _, h := range holders {
		places = append(places, min(max(h.Layers.From, from), layers), min(max(h.Layers.To, from), layers))
	}
	slices.Sort(places)
	return slices.Compact(places)
}

// walk follows the cheapest way to a spot back to where the search began.
func (s *search) walk(end spot) Path {
	var path Path
	for at := end; s.best[at].holder >= 0; at = s.best[at].from {
		h, last := s.holders[s.best[at].holder], s.best[at]
		layers := api.Layers{From: s.bounds[int(last.from)/len(s.places)], To: s.bounds[int(at)/len(s.places)]}
		path = append(path, Part{ID: h.ID, Address: h.Address, Layers: layers})
	}
	slices.Reverse(path)
	return path
}

// merge joins parts of one server. A cheap server in the middle of another's
// range makes a path that comes back to the other, which servers refuse; since
// the other holds what lies between, it runs that too.
func merge(path Path) Path {
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

// Uncovered lists the ranges of layers that no holder has.
func Uncovered(layers int, holders []Holder) []api.Layers {
	counts := Copies(layers, holders)
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

// Copies counts the holders of each layer.
func Copies(layers int, holders []Holder) []int {
	counts := make([]int, layers)
	for _, h := range holders {
		for layer := max(h.Layers.From, 0); layer < min(h.Layers.To, layers); layer++ {
			counts[layer]++
		}
	}
	return counts
}
