// Package backends is what one VM knows of the backend servers that opaque
// requests are forwarded to: their entries in the platform, what was seen of
// them, and the load that this VM put on them. It chooses the server, or the
// path of servers, of each attempt. It does no I/O and reads no clock; its
// methods must not be called at the same time.
package backends

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Server is a process of a backend server, as it registered itself.
type Server struct {
	// ID names one life of the process: a restart has another.
	ID string
	// Name is the name of its entry, which servers and the platform go by. A restart may
	// keep it. Empty is the ID.
	Name string
	// Started is when the process started, in Unix milliseconds. 0 where it doesn't say.
	Started    uint64
	Service    string
	Address    string
	DataCentre string
	// Card is the kind of accelerator. Empty for plain services.
	Card string
	// Draining says that it is to get nothing new.
	Draining bool
	// Slots is how many requests it runs at once.
	Slots int
	// Holds are the ranges of layers held.
	Holds []Held
	// Revision is the version of the entry in the platform; it grows with each write.
	Revision history.Version
}

// Held is a range of layers of one version of the weights.
type Held struct {
	Layers  api.Layers
	Version int
}

// LapseGrace is how long an entry may be missing after the platform came back
// before its server counts as gone. Entries lapse while servers can't write; a
// living server writes again about 2 s after the outage (the platform's word).
const LapseGrace = 2200 * time.Millisecond

// known is a server with what was seen of it.
type known struct {
	Server
	// missing is the revision by which the entry was not there any more, while that
	// may be the platform's fault. 0 when it is there.
	missing history.Version
	// suspectUntil is when the server is tried again after it failed.
	suspectUntil time.Duration
	// fullUntil is until when the server counts as full, by its own word.
	fullUntil time.Duration
	// heardFullUntil is the same by other VMs' word, which isn't told again.
	heardFullUntil time.Duration
	// fullSpan is how long it was held to be full the last time.
	fullSpan time.Duration
	// darkUntil is until when the server counts as lost, by another server's word.
	darkUntil time.Duration
	// pace is how many times as long as usual the server takes, as it said at pacedAt.
	// askedAt is when this VM asked it last, and paceNews says that others should know.
	pace             float64
	pacedAt, askedAt time.Duration
	paceNews         bool
	// used is what this VM's requests take on the server, and told what the other VMs
	// were last told of that.
	used, told Usage
	// turn is the number of this VM's request that was sent to it last.
	turn uint64
}

// Usage is what requests take on a server.
type Usage struct {
	// Memory is in tokens times layers.
	Memory float64
	// Running is how many requests were sent to the server itself, as the first one of
	// their paths or the only one. Those take its slots.
	Running int
}

// Plus adds up what requests take.
func (u Usage) Plus(other Usage) Usage {
	return Usage{Memory: u.Memory + other.Memory, Running: u.Running + other.Running}
}

// Fleet is the servers that are known. The zero value isn't ready; use New.
type Fleet struct {
	servers map[string]*known
	index   index
	// services are those of the configuration in force.
	services map[string]bool
	// left are servers that were seen to leave. What could go wrong without it: an
	// old list or a late event shows one as ready, and it gets requests while it
	// stops.
	left map[string]departure
	// news are those that left since News was asked.
	news []Departure
	// restored is when the platform answered again after an outage.
	restored time.Duration
	outage   bool
	// copied is the version of the first list of the platform's present history: entries up to
	// it may be of the copy from which that began.
	copied history.Version
	// signs is the time between two signs of life of a server.
	signs time.Duration
	// sums is what the requests of all other VMs take on servers.
	sums map[string]Usage
	// limits are the request rates that servers set.
	limits *ratelimit.Limits
	// pauses are the servers that want no requests of this VM for a time.
	pauses *backpressure.Pauses
	// others is how many VMs they are, and live how many VMs there are, this one included,
	// whether or not they are in the sums yet.
	others, live int
	// turns counts this VM's requests.
	turns uint64
	// unreached are the data centres out of reach, and until when they count as such.
	unreached map[string]time.Duration
}

