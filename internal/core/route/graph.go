package route

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// recomputeInterval is the minimum time between recomputations of the flow for
// changes that leave the present flow usable. A class that appears or vanishes,
// or a change of a link, causes a recomputation before the next choice.
const recomputeInterval = 250 * time.Millisecond

// driftLimit is the fraction of a graph's total capacity by which the estimated
// capacities may change before the flow is recomputed.
const driftLimit = 0.05

// minMeasuredServers is the number of measured servers needed to scale the
// capacities of the others.
const minMeasuredServers = 3

// classKey identifies a class by what its servers have in common. For the flow a
// class is one server with the sum of the capacities, so the size of the network
// depends on the number of different ranges, not on the number of servers.
type classKey struct {
	layers     api.Layers
	dataCentre string
}

func (k classKey) compare(other classKey) int {
	return cmp.Or(
		cmp.Compare(k.layers.From, other.layers.From),
		cmp.Compare(k.layers.To, other.layers.To),
		strings.Compare(k.dataCentre, other.dataCentre),
	)
}

// class is the set of eligible servers that have the same layers loaded in the
// same data centre.
type class struct {
	key     classKey
	members []*server
	// cumulative holds the cumulative sums of the members' capacities.
	cumulative []float64
	// dataCentre is the data centre's index. startNode and endNode are the nodes
	// before and after the layers.
	dataCentre, startNode, endNode int
	// arc is the class's arc in the network, and flow the flow over it.
	arc  int
	flow float64
}

func (c *class) capacity() float64 {
	if len(c.cumulative) == 0 {
		return 0
	}
	return c.cumulative[len(c.cumulative)-1]
}

// updateCumulative recomputes the cumulative sums after a member was added or
// removed, or a capacity changed.
func (c *class) updateCumulative() {
	c.cumulative = c.cumulative[:0]
	total := 0.0
	for _, member := range c.members {
		total += member.capacity
		c.cumulative = append(c.cumulative, total)
	}
}

func (c *class) insert(s *server) {
	at, _ := slices.BinarySearchFunc(c.members, s, compareServers)
	c.members = slices.Insert(c.members, at, s)
	c.updateCumulative()
	s.class = c
}

func (c *class) delete(s *server) {
	at, _ := slices.BinarySearchFunc(c.members, s, compareServers)
	c.members = slices.Delete(c.members, at, at+1)
	c.updateCumulative()
	s.class = nil
}

// graph holds the eligible servers of one version of a model, and the flow over
// them.
type graph struct {
	model, version string
	// layers is the model's number of layers, 0 until it is known from a request.
	layers  int
	classes map[classKey]*class

	// stale is true if the flow must be recomputed, at most once per
	// recomputeInterval. recomputeNow is true if it must be recomputed before the
	// next choice.
	stale, recomputeNow bool
	// drift is the total change of estimated capacities since the last computation.
	drift      float64
	computedAt time.Duration

	ordered     []*class
	cuts        []int
	dataCentres []string
	// delays are the links' delays in seconds and linkUp whether they can be used,
	// by the indexes of the two data centres.
	delays  [][]float64
	linkUp  [][]bool
	localDC int
	network *network
	hops    [][]hop
	bound   Bound
}

func newGraph(model, version string) *graph {
	return &graph{model: model, version: version, classes: make(map[classKey]*class), recomputeNow: true}
}

func (g *graph) add(s *server) {
	key := classKey{s.Layers, s.DataCentre}
	c, ok := g.classes[key]
	if !ok {
		c = &class{key: key}
		g.classes[key] = c
		g.recomputeNow = true
	}
	c.insert(s)
	g.stale = true
}

func (g *graph) remove(s *server) {
	c := s.class
	c.delete(s)
	g.stale = true
	if len(c.members) == 0 {
		delete(g.classes, c.key)
		g.recomputeNow = true
	}
}

func compareServers(a, b *server) int { return strings.Compare(a.Name, b.Name) }

// addDrift records a change of a member's estimated capacity.
func (g *graph) addDrift(change float64) {
	g.drift += max(change, -change)
	total := 0.0
	for _, c := range g.ordered {
		total += c.capacity()
	}
	if g.drift > driftLimit*total {
		g.stale = true
	}
}

// recomputeDue reports whether the flow must be recomputed before the next choice.
func (g *graph) recomputeDue(now time.Duration) bool {
	return g.recomputeNow || g.stale && now-g.computedAt >= recomputeInterval
}

func (g *graph) sorted() []*class {
	return slices.SortedFunc(maps.Values(g.classes), func(a, b *class) int { return a.key.compare(b.key) })
}

