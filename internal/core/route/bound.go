package route

import (
	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/route/flow"
)

// Bound is the maximum throughput of a model's eligible servers, and what limits it.
type Bound struct {
	// TokensPerSecond is the maximum flow through all layers, by the estimated
	// capacities of the servers and the capacities of the links.
	TokensPerSecond float64
	// Missing are the ranges of layers that no eligible server has loaded.
	Missing []api.Layers
	// SingleCopy are the ranges that exactly one eligible server has loaded, so
	// that there is no standby for them.
	SingleCopy []api.Layers
	// Bottleneck are the ranges whose servers limit the flow: the minimum cut.
	// Empty if a link is the limit.
	Bottleneck []api.Layers
	// Servers is the number of eligible servers.
	Servers int
	// Disconnected is true if every layer is loaded somewhere, but links that are
	// down separate the data centres.
	Disconnected bool
}

const (
	// balanceLevels bounds the groups of classes that get a utilisation of their
	// own.
	balanceLevels = 3
	// balanceSteps is the number of bisection steps for a utilisation, which give
	// a precision of about half a percent.
	balanceSteps = 8
	// balanceTolerance is the fraction of the bound that balancing may lose to
	// rounding.
	balanceTolerance = 1e-6
	// fastLinkDelay is the delay in seconds up to which a link is used to balance
	// load. Slower links carry only the flow that the bound needs.
	fastLinkDelay = 0.001
)

// linkArc is the arc of a link at one cut.
type linkArc struct {
	arc, from, to int
	key           linkKey
	capacity      float64
	fast          bool
}

// network is a graph's flow network.
type network struct {
	*flow.Network
	source, sink int
	linkArcs     []linkArc
	entryArcs    []linkArc
	backArcs     []linkArc
}

// compute computes the maximum flow and the bound, and balances the flow over the
// classes. local is the VM's data centre.
func (g *graph) compute(local string, links map[linkKey]Link) {
	g.indexNodes(local, links)
	g.buildNetwork(links)
	n := g.network
	n.Max(n.source, n.sink)
	n.splitLinkCapacity(links)
	value := n.Max(n.source, n.sink)
	g.bound = Bound{TokensPerSecond: value}
	g.bound.Missing, g.bound.SingleCopy = g.coverage()
	g.bound.Bottleneck = g.bottleneck()
	for _, c := range g.ordered {
		g.bound.Servers += len(c.members)
	}
	g.bound.Disconnected = value == 0 && len(g.bound.Missing) == 0 && g.layers > 0
	if value > 0 {
		g.balance(value)
	}
	g.buildHops()
	g.stale, g.recomputeNow, g.drift = false, false, 0
}

func (g *graph) buildNetwork(links map[linkKey]Link) {
	nodes := len(g.cuts) * len(g.dataCentres)
	n := &network{Network: flow.New(nodes + 2), source: nodes, sink: nodes + 1}
	g.network = n
	last := len(g.cuts) - 1
	for dc := range g.dataCentres {
		if g.linkUp[g.localDC][dc] {
			arc := n.AddArc(n.source, dc, flow.Unlimited)
			n.entryArcs = append(n.entryArcs, linkArc{arc: arc, from: n.source, to: dc})
		}
		n.AddArc(last*len(g.dataCentres)+dc, n.sink, flow.Unlimited)
	}
	for _, c := range g.ordered {
		c.arc = n.AddArc(c.startNode, c.endNode, c.capacity())
	}
	for cut := 1; cut < last; cut++ {
		g.addLinkArcs(cut, links)
	}
}

// addLinkArcs adds the arcs of the links between data centres at one cut. The
// arc back to the previous cut lets a server whose range begins earlier continue
// from this cut: it then runs only the rest of its range.
func (g *graph) addLinkArcs(cut int, links map[linkKey]Link) {
	n := g.network
	for from, fromName := range g.dataCentres {
		node := cut*len(g.dataCentres) + from
		back := n.AddArc(node, node-len(g.dataCentres), flow.Unlimited)
		n.backArcs = append(n.backArcs, linkArc{arc: back, from: node, to: node - len(g.dataCentres)})
		for to, toName := range g.dataCentres {
			if from == to || !g.linkUp[from][to] {
				continue
			}
			key := linkKey{fromName, toName}
			l := linkArc{from: node, to: cut*len(g.dataCentres) + to, key: key, capacity: flow.Unlimited}
			if bound := links[key].TokensPerSecond; bound > 0 {
				l.capacity = bound
			}
			l.fast = g.delays[from][to] <= fastLinkDelay
			l.arc = n.AddArc(l.from, l.to, l.capacity)
			n.linkArcs = append(n.linkArcs, l)
		}
	}
}

