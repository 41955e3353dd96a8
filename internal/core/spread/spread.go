// Package spread decides which backend server of a data centre holds which layers of a model.
// Servers differ in memory and speed; memory that is not taken by layers holds requests, so a
// server filled with layers serves few requests.
//
// A layout consists of copies of the model. The servers of a copy share the layers in proportion
// to their memory, so that none of them runs out of memory for requests before the others. The
// package does no I/O and reads no clock.
package spread

import (
	"cmp"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Server is a backend server of one data centre.
type Server struct {
	ID   string
	Card routes.Card
	// Slots is the number of concurrent requests for which the server can be the first server; 0
	// means no limit.
	Slots int
	// Held is the range of layers that the server reports to hold.
	Held api.Layers
	// Target is the range that the server was ordered to hold, valid while Loading.
	Target  api.Layers
	Loading bool
	// LoadRemaining is the remaining time of the load, valid while Loading.
	LoadRemaining time.Duration
	// Utilization is the utilization of the memory for requests, from 0 to 1.
	Utilization float64
	// Slowdown is the current slowdown: by what factor the server takes longer than usual. 0 means
	// unknown.
	Slowdown float64
	// Lost is set while a server that has just disappeared may still return. The layout keeps
	// its place, but requests can't use its layers.
	Lost bool
}

// ofModel returns the servers without the layers that the model doesn't have: such a server counts as empty,
// and an order for such layers as not given.
func ofModel(engine *routes.Engine, servers []Server) []Server {
	isOdd := func(l api.Layers) bool { return l != api.Layers{} && !engine.HasLayers(l) }
	if !slices.ContainsFunc(servers, func(s Server) bool { return isOdd(s.Held) || isOdd(s.Target) }) {
		return servers
	}
	servers = slices.Clone(servers)
	for i := range servers {
		if isOdd(servers[i].Held) {
			servers[i].Held = api.Layers{}
		}
		if isOdd(servers[i].Target) {
			servers[i].Target, servers[i].Loading = api.Layers{}, false
		}
	}
	return servers
}

// usable returns the range that requests may use. Layers that are being dropped or loaded are
// excluded.
func (s Server) usable() api.Layers {
	switch {
	case s.Lost:
		return api.Layers{}
	case s.Loading:
		return s.Held.Overlap(s.Target)
	default:
		return s.Held
	}
}

// planned returns the range that the server holds, or will hold once its load is done.
func (s Server) planned() api.Layers {
	if s.Loading {
		return s.Target
	}
	return s.Held
}

// Order is an instruction to a server to hold a range of layers.
type Order struct {
	Server string
	Layers api.Layers
}

// Parameters of the layout. The fill values are fractions of a server's memory that layers may
// take.
const (
	// fillFirst applies to the servers of the first copy, the fastest ones. The rest of their
	// memory is for requests.
	fillFirst = 0.72
	// fillWide is the fill above which a copy is widened by more servers of its slowest kind.
	fillWide = 0.5
	// fillSecond applies to the second copy, which serves what the first one can't.
	fillSecond = 0.85
	// fillFurther applies to all further copies: from the third one on, memory for requests is
	// worth more than another copy.
	fillFurther = 0.70
	// fillExtra applies to a server that is added to an existing layout.
	fillExtra = 0.72
	// fillTransition applies to a server that temporarily holds both its old and its new range.
	// Memory of dropped layers is released only when every request that uses them has ended, and
	// all other servers of a copy wait for the one with the least memory.
	fillTransition = 0.85
	// fillUncovered applies to a server that takes layers nobody else holds.
	fillUncovered = 0.96
)

// copyValue is the value of one more copy of a layer, by the number of existing copies;
// layerCost is the cost of holding one more layer on a server.
var copyValue = []float64{100, 10, 1}

const layerCost = 1.5

// Layout distributes the layers over servers that hold nothing that must be kept. The fastest
// servers make up the first copy, so that a token passes few servers and none that takes several
// times as long. The others make up further copies, and the servers left over hold the layers
// with the fewest copies.
func Layout(engine *routes.Engine, servers []Server) []Order {
	servers = ofModel(engine, servers)
	rest := slices.Clone(servers)
	slices.SortFunc(rest, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Card.Pace, b.Card.Pace), cmp.Compare(engine.MaxLayers(b.Card), engine.MaxLayers(a.Card)), cmp.Compare(a.ID, b.ID))
	})
	placed, position := make([]Server, len(servers)), make(map[string]int, len(servers))
	for i, s := range servers {
		placed[i], position[s.ID] = Server{ID: s.ID, Card: s.Card, Held: s.planned()}, i
	}
	var orders []Order
	for fill, next := fillFirst, fillSecond; ; fill, next = next, fillFurther {
		size := copySize(engine, rest, fill, next)
		if size == 0 && len(orders) == 0 && totalFits(engine, rest) >= engine.Layers {
			size = len(rest)
		}
		if size == 0 {
			return append(orders, fillEmpty(engine, placed)...)
		}
		for _, order := range divideLayers(engine, rest[:size]) {
			orders = append(orders, order)
			placed[position[order.Server]].Held = order.Layers
		}
		rest = rest[size:]
	}
}