// meanNominalCapacity returns the servers' mean nominal capacity for a single
// layer, or 1 if there are none.
func (g *graph) meanNominalCapacity() float64 {
	total, servers := 0.0, 0
	for _, c := range g.sorted() {
		for _, s := range c.members {
			total += s.nominalCapacity * float64(c.key.layers.Len())
			servers++
		}
	}
	if servers == 0 {
		return 1
	}
	return total / float64(servers)
}

// scaleUnmeasured multiplies the capacities of the servers without measurements by
// the median ratio of estimated to nominal capacity of the other servers. The
// figures of the records are good for comparing servers, but not absolute. Without
// scaling, measured servers would seem far faster or slower than the others.
func (g *graph) scaleUnmeasured() {
	var ratios []float64
	for _, c := range g.ordered {
		for _, s := range c.members {
			if s.stats.reliable() {
				ratios = append(ratios, s.capacity/s.nominalCapacity)
			}
		}
	}
	if len(ratios) < minMeasuredServers {
		return
	}
	slices.Sort(ratios)
	median := ratios[len(ratios)/2]
	for _, c := range g.ordered {
		for _, s := range c.members {
			if !s.stats.reliable() {
				s.capacity = s.nominalCapacity * median
			}
		}
	}
}

// indexNodes orders the classes and numbers the cuts and data centres. local is the
// VM's data centre.
func (g *graph) indexNodes(local string, links map[linkKey]Link) {
	g.ordered = slices.DeleteFunc(g.sorted(), func(c *class) bool {
		return c.key.layers.From < 0 || c.key.layers.Len() <= 0 || c.key.layers.To > g.layers
	})
	g.scaleUnmeasured()
	g.cuts = append(g.cuts[:0], 0, g.layers)
	g.dataCentres = append(g.dataCentres[:0], local)
	for _, c := range g.ordered {
		c.updateCumulative()
		g.cuts = append(g.cuts, c.key.layers.From, c.key.layers.To)
		g.dataCentres = append(g.dataCentres, c.key.dataCentre)
	}
	slices.Sort(g.cuts)
	g.cuts = slices.Compact(g.cuts)
	slices.Sort(g.dataCentres)
	g.dataCentres = slices.Compact(g.dataCentres)
	g.localDC = g.dataCentreIndex(local)
	for _, c := range g.ordered {
		c.dataCentre = g.dataCentreIndex(c.key.dataCentre)
		c.startNode = g.node(c.key.layers.From, c.dataCentre)
		c.endNode = g.node(c.key.layers.To, c.dataCentre)
	}
	g.indexLinks(links)
}

func (g *graph) indexLinks(links map[linkKey]Link) {
	g.delays = make([][]float64, len(g.dataCentres))
	g.linkUp = make([][]bool, len(g.dataCentres))
	for from, fromName := range g.dataCentres {
		g.delays[from] = make([]float64, len(g.dataCentres))
		g.linkUp[from] = make([]bool, len(g.dataCentres))
		for to, toName := range g.dataCentres {
			link := links[linkKey{fromName, toName}]
			g.delays[from][to] = link.Delay.Seconds()
			g.linkUp[from][to] = from == to || !link.Down
		}
	}
}

func (g *graph) dataCentreIndex(name string) int {
	at, _ := slices.BinarySearch(g.dataCentres, name)
	return at
}

// node returns the node for a token whose layers before a cut have run and whose
// activations are in a data centre.
func (g *graph) node(layer, dataCentre int) int {
	at, _ := slices.BinarySearch(g.cuts, layer)
	return at*len(g.dataCentres) + dataCentre
}

// coverage returns the ranges of layers that no eligible server has loaded, and
// those that exactly one has.
func (g *graph) coverage() (missing, single []api.Layers) {
	for i := 0; i+1 < len(g.cuts); i++ {
		part := api.Layers{From: g.cuts[i], To: g.cuts[i+1]}
		copies := 0
		for _, c := range g.ordered {
			if c.key.layers.From <= part.From && part.To <= c.key.layers.To {
				copies += len(c.members)
			}
		}
		switch copies {
		case 0:
			missing = appendRange(missing, part)
		case 1:
			single = appendRange(single, part)
		}
	}
	return missing, single
}

// appendRange appends a range, merged with the last one if they are adjacent.
func appendRange(ranges []api.Layers, part api.Layers) []api.Layers {
	if last := len(ranges) - 1; last >= 0 && ranges[last].To == part.From {
		ranges[last].To = part.To
		return ranges
	}
	return append(ranges, part)
}
