// Package spread chooses which backend server of a data centre holds which
// layers of a model. Servers differ in memory and pace; what layers leave of the
// memory holds requests, so a server filled with layers serves few.
//
// The layout is made of copies: each copy's servers share the layers in
// proportion to their memory, so that no server of it runs out of room for
// requests before the others. It does no I/O and reads no clock.
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
	// Slots is how many requests it works on at once of those that begin at it. 0 is any
	// number.
	Slots int
	// Holds is the range held, by the server's own word.
	Holds api.Layers
	// Ordered is the range that it was told to hold, while that is Loading.
	Ordered api.Layers
	Loading bool
	// Wait is how long the load still takes, while that is Loading.
	Wait time.Duration
	// Used is the part of the room for requests that is taken.
	Used float64
	// Pace is how many times as long as usual the server takes now. 0 is not known.
	Pace float64
	// Lost says that the server went a moment ago and may be back soon. The layout
	// keeps its place, but nobody can use what it held.
	Lost bool
}

// usable is the range that requests may use: of what is given up nothing, and of
// what is being loaded nothing yet.
func (s Server) usable() api.Layers {
	switch {
	case s.Lost:
		return api.Layers{}
	case s.Loading:
		return s.Holds.Overlap(s.Ordered)
	default:
		return s.Holds
	}
}

// planned is the range that the server has or will have.
func (s Server) planned() api.Layers {
	if s.Loading {
		return s.Ordered
	}
	return s.Holds
}

// Order tells a server which range to hold.
type Order struct {
	Server string
	Layers api.Layers
}

// The figures of the layout.
const (
	// fillFirst is the part of the memory that layers take on the servers of the
	// first copy, the fastest ones. The rest is for requests.
	fillFirst = 0.72
	// roomy is the part down to which a copy is widened by more servers of its slowest
	// kind.
	roomy = 0.5
	// fillNext is the same for the second copy, which takes what the first can't.
	fillNext = 0.85
	// fillMore is the same for more copies than two: from there on room for requests is
	// worth more than a copy.
	fillMore = 0.70
	// spare is the part of its memory that a server fills which adds to a layout.
	spare = 0.72
	// grown is the part that a server may fill on its way from one range to another.
	// Memory taken comes back only when every request that passes the layers given
	// up has ended, and all others on a path wait for the server with least room.
	grown = 0.85
	// crowded is the part that a server may fill to hold layers that nobody holds.
	crowded = 0.96
)

// The worth of one more copy of a layer, by how many there are, and the cost of
// a layer more on a server.
var worthOfCopy = []float64{100, 10, 1}

const layerCost = 1.5

// Layout lays the layers out over servers that hold nothing that must be kept.
// The fastest servers make up the first copy: a token then passes few servers,
// and none that takes several times as long. The others make further copies,
// and what is left over holds the layers with the fewest.
func Layout(engine *routes.Engine, servers []Server) []Order {
	rest := slices.Clone(servers)
	slices.SortFunc(rest, func(a, b Server) int {
		return cmp.Or(cmp.Compare(a.Card.Pace, b.Card.Pace), cmp.Compare(engine.Fits(b.Card), engine.Fits(a.Card)), cmp.Compare(a.ID, b.ID))
	})
	placed := make([]Server, len(servers))
	for i, s := range servers {
		placed[i] = Server{ID: s.ID, Card: s.Card, Holds: s.planned()}
	}
	var orders []Order
	for fill, next := fillFirst, fillNext; ; fill, next = next, fillMore {
		lane := lane(engine, rest, fill, next)
		if lane == 0 && len(orders) == 0 && total(engine, rest) >= engine.Layers {
			lane = len(rest)
		}
		if lane == 0 {
			return append(orders, fillEmpty(engine, placed)...)
		}
		for _, order := range share(engine, rest[:lane]) {
			orders = append(orders, order)
			at := slices.IndexFunc(placed, func(s Server) bool { return s.ID == order.Server })
			placed[at].Holds = order.Layers
		}
		rest = rest[lane:]
	}
}