// splitLinkCapacity divides the capacity of each overused link between the cuts
// in proportion to the flow over it at each. The network has an arc per link and
// cut, so without this a link's capacity would count once for every cut. The
// resulting flow is feasible, but can be below the optimum if links are scarce.
func (n *network) splitLinkCapacity(links map[linkKey]Link) {
	used := make(map[linkKey]float64)
	for _, l := range n.linkArcs {
		used[l.key] += n.Flow(l.arc)
	}
	for i, l := range n.linkArcs {
		bound := links[l.key].TokensPerSecond
		if bound > 0 && used[l.key] > bound {
			n.linkArcs[i].capacity = bound * n.Flow(l.arc) / used[l.key]
			n.SetCapacity(l.arc, n.linkArcs[i].capacity)
		}
	}
}

func (g *graph) bottleneck() []api.Layers {
	var ranges []api.Layers
	for _, c := range g.ordered {
		if g.inMinimumCut(c) && (len(ranges) == 0 || ranges[len(ranges)-1] != c.key.layers) {
			ranges = append(ranges, c.key.layers)
		}
	}
	return ranges
}

// inMinimumCut reports whether a class is part of the minimum cut of the last
// flow.
func (g *graph) inMinimumCut(c *class) bool {
	return g.network.Reachable(c.startNode) && !g.network.Reachable(c.endNode)
}

// balance evens out the utilisation of the classes without reducing the flow's
// value. The classes of the minimum cut are fully used. The others get the lowest
// common utilisation that still carries the flow, which is repeated for those
// that don't limit the flow then. A maximum flow alone could fill some servers
// and leave equivalent ones idle.
func (g *graph) balance(value float64) {
	n := g.network
	for _, l := range n.linkArcs {
		if !l.fast {
			n.SetCapacity(l.arc, min(l.capacity, n.Flow(l.arc)*(1+balanceTolerance)))
		}
	}
	limits := make(map[*class]float64, len(g.ordered))
	g.freezeMinimumCut(limits, 1)
	high := 1.0
	for level := 1; level < balanceLevels && len(limits) < len(g.ordered); level++ {
		low := 0.0
		for range balanceSteps {
			middle := (low + high) / 2
			if g.maxFlowAt(limits, middle) >= value*(1-balanceTolerance) {
				high = middle
			} else {
				low = middle
			}
		}
		g.maxFlowAt(limits, low)
		if !g.freezeMinimumCut(limits, high) {
			break
		}
	}
	g.maxFlowAt(limits, high)
}

// maxFlowAt returns the maximum flow if the classes without a limit may be used
// up to a utilisation between 0 and 1.
func (g *graph) maxFlowAt(limits map[*class]float64, utilisation float64) float64 {
	for _, c := range g.ordered {
		limit, frozen := limits[c]
		if !frozen {
			limit = utilisation * c.capacity()
		}
		g.network.SetCapacity(c.arc, limit)
	}
	return g.network.Max(g.network.source, g.network.sink)
}

// freezeMinimumCut limits the classes of the minimum cut that have no limit yet to
// a utilisation, and reports whether there were any.
func (g *graph) freezeMinimumCut(limits map[*class]float64, utilisation float64) bool {
	found := false
	for _, c := range g.ordered {
		if _, frozen := limits[c]; !frozen && g.inMinimumCut(c) {
			limits[c] = utilisation * c.capacity()
			found = true
		}
	}
	return found
}

// hop is a possible next move from a node, weighted by its flow.
type hop struct {
	// cumulativeFlow is the running sum of the flow over the node's hops.
	cumulativeFlow float64
	// class is the class that runs the next stage, or nil for a move to another
	// node without running a layer.
	class *class
	node  int
}

// buildHops converts the flow to weights for sampling paths.
func (g *graph) buildHops() {
	n := g.network
	g.hops = make([][]hop, len(g.cuts)*len(g.dataCentres)+1)
	for _, c := range g.ordered {
		c.flow = n.Flow(c.arc)
		g.addHop(c.startNode, c.flow, hop{class: c, node: c.endNode})
	}
	net := make(map[[2]int]float64, len(n.linkArcs))
	for _, l := range n.linkArcs {
		net[[2]int{l.from, l.to}] = n.Flow(l.arc)
	}
	for _, l := range n.linkArcs {
		// Flows in opposite directions between two data centres cancel out.
		g.addHop(l.from, net[[2]int{l.from, l.to}]-net[[2]int{l.to, l.from}], hop{node: l.to})
	}
	for _, l := range n.backArcs {
		g.addHop(l.from, n.Flow(l.arc), hop{node: l.to})
	}
	for _, l := range n.entryArcs {
		g.addHop(n.source, n.Flow(l.arc), hop{node: l.to})
	}
}

func (g *graph) addHop(from int, weight float64, h hop) {
	if weight <= balanceTolerance*g.bound.TokensPerSecond {
		return
	}
	hops := g.hops[from]
	h.cumulativeFlow = weight
	if len(hops) > 0 {
		h.cumulativeFlow += hops[len(hops)-1].cumulativeFlow
	}
	g.hops[from] = append(hops, h)
}