// New makes an empty fleet.
func New() *Fleet {
	return &Fleet{
		servers:   make(map[string]*known),
		index:     newIndex(),
		left:      make(map[string]departure),
		sums:      make(map[string]Usage),
		unreached: make(map[string]time.Duration),
		limits:    ratelimit.New(),
		pauses:    backpressure.NewPauses(),
		signs:     usualSigns,
	}
}

// Serve takes the services of the configuration in force.
func (f *Fleet) Serve(services []string) {
	f.services = make(map[string]bool, len(services))
	for _, service := range services {
		f.services[service] = true
	}
}

// Heard takes what the requests of so many other VMs take, by server.
func (f *Fleet) Heard(loads map[string]Usage, vms int) { f.sums, f.others = loads, vms }

// Live takes how many VMs there are, this one included.
func (f *Fleet) Live(vms int) { f.live = vms }

// unreachedFor is how long a data centre counts as out of reach after the VM heard so: a
// little longer than until it hears anew.
const unreachedFor = 600 * time.Millisecond

// Unreached takes the data centres that can't be reached now. Their servers get nothing
// new.
func (f *Fleet) Unreached(now time.Duration, dataCentres []string) {
	clear(f.unreached)
	for _, dataCentre := range dataCentres {
		f.unreached[dataCentre] = now + unreachedFor
	}
}

// Loads is what this VM's requests take, by server. It is to be told to the other VMs.
func (f *Fleet) Loads() map[string]Usage {
	loads := make(map[string]Usage)
	for id, k := range f.servers {
		k.told = k.used
		if k.used.Memory > 0 || k.used.Running > 0 {
			loads[id] = k.used
		}
	}
	return loads
}

// load is what all VMs have put on a server, as far as this one knows.
func (f *Fleet) load(k *known) float64 {
	return k.used.Memory + f.sums[k.ID].Memory
}

// expected is the load with what the other VMs have put on a server since they told
// it last, which is taken to be what this one has.
//
// What can go wrong: hundreds of requests come within a moment, after a loss of power
// or as a burst. Each VM finds the same path the cheapest and sees its own requests
// only; together they queue up there for a second while other paths idle. VMs that have all
// just started are in no sum yet.
func (f *Fleet) expected(k *known) float64 {
	return f.load(k) + max(k.used.Memory-k.told.Memory, 0)*float64(max(f.others, f.live-1))
}

// Outage says that the platform does not answer this VM.
func (f *Fleet) Outage() { f.outage = true }

// Back says that the platform answers again.
func (f *Fleet) Back(now time.Duration) {
	if f.outage {
		f.outage, f.restored = false, now
	}
}

// Put takes an entry that is new or has changed.
func (f *Fleet) Put(now time.Duration, server Server) {
	if server.Name == "" {
		server.Name = server.ID
	}
	if server.Draining {
		f.leaves(now, Departure{ID: server.ID})
	} else {
		server.Draining = !f.mayReturn(now, server)
	}
	if k, ok := f.servers[server.ID]; ok {
		moved := k.Address != server.Address || k.Name != server.Name
		if moved {
			f.index.remove(k)
		}
		k.Server, k.missing = server, 0
		if moved {
			f.index.add(k)
		}
		return
	}
	f.add(&known{Server: server})
	if !server.Draining {
		f.replaceAt(now, server)
	}
}