func total(engine *routes.Engine, servers []Server) int {
	sum := 0
	for _, s := range servers {
		sum += engine.Fits(s.Card)
	}
	return sum
}

// lane counts the servers, from the first on, that hold a whole copy in a part of
// their memory. 0 when all of them don't. next is the part for the copy after it.
func lane(engine *routes.Engine, servers []Server, fill, next float64) int {
	for n := range servers {
		if fill*float64(total(engine, servers[:n+1])) >= float64(engine.Layers) {
			return widen(engine, servers, n+1, next)
		}
	}
	return 0
}

// widen counts the servers of a copy that takes in more of its slowest kind: they
// add room for requests and cost a token no more than a change of servers each. It
// leaves what another copy needs.
//
// What can go wrong: requests take little memory, and a copy is widened to have room for
// more of them than its first server has slots. The room is never used, while each token
// passes more servers, and more layers lie on slow ones. One notices streams that are slow
// on a quiet day, and servers that use little of their memory.
func widen(engine *routes.Engine, servers []Server, n int, next float64) int {
	another := next*float64(total(engine, servers[n:])) >= float64(engine.Layers)
	for n < len(servers) && servers[n].Card == servers[n-1].Card && narrow(engine, servers[:n]) {
		if another && next*float64(total(engine, servers[n+1:])) < float64(engine.Layers) {
			break
		}
		n++
	}
	return n
}

// narrow tells whether a copy may use more room for requests: less than what its first
// server has slots for.
func narrow(engine *routes.Engine, lane []Server) bool {
	fill := float64(engine.Layers) / float64(total(engine, lane))
	if fill <= roomy {
		return false
	}
	return lane[0].Slots == 0 || engine.RoomAt(fill) < float64(lane[0].Slots)*engine.Usual()
}

// share gives each server of a copy its part, in proportion to its memory.
func share(engine *routes.Engine, lane []Server) []Order {
	total := total(engine, lane)
	var orders []Order
	at, seen := 0, 0
	for _, s := range lane {
		seen += engine.Fits(s.Card)
		// Rounding the running sum leaves no gap and never more than a layer too many.
		to := min((seen*engine.Layers+total/2)/total, at+engine.Fits(s.Card))
		if to > at {
			orders = append(orders, Order{Server: s.ID, Layers: api.Layers{From: at, To: to}})
			at = to
		}
	}
	return orders
}

// Copies counts the servers that requests can use for each layer.
func Copies(engine *routes.Engine, servers []Server) []int {
	counts := make([]int, engine.Layers)
	for _, s := range servers {
		count(counts, s.usable())
	}
	return counts
}

// fillEmpty gives each empty server the range that is worth most.
func fillEmpty(engine *routes.Engine, servers []Server) []Order {
	now := slices.Clone(servers)
	var orders []Order
	for i, s := range now {
		if s.Holds.Len() > 0 || engine.Fits(s.Card) == 0 {
			continue
		}
		window := bestWindow(Copies(engine, now), engine.Fits(s.Card))
		now[i].Holds = window
		orders = append(orders, Order{Server: s.ID, Layers: window})
	}
	return orders
}

// bestWindow is the range that is worth most to a server which fits so many
// layers. Where every layer has copies enough, it is the one with the fewest. A
// server is filled only for layers that nobody holds.
func bestWindow(counts []int, fits int) api.Layers {
	longest := max(int(spare*float64(fits)), 1)
	if slices.Contains(counts, 0) {
		longest = max(int(crowded*float64(fits)), 1)
	}
	var best api.Layers
	worth := 0.0
	for from := range counts {
		sum := 0.0
		for to := from + 1; to <= min(from+longest, len(counts)); to++ {
			sum += value(counts[to-1]) - layerCost
			if sum > worth {
				worth, best = sum, api.Layers{From: from, To: to}
			}
		}
	}
	if worth > 0 {
		return best
	}
	return fewestCopies(counts, longest)
}

func value(count int) float64 {
	if count < len(worthOfCopy) {
		return worthOfCopy[count]
	}
	return 0
}

func fewestCopies(counts []int, length int) api.Layers {
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
