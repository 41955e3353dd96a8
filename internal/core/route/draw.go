package route

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

const (
	// defaultChoices is the default of Options.Choices.
	defaultChoices = 2
	// urgentChoices is the number of additional paths sampled for a request with
	// a priority or a tight deadline.
	urgentChoices = 4
	// memberChoices is the number of servers sampled from a class, of which the
	// least loaded is taken.
	memberChoices = 2
	// maxMemberDraws is the number of additional samples, to replace excluded
	// servers, before all members are checked. It also bounds the samples of a hop.
	maxMemberDraws = 4
	// walkStepsPerCut bounds the steps of a walk, per cut of the graph.
	walkStepsPerCut = 4
)

// step is a stage of a path under consideration.
type step struct {
	server     *server
	dataCentre int
	layers     api.Layers
}

// candidate is a path under consideration.
type candidate struct {
	steps []step
	// score is the estimated time between tokens, in seconds.
	score float64
	// fullBatchScore is the score with at least a full batch of streams assumed
	// on every server: below that, another stream slows no other one down.
	fullBatchScore float64
	// warmStages is the number of stages with a cached prefix of the prompt.
	warmStages int
}

// decision is the state of the choice of one path over one graph.
type decision struct {
	graph   *graph
	policy  Policy
	random  *rand.Rand
	now     time.Duration
	request *Request
	// strict excludes the servers of request.Avoid too.
	strict bool
	// kept are the stages that stay when a path is repaired. Their servers are
	// excluded from other stages.
	kept []step
}

func (d *decision) excluded(s *server) bool {
	return !s.Eligible || slices.Contains(d.request.Faulty, s.Name) ||
		d.strict && slices.Contains(d.request.Avoid, s.Name) ||
		slices.ContainsFunc(d.kept, func(other step) bool { return other.server == s })
}

// draw samples a few paths from the flow and takes the one with the best score.
// It fails if the samples lead to excluded servers only; another path may still
// exist.
func (r *Router) draw(d *decision) (*candidate, bool) {
	if d.graph.bound.TokensPerSecond == 0 {
		return nil, false
	}
	best, spare := &r.scratch[0], &r.scratch[1]
	found := false
	sample := func(local bool) {
		if d.walk(spare, local, nil) && (!found || spare.score < best.score) {
			best, spare = spare, best
			found = true
		}
	}
	for range r.options.Choices {
		sample(false)
	}
	if r.options.Choices > 1 {
		sample(true)
	}
	if d.urgent(best, found) {
		for range urgentChoices {
			sample(false)
		}
	}
	if !found {
		return nil, false
	}
	return r.preferWarm(d, best), true
}

// urgent reports whether more paths should be sampled: for a request with a
// priority, or if the best path so far is too slow for the deadline.
func (d *decision) urgent(best *candidate, found bool) bool {
	if d.request.Priority > 0 {
		return true
	}
	if !found || d.request.Deadline == 0 || d.request.RemainingTokens == 0 {
		return false
	}
	remaining := (d.request.Deadline - d.request.Now).Seconds()
	return best.score*float64(d.request.RemainingTokens) > remaining
}

// walk samples one path into c by a random walk over the graph. At each node it
// takes a hop with a probability in proportion to the flow, and in a class the
// less loaded of two servers. If local is true it stays in the same data centre
// where the flow allows. Servers in warm are taken wherever a hop leads to one.
func (d *decision) walk(c *candidate, local bool, warm []*server) bool {
	g := d.graph
	c.steps = c.steps[:0]
	c.warmStages = 0
	node, at := g.network.source, 0
	for range walkStepsPerCut * (len(g.cuts) + 1) {
		if at == g.layers {
			d.score(c)
			return true
		}
		hops := g.hops[min(node, len(g.hops)-1)]
		if s := d.nextWarmServer(hops, at, warm); s != nil {
			c.add(s, at)
			c.warmStages++
			node, at = s.class.endNode, s.class.key.layers.To
			continue
		}
		h := d.pickHop(hops, at, local)
		if h == nil {
			return false
		}
		node = h.node
		if h.class == nil {
			continue
		}
		s := d.pickMember(h.class)
		if s == nil {
			return false
		}
		c.add(s, at)
		at = h.class.key.layers.To
	}
	return false
}

