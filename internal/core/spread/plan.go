package spread

import (
	"cmp"
	"math"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Parameters of a plan.
const (
	// maxSpareShare is the largest share of a layer's capacity that a server may have and still
	// be moved away: the remaining servers hardly notice its loss.
	maxSpareShare = 0.35
	// minMoveGain is the factor by which a move must lower the deficit of all layers together. A
	// move costs the time of a load; and since every move lowers the deficit, the layout becomes
	// stable.
	minMoveGain = 1.15
	// shortLoad is how long a load may take and still count as cover for layers that nobody else
	// holds: a small spare server loads its part of them in less.
	shortLoad = 2 * time.Second
	// utilizationPenalty is added to a server's share of the capacity, in proportion to its
	// utilization, when choosing which server to move: the memory of the layers it drops becomes
	// free only when its requests have ended.
	utilizationPenalty = 0.5
)

// Plan returns the orders that can be issued now. Servers keep their layers as long as they are
// useful there:
//
//   - If no server holds layers other than its part of the initial layout, the whole layout is
//     ordered.
//   - Layers that nobody holds go to empty servers and to spare ones. The other servers are
//     moved only if these do not suffice (MigrationOrders).
//   - The remaining empty servers take the layers with the least capacity.
//   - A spare server moves to the layers with the least capacity if the gain is large.
//
// Each server that joins or leaves changes the optimal layout of the whole data centre. If all
// servers moved to the new layout, working servers would become unavailable while others are
// missing a layer. The symptoms are many orders within a second, and servers that reject
// requests for lack of memory for ten seconds.
func Plan(engine *routes.Engine, servers []Server) []Order {
	servers = ofModel(engine, servers)
	if orders, ok := initialOrders(engine, servers); ok {
		return orders
	}
	p := planner{engine: engine, servers: slices.Clone(servers)}
	p.coverMissing()
	if slices.Contains(p.copyCounts(anyWait), 0) {
		return MigrationOrders(engine, servers)
	}
	p.fillEmpty()
	p.relieveOverfilled()
	if len(p.orders) == 0 && !slices.ContainsFunc(servers, func(s Server) bool { return s.Loading }) {
		p.rebalance()
	}
	return p.orders
}

// initialOrders returns the orders of the whole layout, as long as no server holds anything but
// its part of it. The result is false otherwise.
func initialOrders(engine *routes.Engine, servers []Server) ([]Order, bool) {
	orders := reassign(servers, Layout(engine, servers))
	ranges, position := make(map[string]api.Layers, len(orders)), make(map[string]int, len(servers))
	for _, order := range orders {
		ranges[order.Server] = order.Layers
	}
	for i, s := range servers {
		if s.planned().Len() > 0 && s.planned() != ranges[s.ID] {
			return nil, false
		}
		position[s.ID] = i
	}
	return slices.DeleteFunc(orders, func(o Order) bool {
		s := servers[position[o.Server]]
		return s.Lost || s.planned().Len() > 0
	}), true
}

// planner computes one plan for the servers of a data centre. Orders that it issues count as
// carried out at once.
type planner struct {
	engine  *routes.Engine
	servers []Server
	orders  []Order
}

// anyWait makes every load count as cover, however long it takes.
const anyWait = time.Duration(math.MaxInt64)

// copyCounts returns, for each layer, the number of servers that hold it or will have loaded it
// within the given time. Lost servers don't count.
func (p *planner) copyCounts(within time.Duration) []int {
	counts := make([]int, p.engine.Layers)
	for _, s := range p.servers {
		if s.Lost || s.Loading && s.LoadRemaining > within {
			continue
		}
		addCopies(counts, s.planned())
	}
	return counts
}

// assign orders a server to hold a range. The server counts as loading it from now on.
func (p *planner) assign(at int, layers api.Layers) {
	p.orders = append(p.orders, Order{Server: p.servers[at].ID, Layers: layers})
	s := &p.servers[at]
	s.LoadRemaining = p.engine.LoadTimeFor(layersToLoad(s.Held, layers))
	s.Target, s.Loading = layers, true
}

// coverMissing assigns the layers that nobody holds to servers that are available.
func (p *planner) coverMissing() {
	for range p.servers {
		counts := p.copyCounts(shortLoad)
		from := slices.Index(counts, 0)
		if from < 0 {
			return
		}
		gap := api.Layers{From: from, To: from}
		for gap.To < len(counts) && counts[gap.To] == 0 {
			gap.To++
		}
		at := p.findSpare(gap)
		if at < 0 {
			return
		}
		gap.To = min(gap.To, gap.From+p.targetLayers(p.servers[at].Card))
		p.assign(at, p.expand(at, gap))
	}
}

// targetLayers returns how many layers a card should hold to leave enough memory for requests.
func (p *planner) targetLayers(card routes.Card) int {
	return max(int(fillExtra*float64(p.engine.MaxLayers(card))), 1)
}

// findSpare returns the index of the best server to cover a gap: an empty one, preferring fast
// ones, or else the one with the lowest removal cost. It returns -1 if there is none.
func (p *planner) findSpare(gap api.Layers) int {
	best, lowest := -1, math.Inf(1)
	layers, counts := p.layerStates(), p.copyCounts(shortLoad)
	for i, s := range p.servers {
		cost, ok := p.removalCost(s, layers, counts)
		if !ok || p.engine.MaxLayers(s.Card) == 0 {
			continue
		}
		if s.planned().Len() == 0 {
			// Empty servers get negative costs, so they come before all others; the more of the
			// gap they cover and the faster they are, the lower.
			cost = -float64(min(gap.Len(), p.targetLayers(s.Card))) / max(s.Card.Pace, 0.1)
		}
		if cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// removalCost returns the largest share that a server has in the capacity of any of its layers,
// plus a penalty for its utilization. The result is false if the server must not be moved: it is
// loading, is lost, or holds the last copy of a layer.
func (p *planner) removalCost(s Server, layers []layerState, counts []int) (float64, bool) {
	if s.Lost || s.Loading {
		return 0, false
	}
	share, capacity := 0.0, p.capacity(s, s.Held)
	for at := max(s.Held.From, 0); at < min(s.Held.To, len(counts)); at++ {
		if counts[at] < 2 {
			return 0, false
		}
		if layers[at].capacity > 0 {
			share = max(share, capacity/layers[at].capacity)
		}
	}
	return share + utilizationPenalty*s.Utilization, true
}

// expand extends a gap by the adjacent layers with the least capacity, up to what an empty
// server should hold: that server stays useful beyond the gap. A server that is moved away from
// other layers loads only the gap.
func (p *planner) expand(at int, gap api.Layers) api.Layers {
	s := p.servers[at]
	limit := p.targetLayers(s.Card)
	if s.Held.Len() > 0 || gap.Len() >= limit {
		return gap
	}
	return p.weakestWindow(limit, func(window api.Layers) bool { return window.From <= gap.From && window.To >= gap.To })
}

// fillEmpty assigns the layers with the least capacity to the remaining empty servers, fastest
// server first.
func (p *planner) fillEmpty() {
	var empty []int
	for i, s := range p.servers {
		if !s.Lost && s.planned().Len() == 0 && p.engine.MaxLayers(s.Card) > 0 {
			empty = append(empty, i)
		}
	}
	slices.SortStableFunc(empty, func(a, b int) int { return cmp.Compare(p.servers[a].Card.Pace, p.servers[b].Card.Pace) })
	for _, at := range empty {
		p.assign(at, p.weakestWindow(p.targetLayers(p.servers[at].Card), anyWindow))
	}
}

// relieveOverfilled makes servers that hold too many layers drop some, at either end of their
// range, that others hold too.
func (p *planner) relieveOverfilled() {
	counts := p.copyCounts(shortLoad)
	for i, s := range p.servers {
		held := s.Held
		limit := max(int(fillSecond*float64(p.engine.MaxLayers(s.Card))), 1)
		if s.Lost || s.Loading || held.Len() <= limit {
			continue
		}
		for held.Len() > limit && counts[held.To-1] > 1 {
			held.To--
		}
		for held.Len() > limit && counts[held.From] > 1 {
			held.From++
		}
		if held != s.Held {
			removeDropped(counts, s.Held, held)
			p.assign(i, held)
		}
	}
}

// rebalance moves the server with the lowest removal cost to the layers with the least capacity,
// if the gain is large enough.
func (p *planner) rebalance() {
	layers, counts := p.layerStates(), p.copyCounts(shortLoad)
	at, lowest := -1, maxSpareShare
	for i, s := range p.servers {
		if cost, ok := p.removalCost(s, layers, counts); ok && cost < lowest {
			at, lowest = i, cost
		}
	}
	if at < 0 {
		return
	}
	s := p.servers[at]
	window := p.weakestWindow(p.targetLayers(s.Card), anyWindow)
	before := deficit(layers)
	addToLayers(layers, s.Held, layerState{-p.capacity(s, s.Held), -1})
	addToLayers(layers, window, layerState{p.capacity(s, window), 1})
	if minMoveGain*deficit(layers) <= before {
		p.assign(at, window)
	}
}
