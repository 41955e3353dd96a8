// Package route chooses the backend servers that run a request.
//
// Servers that have the same layers of a model loaded in the same data centre
// form a class. The maximum flow over the classes and the links between data
// centres is the upper bound of a pipeline's throughput. For each request a few
// paths are sampled in proportion to that flow, and the least loaded is taken.
// Load is this VM's own streams, which are counted exactly, plus the other VMs'
// streams, which are estimated from delayed load reports.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// Options configures a router.
type Options struct {
	// Policy selects how paths are chosen. Default PolicyMaxFlow.
	Policy Policy
	// DataCentre is the VM's data centre.
	DataCentre string
	// Seed initialises the random number generator.
	Seed uint64
	// Choices is the number of paths sampled for each request, at least 1. With 1
	// the loads of alternative paths are not compared. Default 2.
	Choices int
	// MaxImbalance is how many times slower, in estimated time per token, a path
	// with a cached prefix of the prompt may be than the best sampled path and
	// still be preferred, at least 1. Default 1.25.
	MaxImbalance float64
}

type graphKey struct{ model, version string }

type linkKey struct{ from, to string }

// assignment is a request's path as load on its servers, and the start of the
// measurement of its token rate.
type assignment struct {
	servers []*server
	// streamSeconds are the servers' streamSeconds at sampleStart.
	streamSeconds []float64
	// linkDelay is the total delay of the path's links, in seconds per token.
	linkDelay float64
	// sampleStart is when the current measurement started, and delivered the
	// number of tokens delivered by then.
	sampleStart time.Duration
	delivered   int
}

// Router chooses paths over a set of backend servers. It is deterministic: the
// same options and the same sequence of calls give the same paths. It is not
// safe for concurrent use.
type Router struct {
	options     Options
	random      *rand.Rand
	now         time.Duration
	servers     map[string]*server
	graphs      map[graphKey]*graph
	versions    map[string][]string
	services    map[string]*class
	links       map[linkKey]Link
	assignments map[string]assignment
	prefixes    prefixIndex

	scratch     [3]candidate
	warmServers []*server
}

// New returns a router without servers.
func New(options Options) *Router {
	options.Choices = cmp.Or(options.Choices, defaultChoices)
	options.MaxImbalance = cmp.Or(options.MaxImbalance, defaultImbalance)
	options.Policy = cmp.Or(options.Policy, PolicyMaxFlow)
	return &Router{
		options:     options,
		random:      rand.New(rand.NewPCG(options.Seed, 0)),
		servers:     make(map[string]*server),
		graphs:      make(map[graphKey]*graph),
		versions:    make(map[string][]string),
		services:    make(map[string]*class),
		links:       make(map[linkKey]Link),
		assignments: make(map[string]assignment),
		prefixes:    newPrefixIndex(),
	}
}

// Advance moves the router's clock forward. An earlier time has no effect.
func (r *Router) Advance(now time.Duration) { r.now = max(r.now, now) }

// Choose finds a path for a request and counts it as load until Release. It
// replaces an earlier path of the same request. An error is a *NoPathError and
// wraps ErrNoPath.
func (r *Router) Choose(request Request) (Path, error) {
	r.Advance(request.Now)
	if request.Service != "" {
		return r.chooseService(request)
	}
	steps, err := r.findPath(request)
	if err != nil {
		r.Release(request.ID)
		return nil, err
	}
	return r.assign(request, steps), nil
}

// Release stops counting a request's path as load.
func (r *Router) Release(id string) {
	for _, s := range r.assignments[id].servers {
		s.addInFlight(r.now, -1)
	}
	delete(r.assignments, id)
}

// Bound returns the maximum throughput of the eligible servers for a model. The
// flow is computed again only after a change.
func (r *Router) Bound(model, version string, layers int) Bound {
	g := r.graphFor(Request{Model: model, Version: version, Layers: layers})
	if g == nil {
		return Bound{Missing: []api.Layers{{From: 0, To: layers}}}
	}
	return g.bound
}

// InFlight returns the number of this VM's streams on a server.
func (r *Router) InFlight(server string) int {
	if s, ok := r.servers[server]; ok {
		return s.inFlight
	}
	return 0
}

// Capacity returns the estimated capacity of a server, in tokens per second, or
// 0 for an unknown server.
func (r *Router) Capacity(server string) float64 {
	if s, ok := r.servers[server]; ok {
		return s.capacity
	}
	return 0
}