func (c *candidate) add(s *server, from int) {
	c.steps = append(c.steps, step{server: s, dataCentre: s.class.dataCentre, layers: api.Layers{From: from, To: s.class.key.layers.To}})
}

// pickHop samples a hop. Hops to servers without any of the remaining layers are
// left out.
func (d *decision) pickHop(hops []hop, at int, local bool) *hop {
	if len(hops) == 0 {
		return nil
	}
	if local {
		if h := d.localHop(hops, at); h != nil {
			return h
		}
	}
	for range maxMemberDraws {
		point := d.random.Float64() * hops[len(hops)-1].cumulativeFlow
		h := &hops[min(sort.Search(len(hops), func(i int) bool { return hops[i].cumulativeFlow > point }), len(hops)-1)]
		if h.class == nil || h.class.key.layers.To > at {
			return h
		}
	}
	return nil
}

// localHop returns the hop with the most flow that doesn't leave the data centre,
// or nil.
func (d *decision) localHop(hops []hop, at int) *hop {
	var best *hop
	heaviest, previous := 0.0, 0.0
	for i := range hops {
		h := &hops[i]
		weight := h.cumulativeFlow - previous
		previous = h.cumulativeFlow
		isLocal := h.class != nil && h.class.key.layers.To > at || h.class == nil && at == 0 && h.node%len(d.graph.dataCentres) == d.graph.localDC
		if isLocal && weight > heaviest {
			best, heaviest = h, weight
		}
	}
	return best
}

// choose returns a server of a class by the policy, or nil if all are excluded.
func (d *decision) choose(c *class) *server {
	if d.policy == PolicyMaxFlow {
		return d.pickMember(c)
	}
	usable := appendUsable(nil, d, c)
	if len(usable) == 0 {
		return nil
	}
	return pickBaseline(d, usable)
}

// pickMember samples a few servers with probabilities in proportion to their
// capacities, and returns the one with the least load relative to its capacity.
func (d *decision) pickMember(c *class) *server {
	var best *server
	least := 0.0
	sampled := 0
	for range maxMemberDraws + memberChoices {
		s := c.member(d.random.Float64() * c.capacity())
		if d.excluded(s) {
			continue
		}
		if load := s.secondsPerToken(d.now); best == nil || load < least {
			best, least = s, load
		}
		if sampled++; sampled == memberChoices {
			return best
		}
	}
	if best != nil {
		return best
	}
	return d.anyMember(c)
}

// anyMember returns the first usable member after a random one, or nil.
func (d *decision) anyMember(c *class) *server {
	first := d.random.IntN(len(c.members))
	for i := range c.members {
		if s := c.members[(first+i)%len(c.members)]; !d.excluded(s) {
			return s
		}
	}
	return nil
}

// member returns the server at a point of the cumulative capacities.
func (c *class) member(point float64) *server {
	at := sort.Search(len(c.cumulative), func(i int) bool { return c.cumulative[i] > point })
	return c.members[min(at, len(c.members)-1)]
}

// score estimates the time between tokens: the time at each stage, the delays of
// the links between them, and the delay from the last stage back to the first.
func (d *decision) score(c *candidate) {
	g := d.graph
	first, last := c.steps[0], c.steps[len(c.steps)-1]
	links := g.delays[g.localDC][first.dataCentre] + g.delays[last.dataCentre][first.dataCentre]
	c.score, c.fullBatchScore = 0, 0
	for i, s := range c.steps {
		if i > 0 {
			links += g.delays[c.steps[i-1].dataCentre][s.dataCentre]
		}
		load := s.server.secondsPerToken(d.now)
		c.score += load
		streams := s.server.streams(d.now) + 1
		c.fullBatchScore += load * float64(max(streams, s.server.maxBatch)) / float64(streams)
	}
	c.score += links
	c.fullBatchScore += links
}

func stageOf(s *server, layers api.Layers) Stage {
	return Stage{Server: s.Name, Address: s.Address, Layers: layers, Incarnation: s.Incarnation}
}
