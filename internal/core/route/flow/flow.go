// Package flow computes maximum flows by Dinic's algorithm.
package flow

import "math"

// Unlimited is the capacity of an unbounded arc.
const Unlimited = math.MaxFloat64 / 4

// relativeTolerance is the fraction of the largest capacity below which a
// residual capacity counts as zero. Without it Max could keep augmenting
// rounding errors and never end.
const relativeTolerance = 1e-9

type arc struct {
	to       int32
	capacity float64
	flow     float64
}

// Network is a directed graph with capacities. The zero value isn't usable;
// call New. It is not safe for concurrent use.
type Network struct {
	// arcs holds each arc at an even index and its reverse at the next odd one.
	arcs []arc
	// outgoing lists, by node, the indexes of the arcs that leave it.
	outgoing [][]int32
	// level is each node's distance from the source in the residual network, -1
	// if it can't be reached.
	level []int32
	// nextArc is, by node, the position in outgoing of the next arc to try.
	nextArc   []int32
	queue     []int32
	tolerance float64
}

// New returns a network with nodes 0 to nodes-1 and no arcs.
func New(nodes int) *Network {
	return &Network{
		outgoing: make([][]int32, nodes),
		level:    make([]int32, nodes),
		nextArc:  make([]int32, nodes),
	}
}

// AddArc adds an arc and returns its id.
func (n *Network) AddArc(from, to int, capacity float64) int {
	id := len(n.arcs)
	n.arcs = append(n.arcs, arc{to: int32(to), capacity: capacity}, arc{to: int32(from)})
	n.outgoing[from] = append(n.outgoing[from], int32(id))
	n.outgoing[to] = append(n.outgoing[to], int32(id+1))
	return id
}

// SetCapacity changes the capacity of an arc. The next call of Max uses it.
func (n *Network) SetCapacity(id int, capacity float64) { n.arcs[id].capacity = capacity }

// Flow returns the flow over an arc after Max.
func (n *Network) Flow(id int) float64 { return n.arcs[id].flow }

// Max computes a maximum flow from source to sink, starting from no flow, and
// returns its value. Shorter paths are filled first.
func (n *Network) Max(source, sink int) float64 {
	n.reset()
	total := 0.0
	for n.buildLevels(source, sink) {
		clear(n.nextArc)
		for {
			pushed := n.augment(source, sink, Unlimited)
			if pushed <= n.tolerance {
				break
			}
			total += pushed
		}
	}
	return total
}

// Reachable reports, after Max, whether the source can still reach a node in the
// residual network. The arcs that leave the reachable nodes are a minimum cut.
func (n *Network) Reachable(node int) bool { return n.level[node] >= 0 }

func (n *Network) reset() {
	largest := 0.0
	for i := range n.arcs {
		n.arcs[i].flow = 0
		if c := n.arcs[i].capacity; c < Unlimited {
			largest = max(largest, c)
		}
	}
	n.tolerance = largest * relativeTolerance
}

// buildLevels sets each node's level by a breadth-first search of the residual
// network, and reports whether the sink can be reached.
func (n *Network) buildLevels(source, sink int) bool {
	for i := range n.level {
		n.level[i] = -1
	}
	n.level[source] = 0
	n.queue = append(n.queue[:0], int32(source))
	for head := 0; head < len(n.queue); head++ {
		node := n.queue[head]
		for _, id := range n.outgoing[node] {
			a := &n.arcs[id]
			if n.level[a.to] < 0 && a.capacity-a.flow > n.tolerance {
				n.level[a.to] = n.level[node] + 1
				n.queue = append(n.queue, a.to)
			}
		}
	}
	return n.level[sink] >= 0
}

// augment pushes up to limit along one path of the level graph and returns the
// flow pushed.
func (n *Network) augment(node, sink int, limit float64) float64 {
	if node == sink {
		return limit
	}
	for ; int(n.nextArc[node]) < len(n.outgoing[node]); n.nextArc[node]++ {
		id := n.outgoing[node][n.nextArc[node]]
		a := &n.arcs[id]
		residual := a.capacity - a.flow
		if residual <= n.tolerance || n.level[a.to] != n.level[node]+1 {
			continue
		}
		if pushed := n.augment(int(a.to), sink, min(limit, residual)); pushed > n.tolerance {
			a.flow += pushed
			n.arcs[id^1].flow -= pushed
			return pushed
		}
	}
	return 0
}