// replaceAt ends the other processes at a new server's address and those before it
// under its name, whether or not their entries are still to be trusted; or the new one,
// if an entry there was written later.
//
// What can go wrong: a VM that starts finds the entries of a process that crashed
// and of its successor in one list, in any order. If it took the one that it reads
// last, the successor would count as gone, here and, once told, on every other VM.
// So the entries' revisions decide, and each VM decides for itself. An entry of a
// service that nobody knows ends no other: whoever wrote it is none of the servers.
func (f *Fleet) replaceAt(now time.Duration, server Server) {
	for _, k := range f.index.near(server.Address, server.Name) {
		id := k.ID
		if id == server.ID || k.Draining {
			continue
		}
		if k.Service != server.Service && !f.services[server.Service] {
			continue
		}
		if f.mayBeCopied(server.Revision, k.Revision) {
			f.left[server.ID] = departure{at: now, revision: f.copied, copied: true}
			f.servers[server.ID].Draining = true
			return
		}
		if k.missing == 0 && k.Revision > server.Revision {
			id = server.ID
		}
		f.forget(id)
		f.left[id] = departure{at: now}
	}
}

func (f *Fleet) add(k *known) {
	f.servers[k.ID] = k
	f.index.add(k)
}

func (f *Fleet) forget(id string) {
	if k, ok := f.servers[id]; ok {
		f.index.remove(k)
		delete(f.servers, id)
		f.limits.Forget(id)
	}
}

// Replace takes a whole list, as it was at a revision.
func (f *Fleet) Replace(now time.Duration, list []Server, revision history.Version) {
	f.enter(now, revision)
	present := make(map[string]bool, len(list))
	for _, server := range list {
		present[server.ID] = true
		f.Put(now, server)
	}
	for id := range f.servers {
		if !present[id] && f.servers[id].missing == 0 {
			f.remove(now, id, revision)
		}
	}
}

// Tidy drops the servers whose entries did not come back and forgets those that
// left long ago.
func (f *Fleet) Tidy(now time.Duration) {
	for id, k := range f.servers {
		if k.missing > 0 && !f.outage && now >= f.restored+LapseGrace {
			f.drop(now, Departure{ID: id, Revision: k.missing})
		}
	}
	f.pauses.Tidy(now)
	f.returnCopied(now)
	for id, left := range f.left {
		if _, present := f.servers[id]; !present && now > left.at+leftKept {
			delete(f.left, id)
		}
	}
}

// Suspect keeps new requests off a server for a time.
func (f *Fleet) Suspect(now time.Duration, id string, span time.Duration) {
	if k, ok := f.servers[id]; ok {
		k.suspectUntil = max(k.suspectUntil, now+span)
	}
}

// fullFor is how long a server that had no room is held to be full at first: a
// request or two end there in that time. It doubles up to fullMost while the server
// goes on refusing: what is stuck there takes seconds, and each try costs a request
// one of its few repeats. A server that refused nothing for fullForgets starts anew.
const (
	fullFor     = 200 * time.Millisecond
	fullMost    = 1600 * time.Millisecond
	fullForgets = time.Second
)

// Full says that a server had no room for a request just now.
func (f *Fleet) Full(now time.Duration, id string) {
	k, ok := f.servers[id]
	if !ok || now < k.fullUntil {
		return
	}
	if k.fullSpan == 0 || now > max(k.fullUntil, k.heardFullUntil)+fullForgets {
		k.fullSpan = fullFor
	} else {
		k.fullSpan = min(2*k.fullSpan, fullMost)
	}
	k.fullUntil = now + k.fullSpan
}

// heardFullFor is how long a server counts as full at least after other VMs said so: longer
// than the time between two tellings, so that a server which goes on refusing isn't offered
// requests in between.
const heardFullFor = 400 * time.Millisecond

// manyVMs is how many VMs there are at least for others' words on full servers to count. A VM
// among few is refused soon enough itself, and what is full for one request has room for a
// smaller one; left alone by all, a server idles that may be the only one with its layers.
const manyVMs = 40

// FullNow lists the servers that had no room for this VM's requests, for as long as they
// count as full, and how long each was held to be so. They are to be told to the other VMs.
func (f *Fleet) FullNow(now time.Duration) map[string]time.Duration {
	full := make(map[string]time.Duration)
	for id, k := range f.servers {
		if now < k.fullUntil {
			full[id] = k.fullSpan
		}
	}
	return full
}

