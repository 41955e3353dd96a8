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

// Request is what a choice depends on.
type Request struct {
	// DataCentre is where the VM stands.
	DataCentre string
	// Prompt and Answer are the tokens that the request reads and may write.
	Prompt, Answer float64
	// Avoid lists servers that failed this request.
	Avoid []string
	// Only, when set, lists the servers that may run it.
	Only []string
	// Keep is the first part that the path must begin with; nil for any.
	Keep *chain.Part
	// Force takes a path also where a server has no room left.
	Force bool
	// Version is the version of the weights that must run it. 0 is any.
	Version int
	// anyRate leaves the request rates of servers out of account.
	anyRate bool
	// pausesAt is the moment at which pauses are looked at, where that is later than now.
	pausesAt time.Duration
}

// Choice is where an attempt goes.
type Choice struct {
	// First takes the request.
	First Server
	// Path tiles the layers; nil for a plain service.
	Path    chain.Path
	Version int
	// Taken is how many requests First had from all VMs before this one, as far as is known.
	Taken int
}

// Queues tells whether the request was expected to wait for a slot of its first server.
func (c Choice) Queues() bool { return c.First.Slots > 0 && c.Taken >= c.First.Slots }

// Load is what a request of so many tokens puts on the servers of the choice.
func (c Choice) Load(tokens float64) Load {
	load := Load{First: c.First.ID, Parts: make([]LoadPart, 0, len(c.Path))}
	for _, part := range c.Path {
		load.Parts = append(load.Parts, LoadPart{ID: part.ID, Memory: tokens * float64(part.Layers.Len())})
	}
	return load
}

