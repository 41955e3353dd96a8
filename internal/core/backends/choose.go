package backends

import (
	"cmp"
	"fmt"
	"iter"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Request holds the criteria for choosing a server or path.
type Request struct {
	// DataCentre is the VM's data centre.
	DataCentre string
	// Preferred is the data centre in which the request is to start if possible. Empty means
	// DataCentre.
	Preferred string
	// Prompt is the number of prompt tokens and Answer the maximum number of answer tokens.
	Prompt, Answer float64
	// Avoid lists servers that failed this request.
	Avoid []string
	// Allowed, if set, lists the servers that may run the request.
	Allowed []string
	// FixedFirst is the part that the path must begin with, or nil for any.
	FixedFirst *chain.Part
	// IgnoreCapacity allows paths through servers without free capacity.
	IgnoreCapacity bool
	// Version is the required version of the weights. 0 means any.
	Version int
	// ignoreRateLimits ignores the servers' request rate limits.
	ignoreRateLimits bool
	// pausesAsOf is the time at which pauses are evaluated if it is later than now.
	pausesAsOf time.Duration
}

// preferred returns the data centre in which the request is to start if possible.
func (r Request) preferred() string { return cmp.Or(r.Preferred, r.DataCentre) }

// Choice is the destination of an attempt.
type Choice struct {
	// First receives the request.
	First Server
	// Path covers all layers; nil for a plain service.
	Path    chain.Path
	Version int
	// RequestsOnFirst is the number of requests that First already had from all VMs, as far as this VM knows.
	RequestsOnFirst int
}

// WaitsForSlot reports whether the request was expected to wait for a slot of its first server.
func (c Choice) WaitsForSlot() bool { return c.First.Slots > 0 && c.RequestsOnFirst >= c.First.Slots }

// Load returns the load of a request of so many tokens on the servers of the choice.
func (c Choice) Load(tokens float64) Load {
	load := Load{First: c.First.ID, Parts: make([]LoadPart, 0, len(c.Path))}
	for _, part := range c.Path {
		load.Parts = append(load.Parts, LoadPart{ID: part.ID, Memory: tokens * float64(part.Layers.Len())})
	}
	return load
}

// serverIDs yields the IDs of the servers that the request runs on.
func (c Choice) serverIDs() iter.Seq[string] {
	return func(yield func(string) bool) {
		if len(c.Path) == 0 {
			yield(c.First.ID)
			return
		}
		for _, part := range c.Path {
			if !yield(part.ID) {
				return
			}
		}
	}
}

// ServerAt returns the ID of the choice's server at an address, or false if there is none. It doesn't
// look the address up in the list, since another process may use it by now.
func (c Choice) ServerAt(address string) (string, bool) {
	if address == c.First.Address {
		return c.First.ID, true
	}
	for _, part := range c.Path {
		if part.Address == address {
			return part.ID, true
		}
	}
	return "", false
}

// ErrNoServer is returned if no server is available for a request.
var ErrNoServer = eris.New("no backend server can take the request: see which are ready, and which layers they hold")

// ErrFull is returned if there is a path for a request, but no free capacity on it.
var ErrFull = eris.New("backend servers have no room for the request now: come back, or let more servers hold these layers")

// overcommitFactor is the fraction of a server's memory that may be reserved. Requests reach the size
// that they reserve only at their end, which leaves a margin for those that get larger than estimated.
const overcommitFactor = 1.0

// Weights of the cost function.
const (
	// remoteStartCost is the cost, in milliseconds, of starting outside the preferred data centre:
	// such a request breaks when that data centre is cut off, and its answer crosses the link. A
	// typical request costs two to four thousand.
	remoteStartCost = 1500.0
	// crossingCost is the cost of continuing in another data centre, for paths without an
	// alternative.
	crossingCost = 4000.0
	// hopCost is the time, in milliseconds, that each token loses when it moves to the next server:
	// the network latency and the wait for that server's next pass.
	hopCost = 0.4
	// batchDelayWeight weighs the time that a request adds to the others of a batch against its own
	// time.
	batchDelayWeight = 1.0
	// fullCostFactor is the cost increase for a full server, which evicts requests and reads their
	// prompts again.
	fullCostFactor = 10.0
	// freeMemoryFraction is the fraction of memory up to which a server costs the same as when it
	// is empty. Above it the cost rises as the free memory shrinks, because what other VMs added in
	// the last half second isn't known yet.
	freeMemoryFraction = 0.5
)

// Path chooses the servers that run a request through all layers of a model. It returns ErrFull if
// there are paths but none with free capacity, a Deferral if the servers are at their request rate
// limits or asked for a pause, and otherwise an error that wraps ErrNoServer.
func (f *Fleet) Path(now time.Duration, service routes.Service, request Request) (Choice, error) {
	if choice, ok := f.choosePath(now, service, request); ok {
		return choice, nil
	}
	forced := request
	forced.IgnoreCapacity = true
	if _, ok := f.choosePath(now, service, forced); ok && !request.IgnoreCapacity {
		return Choice{}, ErrFull
	}
	if err := f.deferral(now, service, request); err != nil {
		return Choice{}, err
	}
	if !request.IgnoreCapacity {
		return Choice{}, ErrNoServer // the caller tries again with IgnoreCapacity and discards this error
	}
	return Choice{}, fmt.Errorf("%w: layers %s of service %s have no holder", ErrNoServer, f.uncoveredLayers(now, service, request), service.Name)
}

// choosePath returns a path for the newest version of the weights that has one.
func (f *Fleet) choosePath(now time.Duration, service routes.Service, request Request) (Choice, bool) {
	for _, version := range f.versions(service.Name, request.Version) {
		path, ok := f.findPath(now, service, version, request)
		if !ok || !path.CoversExactly(service.Engine.Layers) {
			continue
		}
		if first, ok := f.servers[path[0].ID]; ok {
			return Choice{First: first.Server, Path: path, Version: version, RequestsOnFirst: f.expectedRunning(first)}, true
		}
	}
	return Choice{}, false
}

// findPath looks for a path that stays in one data centre, and for one that crosses data centres
// only if there is none.
//
// A crossing sends 46 kB per token, prompt included, over a shared link whose capacity is reached
// at about 50 typical requests a second. If crossing paths competed by cost, they would look cheap
// whenever servers are loaded and fill the link. Answers would then take twice as long and requests
// would hold their memory twice as long, which fills the servers further. The symptom is late
// events while the fleet has free capacity.
func (f *Fleet) findPath(now time.Duration, service routes.Service, version int, request Request) (chain.Path, bool) {
	holders := f.holders(now, service, version, request)
	from, dataCentre := 0, request.DataCentre
	var prefix chain.Path
	if request.FixedFirst != nil {
		prefix, from = chain.Path{*request.FixedFirst}, request.FixedFirst.Layers.To
		holders = slices.DeleteFunc(holders, func(h chain.Holder) bool { return h.ID == request.FixedFirst.ID })
		if s, ok := f.servers[request.FixedFirst.ID]; ok {
			dataCentre = s.DataCentre
		}
	}
	for _, cross := range []float64{math.Inf(1), crossingCost} {
		if rest, ok := chain.CheapestPath(from, service.Engine.Layers, dataCentre, cross, holders); ok {
			return append(prefix, rest...), true
		}
	}
	return nil, false
}

// hasCapacity reports whether a server has capacity for a request, as far as this VM knows.
func (f *Fleet) hasCapacity(now time.Duration, s *serverState, engine *routes.Engine, held LayerRange, request Request) bool {
	if s.isFull(now) {
		return false
	}
	memory := (request.Prompt + request.Answer) * float64(held.Layers.Len())
	// An idle server has capacity for a request of any size: it rejects one that is too large itself.
	return f.memoryUsed(s) == 0 || f.expectedMemory(s)+memory <= overcommitFactor*s.requestCapacity(engine, held)
}

// versions returns the versions of the weights, newest first.
func (f *Fleet) versions(service string, only int) []int {
	if only != 0 {
		return []int{only}
	}
	var versions []int
	for _, s := range f.servers {
		for _, held := range s.LayerRanges {
			if s.Service == service && !slices.Contains(versions, held.Version) {
				versions = append(versions, held.Version)
			}
		}
	}
	slices.SortFunc(versions, func(a, b int) int { return cmp.Compare(b, a) })
	return versions
}

func (f *Fleet) holders(now time.Duration, service routes.Service, version int, request Request) []chain.Holder {
	servers, slowest := f.index.sortedByID(f.servers), slowestCost(service.Engine, request)
	holders := make([]chain.Holder, 0, len(servers))
	for _, s := range servers {
		if s.Service != service.Name || !f.isEligible(now, s, request) || !service.Engine.HasCard(s.Card) {
			continue
		}
		for _, held := range s.LayerRanges {
			if held.Version != version || !service.Engine.HasLayers(held.Layers) {
				continue
			}
			if !request.IgnoreCapacity && !f.hasCapacity(now, s, service.Engine, held, request) {
				continue
			}
			holders = append(holders, chain.Holder{
				ID:         s.ID,
				Address:    s.Address,
				Layers:     held.Layers,
				DataCentre: s.DataCentre,
				LayerCost:  f.layerCost(now, s, service.Engine, held, request),
				HopCost:    hopCost * request.Answer,
				FirstCost:  f.firstCost(s, request, slowest),

				NotFirst: !f.withinRateLimit(now, s.ID, request) || !f.hasSlot(s, request),
			})
		}
	}
	return holders
}

// layerCost is the time in milliseconds that a request spends in one layer on a server, plus the
// time that it adds to the other requests there.
func (f *Fleet) layerCost(now time.Duration, s *serverState, engine *routes.Engine, held LayerRange, request Request) float64 {
	card := engine.Cards[s.Card]
	batch := f.expectedMemory(s) / engine.TypicalTokens() / float64(held.Layers.Len())
	base := requestMillis(engine, card, engine.StepTime((1+batchDelayWeight)*batch), request) / float64(engine.Layers)
	return base * s.currentPace(now) * f.memoryFactor(now, s, s.requestCapacity(engine, held))
}

// requestMillis is the time in milliseconds that a request takes through all layers on a kind of
// card. step is the time of one token at pace 1.
func requestMillis(engine *routes.Engine, card routes.Card, step time.Duration, request Request) float64 {
	prefill := 0.0
	if engine.ReadPerSecond > 0 {
		prefill = request.Prompt / engine.ReadPerSecond * 1000 * max(card.Read, routes.MinCardFactor)
	}
	return request.Answer*float64(step)/float64(time.Millisecond)*max(card.Pace, routes.MinCardFactor) + prefill
}

// memoryFactor is the factor by which the cost of a server rises as its free memory shrinks.
func (f *Fleet) memoryFactor(now time.Duration, s *serverState, capacity float64) float64 {
	if capacity <= 0 || s.isFull(now) {
		return 1 + fullCostFactor
	}
	used := f.expectedMemory(s) / capacity
	if used >= 1 {
		return 1 + fullCostFactor*used
	}
	return 1 + min((max(used, freeMemoryFraction)-freeMemoryFraction)/(1-used), fullCostFactor)
}

// firstCost is the additional cost of a path that begins at a server. slowest is the cost of the
// request on the slowest cards.
func (f *Fleet) firstCost(s *serverState, request Request, slowest float64) float64 {
	cost := f.slotCost(s, slowest)
	if s.DataCentre != request.preferred() {
		cost += remoteStartCost
	}
	return cost
}

// uncoveredLayers lists the layers that no usable server holds, for error messages.
func (f *Fleet) uncoveredLayers(now time.Duration, service routes.Service, request Request) string {
	var all []chain.Holder
	for _, version := range f.versions(service.Name, 0) {
		all = append(all, f.holders(now, service, version, request)...)
	}
	var ranges []string
	for _, gap := range chain.Uncovered(service.Engine.Layers, all) {
		ranges = append(ranges, gap.String())
	}
	return strings.Join(ranges, ", ")
}

// Instance chooses the server of a plain service: the one with the fewest requests per slot from
// all VMs, in the preferred data centre unless that is much busier. Ties go to the server that this
// VM used least recently.
//
// With many VMs each has no running requests most of the time and sees all servers as idle. If ties
// went to the first server in order, all VMs would choose the same one, and it would have a queue
// while the others are idle.
func (f *Fleet) Instance(now time.Duration, service string, request Request) (Choice, error) {
	if best := f.leastLoaded(now, service, request); best != nil {
		running := f.expectedRunning(best)
		if !request.IgnoreCapacity && best.Slots > 0 && running >= plainQueueFactor*best.Slots {
			return Choice{}, ErrFull
		}
		return Choice{First: best.Server, RequestsOnFirst: running}, nil
	}
	if err := f.deferral(now, routes.Service{Name: service}, request); err != nil {
		return Choice{}, err
	}
	return Choice{}, fmt.Errorf("%w: service %s has no server that is ready", ErrNoServer, service)
}

// leastLoaded returns the server for a request to a plain service, or nil.
func (f *Fleet) leastLoaded(now time.Duration, service string, request Request) *serverState {
	var best *serverState
	least := 0.0
	for _, s := range f.servers {
		if s.Service != service || !f.isEligible(now, s, request) || !f.withinRateLimit(now, s.ID, request) {
			continue
		}
		load := float64(f.expectedRunning(s)) / float64(max(s.Slots, 1))
		if s.DataCentre != request.preferred() {
			load += remoteLoadPenalty
		}
		if best == nil || load < least || load == least && s.usedBefore(best) {
			best, least = s, load
		}
	}
	return best
}

// remoteLoadPenalty is how much busier, as a fraction of its slots, a server of the preferred data
// centre may be than one in another. Traffic between data centres is charged.
const remoteLoadPenalty = 0.7

// plainQueueFactor is how many times its slots a server of a plain service may have in requests. As
// many may queue as run: these requests are short, and what other VMs have there is known late.
const plainQueueFactor = 2

// usedBefore reports whether this VM last sent a request to s before it last sent one to other.
func (s *serverState) usedBefore(other *serverState) bool {
	return cmp.Or(cmp.Compare(s.lastRequest, other.lastRequest), cmp.Compare(s.ID, other.ID)) < 0
}