// findPath finds a path through a model's layers. It samples paths from the flow
// first and then searches for any other path. Only if both fail does it try again
// with the servers in request.Avoid.
func (r *Router) findPath(request Request) ([]step, error) {
	g := r.graphFor(request)
	if g == nil {
		return nil, &NoPathError{Model: request.Model, Version: request.Version, Missing: []api.Layers{{From: 0, To: request.Layers}}}
	}
	d := r.newDecision(g, &request)
	for _, strict := range []bool{true, false} {
		d.strict = strict
		if c, ok := r.selectPath(d); ok {
			return c.steps, nil
		}
		if steps, ok := d.search(api.Layers{From: 0, To: g.layers}, g.localDC, -1); ok {
			return steps, nil
		}
	}
	return nil, d.noPathError()
}

func (r *Router) selectPath(d *decision) (*candidate, bool) {
	if r.options.Policy == PolicyMaxFlow {
		return r.draw(d)
	}
	return r.baseline(d)
}

func (d *decision) noPathError() error {
	err := &NoPathError{Model: d.graph.model, Version: d.graph.version, Excluded: d.request.Faulty}
	for i := 0; i+1 < len(d.graph.cuts); i++ {
		part := api.Layers{From: d.graph.cuts[i], To: d.graph.cuts[i+1]}
		if !d.covers(part) {
			err.Missing = appendRange(err.Missing, part)
		}
	}
	err.Disconnected = len(err.Missing) == 0
	return err
}

// covers reports whether a usable server has a range of layers loaded.
func (d *decision) covers(part api.Layers) bool {
	return slices.ContainsFunc(d.graph.ordered, func(c *class) bool {
		contains := c.key.layers.From <= part.From && part.To <= c.key.layers.To
		return contains && d.anyMember(c) != nil
	})
}

func (r *Router) chooseService(request Request) (Path, error) {
	c := r.services[request.Service]
	if c == nil || len(c.members) == 0 {
		return nil, &NoPathError{Service: request.Service}
	}
	d := r.newDecision(nil, &request)
	for _, strict := range []bool{true, false} {
		d.strict = strict
		if s := d.choose(c); s != nil {
			return r.assign(request, []step{{server: s}}), nil
		}
	}
	return nil, &NoPathError{Service: request.Service, Excluded: request.Faulty}
}

func (r *Router) newDecision(g *graph, request *Request) *decision {
	return &decision{graph: g, policy: r.options.Policy, random: r.random, now: r.now, request: request}
}

func (r *Router) assign(request Request, steps []step) Path {
	r.Release(request.ID)
	a := assignment{servers: make([]*server, 0, len(steps)), sampleStart: r.now, delivered: request.DeliveredTokens}
	previous := steps[len(steps)-1].server
	for _, s := range steps {
		a.linkDelay += r.links[linkKey{previous.DataCentre, s.server.DataCentre}].Delay.Seconds()
		previous = s.server
		s.server.addInFlight(r.now, 1)
		a.servers = append(a.servers, s.server)
		a.streamSeconds = append(a.streamSeconds, s.server.streamSeconds)
	}
	r.assignments[request.ID] = a
	return pathOf(steps)
}

// graphFor returns the graph for a request with its flow computed, or nil if no
// eligible server has a layer of the model loaded.
func (r *Router) graphFor(request Request) *graph {
	if request.Version == "" {
		return r.bestVersion(request)
	}
	g := r.graphs[graphKey{request.Model, request.Version}]
	if g == nil {
		return nil
	}
	if g.layers != request.Layers {
		g.layers = request.Layers
		g.recomputeNow = true
	}
	if g.recomputeDue(r.now) {
		g.compute(r.options.DataCentre, r.links)
		g.computedAt = r.now
	}
	return g
}

// bestVersion returns the graph of the model version with the highest bound.
func (r *Router) bestVersion(request Request) *graph {
	var best *graph
	for _, version := range r.versions[request.Model] {
		if version == "" {
			// Servers whose version is unknown have a graph of their own, which
			// is not a version to choose.
			continue
		}
		request.Version = version
		if g := r.graphFor(request); g != nil && (best == nil || g.bound.TokensPerSecond > best.bound.TokensPerSecond) {
			best = g
		}
	}
	return best
}