func totalFits(engine *routes.Engine, servers []Server) int {
	sum := 0
	for _, s := range servers {
		sum += engine.MaxLayers(s.Card)
	}
	return sum
}

// copySize returns how many of the servers, counted from the first, are needed to hold a whole
// copy within the given fill, or 0 if all of them don't suffice. next is the fill of the
// following copy.
func copySize(engine *routes.Engine, servers []Server, fill, next float64) int {
	for n := range servers {
		if fill*float64(totalFits(engine, servers[:n+1])) >= float64(engine.Layers) {
			return widen(engine, servers, n+1, next)
		}
	}
	return 0
}

// widen returns the number of servers of a copy after adding more servers of its slowest kind.
// They add memory for requests and cost a token no more than one extra hop each. Enough servers
// are left for another copy.
//
// A copy is not widened beyond the number of requests that its first server has slots for. If
// requests take little memory, the additional memory would never be used, while each token
// passes more servers and more layers are on slow ones. The symptoms are slow streams under
// light load and servers that use little of their memory.
func widen(engine *routes.Engine, servers []Server, n int, next float64) int {
	another := next*float64(totalFits(engine, servers[n:])) >= float64(engine.Layers)
	for n < len(servers) && servers[n].Card == servers[n-1].Card && needsMoreRoom(engine, servers[:n]) {
		if another && next*float64(totalFits(engine, servers[n+1:])) < float64(engine.Layers) {
			break
		}
		n++
	}
	return n
}

// needsMoreRoom reports whether a copy can make use of more memory for requests: it is filled
// above fillWide and fits fewer requests than its first server has slots for.
func needsMoreRoom(engine *routes.Engine, members []Server) bool {
	fill := float64(engine.Layers) / float64(totalFits(engine, members))
	if fill <= fillWide {
		return false
	}
	return members[0].Slots == 0 || engine.CapacityAtFill(fill) < float64(members[0].Slots)*engine.TypicalTokens()
}

// divideLayers divides the layers among the servers of a copy in proportion to their memory.
func divideLayers(engine *routes.Engine, members []Server) []Order {
	total := totalFits(engine, members)
	var orders []Order
	at, fits := 0, 0
	for _, s := range members {
		fits += engine.MaxLayers(s.Card)
		// Rounding the running sum leaves no gaps and gives no server more than one layer too
		// many.
		to := min((fits*engine.Layers+total/2)/total, at+engine.MaxLayers(s.Card))
		if to > at {
			orders = append(orders, Order{Server: s.ID, Layers: api.Layers{From: at, To: to}})
			at = to
		}
	}
	return orders
}

// Copies returns, for each layer, the number of servers whose copy requests can use.
func Copies(engine *routes.Engine, servers []Server) []int {
	counts := make([]int, engine.Layers)
	for _, s := range ofModel(engine, servers) {
		addCopies(counts, s.usable())
	}
	return counts
}

// fillEmpty assigns to each empty server the range with the highest value.
func fillEmpty(engine *routes.Engine, servers []Server) []Order {
	now := slices.Clone(servers)
	var orders []Order
	for i, s := range now {
		if s.Held.Len() > 0 || engine.MaxLayers(s.Card) == 0 {
			continue
		}
		window := bestWindow(Copies(engine, now), engine.MaxLayers(s.Card))
		now[i].Held = window
		orders = append(orders, Order{Server: s.ID, Layers: window})
	}
	return orders
}

// bestWindow returns the range with the highest value for a server that fits the given number of
// layers. If every layer has enough copies, it is the range with the fewest. A server is filled
// to fillUncovered only if some layer has no copy.
func bestWindow(counts []int, fits int) api.Layers {
	limit := max(int(fillExtra*float64(fits)), 1)
	if slices.Contains(counts, 0) {
		limit = max(int(fillUncovered*float64(fits)), 1)
	}
	var best api.Layers
	bestValue := 0.0
	for from := range counts {
		sum := 0.0
		for to := from + 1; to <= min(from+limit, len(counts)); to++ {
			sum += value(counts[to-1]) - layerCost
			if sum > bestValue {
				bestValue, best = sum, api.Layers{From: from, To: to}
			}
		}
	}
	if bestValue > 0 {
		return best
	}
	return fewestCopiesWindow(counts, limit)
}

func value(count int) float64 {
	if count < len(copyValue) {
		return copyValue[count]
	}
	return 0
}

func fewestCopiesWindow(counts []int, length int) api.Layers {
	length = min(length, len(counts))
	best, least := 0, -1
	for from := 0; from+length <= len(counts); from++ {
		sum := 0
		for _, count := range counts[from : from+length] {
			sum += count
		}
		if least < 0 || sum < least {
			best, least = from, sum
		}
	}
	return api.Layers{From: best, To: best + length}
}