// servers lists the servers that the request runs on.
func (c Choice) servers() iter.Seq[string] {
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

// At is the server of the choice at an address. Another process may be at the
// address by now, so the list isn't asked. False when none of the path's is there.
func (c Choice) At(address string) (string, bool) {
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

// ErrNoServer marks a request for which no server can be had now.
var ErrNoServer = eris.New("no backend server can take the request: see which are ready, and which layers they hold")

// ErrFull marks a request for which there is a path, but no room on it just now.
var ErrFull = eris.New("backend servers have no room for the request now: come back, or let more servers hold these layers")

// overbooked is how much of its room may be promised: requests grow to what they
// reserve only at their end.
const overbooked = 1.1

// The weights of the choice.
const (
	// farFirst is the price, in milliseconds, of a path that begins in another data
	// centre: it breaks when that is cut off, and its answer crosses. A usual request
	// costs two to four thousand.
	farFirst = 1500.0
	// crossing is the price of going on in another data centre, for paths that must.
	crossing = 4000.0
	// hopCost is the time that a token loses at each change of servers, in
	// milliseconds: the way there and the wait for the server's next pass.
	hopCost = 0.4
	// othersCost is how much the time counts that a request adds to the others of a
	// batch, against its own.
	othersCost = 1.0
	// fullCost is how much dearer a server is that is full, where requests are
	// thrown out and read again.
	fullCost = 10.0
	// easy is the part of the memory up to which a server costs no more than when it is
	// empty. From there on the price rises as what is left gets less: what other VMs
	// put there in the last half second isn't known yet.
	easy = 0.5
)

// Path chooses the servers that run a request through all layers of a model. An
// error that wraps ErrFull says that there are paths, but none with room; a Deferral that its
// servers are at their request rates, or asked for a pause.
func (f *Fleet) Path(now time.Duration, service routes.Service, request Request) (Choice, error) {
	if choice, ok := f.choose(now, service, request); ok {
		return choice, nil
	}
	forced := request
	forced.Force = true
	if _, ok := f.choose(now, service, forced); ok && !request.Force {
		return Choice{}, ErrFull
	}
	if err := f.deferred(now, service, request); err != nil {
		return Choice{}, err
	}
	if !request.Force {
		return Choice{}, ErrNoServer // it is looked again, and this is not told anybody
	}
	return Choice{}, fmt.Errorf("%w: layers %s of service %s have no holder", ErrNoServer, f.missing(now, service, request), service.Name)
}

// choose takes the path of the newest version that has one.
func (f *Fleet) choose(now time.Duration, service routes.Service, request Request) (Choice, bool) {
	for _, version := range f.versions(service.Name, request.Version) {
		path, ok := f.find(now, service, version, request)
		if !ok || !path.Tiles(service.Engine.Layers) {
			continue
		}
		if first, ok := f.servers[path[0].ID]; ok {
			return Choice{First: first.Server, Path: path, Version: version, Taken: f.expectedRunning(first)}, true
		}
	}
	return Choice{}, false
}

// find looks for a path inside one data centre, and for one that crosses only when
// there is none.
//
// What can go wrong: a crossing moves 46 kB for each token, prompt included, over a
// pipe that all share and that some 50 usual requests a second fill. When servers
// are loaded, crossing paths look cheap; they fill the pipe, answers take twice as
// long, requests hold their memory twice as long, and the servers are fuller still.
// One notices slow events on a fleet that has room.
func (f *Fleet) find(now time.Duration, service routes.Service, version int, request Request) (chain.Path, bool) {
	holders := f.holders(now, service, version, request)
	from, place := 0, request.DataCentre
	var begin chain.Path
	if request.Keep != nil {
		begin, from = chain.Path{*request.Keep}, request.Keep.Layers.To
		holders = slices.DeleteFunc(holders, func(h chain.Holder) bool { return h.ID == request.Keep.ID })
		if k, ok := f.servers[request.Keep.ID]; ok {
			place = k.DataCentre
		}
	}
	for _, cross := range []float64{math.Inf(1), crossing} {
		if rest, ok := chain.Find(from, service.Engine.Layers, place, cross, holders); ok {
			return append(begin, rest...), true
		}
	}
	return nil, false
}

// hasRoom tells whether a server has room for a request, as far as this VM knows.
func (f *Fleet) hasRoom(now time.Duration, k *known, engine *routes.Engine, held Held, request Request) bool {
	takes := (request.Prompt + request.Answer) * float64(held.Layers.Len())
	return !k.isFull(now) && f.load(k)+takes <= overbooked*k.room(engine, held)
}

// versions lists the versions of the weights, the newest first.
func (f *Fleet) versions(service string, only int) []int {
	if only != 0 {
		return []int{only}
	}
	var versions []int
	for _, k := range f.servers {
		for _, held := range k.Holds {
			if k.Service == service && !slices.Contains(versions, held.Version) {
				versions = append(versions, held.Version)
			}
		}
	}
	slices.SortFunc(versions, func(a, b int) int { return cmp.Compare(b, a) })
	return versions
}

func (f *Fleet) holders(now time.Duration, service routes.Service, version int, request Request) []chain.Holder {
	servers, slowest := f.index.inOrder(f.servers), slowestCost(service.Engine, request)
	holders := make([]chain.Holder, 0, len(servers))
	for _, k := range servers {
		if k.Service != service.Name || !f.mayTake(now, k, request) || !service.Engine.Knows(k.Card) {
			continue
		}
		for _, held := range k.Holds {
			if held.Version != version || held.Layers.Len() <= 0 {
				continue
			}
			if !request.Force && !f.hasRoom(now, k, service.Engine, held, request) {
				continue
			}
			holders = append(holders, chain.Holder{
				ID:      k.ID,
				Address: k.Address,
				Layers:  held.Layers,
				Place:   k.DataCentre,
				Cost:    f.layerCost(now, k, service.Engine, held, request),
				Hop:     hopCost * request.Answer,
				First:   f.firstCost(k, request, slowest),

				NotFirst: !f.mayBegin(now, k.ID, request),
			})
		}
	}
	return holders
}

// layerCost is the time in milliseconds that a request spends in one layer on a
// server, with the time that it adds to the others there.
func (f *Fleet) layerCost(now time.Duration, k *known, engine *routes.Engine, held Held, request Request) float64 {
	card := engine.Cards[k.Card]
	with := f.expected(k) / engine.Usual() / float64(held.Layers.Len())
	base := timeOn(engine, card, engine.StepFor((1+othersCost)*with), request) / float64(engine.Layers)
	return base * k.paceAt(now) * f.pressure(now, k, k.room(engine, held))
}

// timeOn is the time in milliseconds that a request takes through all layers on a kind of
// card, where a step at pace 1 takes so long.
func timeOn(engine *routes.Engine, card routes.Card, step time.Duration, request Request) float64 {
	read := 0.0
	if engine.ReadPerSecond > 0 {
		read = request.Prompt / engine.ReadPerSecond * 1000 * max(card.Read, 0.1)
	}
	return request.Answer*float64(step)/float64(time.Millisecond)*max(card.Pace, 0.1) + read
}

// pressure is by how much dearer a server is that has little memory left.
func (f *Fleet) pressure(now time.Duration, k *known, room float64) float64 {
	if room <= 0 || k.isFull(now) {
		return 1 + fullCost
	}
	used := f.expected(k) / room
	if used >= 1 {
		return 1 + fullCost*used
	}
	return 1 + min((max(used, easy)-easy)/(1-used), fullCost)
}

// firstCost is what is added to a path that begins at a server. slowest is what the request
// costs on the slowest cards.
func (f *Fleet) firstCost(k *known, request Request, slowest float64) float64 {
	cost := f.slotCost(k, slowest)
	if k.DataCentre != request.DataCentre {
		cost += farFirst
	}
	return cost
}

// missing names the layers that no usable server holds, for messages.
func (f *Fleet) missing(now time.Duration, service routes.Service, request Request) string {
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

// Instance chooses the server of a plain service: the least busy one for its
// slots by what all VMs sent there, of the VM's own data centre unless that is much
// busier. Of equal ones it is that to which this VM sent something longest ago.
//
// What can go wrong: each of many VMs has no request running most of the time, and finds
// all servers idle. Where the first one in order is taken then, all VMs take the same. One
// notices a server with a queue beside idle ones.
func (f *Fleet) Instance(now time.Duration, service string, request Request) (Choice, error) {
	if best := f.instance(now, service, request); best != nil {
		return Choice{First: best.Server, Taken: f.expectedRunning(best)}, nil
	}
	if err := f.deferred(now, routes.Service{Name: service}, request); err != nil {
		return Choice{}, err
	}
	return Choice{}, fmt.Errorf("%w: service %s has no server that is ready", ErrNoServer, service)
}

// instance is the server for a request to a plain service; nil for none.
func (f *Fleet) instance(now time.Duration, service string, request Request) *known {
	var best *known
	least := 0.0
	for _, k := range f.servers {
		if k.Service != service || !f.mayTake(now, k, request) || !f.mayBegin(now, k.ID, request) {
			continue
		}
		load := float64(f.expectedRunning(k)) / float64(max(k.Slots, 1))
		if k.DataCentre != request.DataCentre {
			load += farLoad
		}
		if best == nil || load < least || load == least && k.before(best) {
			best, least = k, load
		}
	}
	return best
}

// farLoad is how much busier, in parts of its slots, a server of the own data
// centre may be than one elsewhere. Bytes between data centres are paid for.
const farLoad = 0.7

// before tells whether this VM sent something to a server longer ago than to another.
func (k *known) before(other *known) bool {
	return cmp.Or(cmp.Compare(k.turn, other.turn), cmp.Compare(k.ID, other.ID)) < 0
}
