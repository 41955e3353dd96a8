package spread

import (
	"cmp"
	"slices"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// LoadLimit limits how many weight loads run concurrently in a data centre.
//
// All servers load from one weight store, and beyond a certain number of concurrent loads each
// one slows down in proportion. Without a limit, when a fifth of the servers is lost, every data
// centre orders everything it is missing at once: 20 loads run where 3 would run at full speed,
// each takes seven times as long, none completes for ten seconds, and nothing is served in the
// meantime.
type LoadLimit struct {
	// MaxConcurrent is the maximum number of concurrent loads; 0 means no limit.
	MaxConcurrent int
	// RemoteCopies is, for each layer, the number of servers in other data centres that can serve
	// it.
	RemoteCopies []int
	// Offset is the index of this data centre among all of them. It rotates the load order of
	// layers that no data centre holds, so that each data centre starts with a different one.
	Offset int
}

// LocalLoadLimit returns how many loads may run in one data centre, given how many run at full speed in
// all data centres together (atOnce) and how many servers elsewhere need one: at least an equal
// part, or more if the other data centres leave capacity unused. 0 means no limit.
func LocalLoadLimit(atOnce, dataCentres, elsewhere int) int {
	if atOnce <= 0 {
		return 0
	}
	dataCentres = max(dataCentres, 1)
	return max((atOnce+dataCentres-1)/dataCentres, atOnce-elsewhere)
}

// Load priorities of orders, highest first.
const (
	// missingEverywhere is for layers that no data centre holds: nothing can be served without
	// them.
	missingEverywhere = iota
	// missingLocally is for layers that this data centre does not hold.
	missingLocally
	// extraCopy is for layers that this data centre already holds.
	extraCopy
)

// Admit returns the orders that may be issued now. Orders that require no load are always
// admitted.
func (l LoadLimit) Admit(engine *routes.Engine, servers []Server, orders []Order) []Order {
	servers = ofModel(engine, servers)
	if l.MaxConcurrent <= 0 {
		return orders
	}
	counts := (&planner{engine: engine, servers: servers}).copyCounts(anyWait)
	heldBy := make(map[string]api.Layers, len(servers))
	running := 0
	for _, s := range servers {
		heldBy[s.ID] = s.Held
		if s.loadRunning(engine) {
			running++
		}
	}
	var admitted, loads []Order
	priorities := make(map[string]int)
	for _, order := range orders {
		if layersToLoad(heldBy[order.Server], order.Layers) == 0 {
			admitted = append(admitted, order)
			continue
		}
		priorities[order.Server] = l.priority(counts, order.Layers)
		addCopies(counts, order.Layers)
		loads = append(loads, order)
	}
	slices.SortStableFunc(loads, func(a, b Order) int { return cmp.Compare(priorities[a.Server], priorities[b.Server]) })
	rotate(loads, priorities, l.Offset)
	return append(admitted, loads[:min(len(loads), max(l.MaxConcurrent-running, 0))]...)
}

// loadRunning reports whether a load is probably running on the server. A load that takes more
// than twice its expected time may never have started, because its order was lost or delayed.
// Waiting for it would keep a data centre limited to one load from loading anything.
func (s Server) loadRunning(engine *routes.Engine) bool {
	loads := layersToLoad(s.Held, s.Target)
	return s.Loading && loads > 0 && s.LoadRemaining > -engine.LoadTimeFor(loads)
}

// layersToLoad returns how many layers a server has to load to change from one range to another.
func layersToLoad(held, to api.Layers) int { return to.Len() - overlap(held, to) }

// priority returns the load priority of an order, given the number of copies of each layer,
// planned ones included.
func (l LoadLimit) priority(counts []int, layers api.Layers) int {
	priority := extraCopy
	for at := max(layers.From, 0); at < min(layers.To, len(counts)); at++ {
		if counts[at] > 0 {
			continue
		}
		if at >= len(l.RemoteCopies) || l.RemoteCopies[at] == 0 {
			return missingEverywhere
		}
		priority = missingLocally
	}
	return priority
}

// rotate makes the orders for layers that no data centre holds start at the index given by turn.
func rotate(loads []Order, priorities map[string]int, turn int) {
	first := 0
	for first < len(loads) && priorities[loads[first].Server] == missingEverywhere {
		first++
	}
	if first == 0 {
		return
	}
	turn %= first
	head := append(slices.Clone(loads[turn:first]), loads[:turn]...)
	copy(loads, head)
}

// addCopies adds one copy for each layer in a range.
func addCopies(counts []int, held api.Layers) {
	for at := max(held.From, 0); at < min(held.To, len(counts)); at++ {
		counts[at]++
	}
}