// HeardFull takes the servers that had no room for other VMs' requests, and how long those
// hold them to be full. spread, from 0 to 1, differs from VM to VM: it has them come back one
// after the other, so that few are refused before all hear that there is still no room.
//
// What can go wrong: a server loses room that no VM knows of, as when requests are stuck on a
// dead one behind it, or it leaves while the platform is away. Each VM has to be refused by
// it before it looks elsewhere, and again as soon as it has forgotten, and each of these
// offers takes a repeat.
func (f *Fleet) HeardFull(now time.Duration, spans map[string]time.Duration, spread float64) {
	if f.others+1 < manyVMs {
		return
	}
	for id, span := range spans {
		k, ok := f.servers[id]
		if !ok {
			continue
		}
		if !k.isFull(now) {
			k.heardFullUntil = now + time.Duration(spread*float64(min(span, fullMost)))
		}
		k.heardFullUntil = max(k.heardFullUntil, now+heardFullFor)
		k.fullSpan = max(k.fullSpan, min(span, fullMost))
	}
}

// isFull tells whether a server counts as full by its own word, to this VM or another one.
func (k *known) isFull(now time.Duration) bool {
	return now < max(k.fullUntil, k.heardFullUntil)
}

// room is what fits beside a range held, in tokens times layers.
func (k *known) room(engine *routes.Engine, held Held) float64 {
	return engine.Room(engine.Cards[k.Card], held.Layers.Len())
}

// Used is the part of a server's room for requests that is taken, as far as this VM
// knows.
func (f *Fleet) Used(engine *routes.Engine, id string) float64 {
	k, ok := f.servers[id]
	if !ok || engine == nil || len(k.Holds) == 0 {
		return 0
	}
	room := k.room(engine, k.Holds[0])
	if room <= 0 {
		return 0
	}
	return f.load(k) / room
}

// Known finds a server by its ID, unless it is gone.
func (f *Fleet) Known(id string) (Server, bool) {
	k, ok := f.servers[id]
	if !ok {
		return Server{}, false
	}
	return k.Server, true
}

// Servers lists a service's servers in order of ID, those that leave left out.
func (f *Fleet) Servers(service string) []Server {
	var list []Server
	for _, k := range f.index.inOrder(f.servers) {
		if k.Service == service && !k.Draining {
			list = append(list, k.Server)
		}
	}
	return list
}

// Load is what a request puts on servers while it runs.
type Load struct {
	// First is the server that it was sent to.
	First string
	Parts []LoadPart
}

// LoadPart is the load on one server. Memory is in tokens times layers.
type LoadPart struct {
	ID     string
	Memory float64
}

// Begin counts a request on its servers.
func (f *Fleet) Begin(load Load) {
	f.turns++
	if k, ok := f.servers[load.First]; ok {
		k.turn = f.turns
	}
	f.count(load, 1)
}

// End takes a request off its servers.
func (f *Fleet) End(load Load) { f.count(load, -1) }

func (f *Fleet) count(load Load, by int) {
	// A server that was gone and is back starts from nothing, while requests of before it
	// went still end.
	if k, ok := f.servers[load.First]; ok {
		k.used.Running = max(k.used.Running+by, 0)
	}
	for _, part := range load.Parts {
		if k, ok := f.servers[part.ID]; ok {
			k.used.Memory = max(k.used.Memory+float64(by)*part.Memory, 0)
		}
	}
}

// mayTake tells whether a server may get a new request.
func (f *Fleet) mayTake(now time.Duration, k *known, request Request) bool {
	if len(request.Only) > 0 && !slices.Contains(request.Only, k.ID) {
		return false
	}
	if k.DataCentre != request.DataCentre && now < f.unreached[k.DataCentre] {
		return false
	}
	return !k.Draining && now >= k.suspectUntil && !f.pausedNow(now, k.ID, request) && !slices.Contains(request.Avoid, k.ID)
}
