// Package backends keeps one VM's view of the backend servers that opaque requests are forwarded
// to: their entries in the platform, their observed state and the load that this VM puts on them.
// It chooses the server, or the path of servers, for each attempt. It does no I/O and reads no
// clock. Its types are not safe for concurrent use.
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

// Server is a process of a backend server, as registered in the platform.
type Server struct {
	// ID identifies one process of the server: a restarted server has a new ID.
	ID string
	// Name is the name of the server's entry, which servers and the platform use. A restart may
	// keep it. Defaults to ID if empty.
	Name string
	// Started is the start time of the process in Unix milliseconds, or 0 if not reported.
	Started    uint64
	Service    string
	Address    string
	DataCentre string
	// Card is the kind of accelerator. Empty for plain services.
	Card string
	// Draining is set if the server must not get new requests.
	Draining bool
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// LayerRanges are the ranges of layers that the server has loaded.
	LayerRanges []LayerRange
	// Revision is the version of the entry in the platform. It grows with each write.
	Revision history.Version
}

// LayerRange is a range of layers of one version of the weights.
type LayerRange struct {
	Layers  api.Layers
	Version int
}

// serverState is a server with its observed state and load.
type serverState struct {
	Server
	// missing says since when the entry is missing while that may be due to a platform outage. The
	// zero value if the entry is present.
	missing missingState
	// suspectUntil is when a server that failed may get requests again.
	suspectUntil time.Duration
	// silentUntil is until when the server gets no requests because it doesn't respond. It ends
	// when the server responds.
	silentUntil time.Duration
	// fullUntil is until when the server counts as full because it rejected this VM's requests.
	fullUntil time.Duration
	// remoteFullUntil is the same as reported by other VMs. It is not forwarded.
	remoteFullUntil time.Duration
	// fullBackoff is how long the server last counted as full.
	fullBackoff time.Duration
	// unresponsiveUntil is until when the server counts as unresponsive, as reported by another
	// server.
	unresponsiveUntil time.Duration
	// pace is the server's slowdown: 2 means that it takes twice as long as usual. paceUpdatedAt is
	// when it was last learnt, paceReportedAt when the server last reported it to this VM itself,
	// and sharePace is set if other VMs need to know it.
	pace                          float64
	paceUpdatedAt, paceReportedAt time.Duration
	sharePace                     bool
	// localUsage is what this VM's requests use on the server, and published what this VM published of
	// that to the other VMs in its last rounds, the latest first.
	localUsage Usage
	published  [publishedRounds]Usage
	// lastRequest is the number of this VM's latest request to the server.
	lastRequest uint64
}

// Fleet is the set of known servers. The zero value is not usable; use New.
type Fleet struct {
	servers map[string]*serverState
	index   index
	// services are the services of the configuration in force.
	services map[string]bool
	// departed are the servers that are leaving or have left. Without it an old list or a late
	// event could show such a server as ready, and it would get requests while it stops.
	departed map[string]departureRecord
	// newDepartures are the departures since the last call of TakeDepartures.
	newDepartures []newDeparture
	platform      platformState
	// departureTime is how long a server with a missing entry may be used.
	departureTime time.Duration
	// restoreVersion is the version of the first list of the platform's current history. Entries up
	// to it may come from the backup that the history was restored from.
	restoreVersion history.Version
	// heartbeatInterval is the time between two heartbeats of a server.
	heartbeatInterval time.Duration
	// remoteUsage is what the requests of all other VMs use, by server.
	remoteUsage map[string]Usage
	// rateLimits are the request rates that servers set.
	rateLimits *ratelimit.Limits
	// pauses are the servers that asked this VM to pause its requests.
	pauses *backpressure.Pauses
	// remoteVMs is the number of VMs included in remoteUsage. liveVMs is the number of live VMs,
	// this one included, whether or not remoteUsage includes them.
	remoteVMs, liveVMs int
	// demand is this VM's part of what callers send to each service, where it is known.
	demand map[string]float64
	// requestCount counts this VM's requests.
	requestCount uint64
	// unreachableUntil is until when a data centre counts as unreachable.
	unreachableUntil map[string]time.Duration
	subsets          subsets
	// dataCentre is that of this VM, if set.
	dataCentre string
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{
		servers:           make(map[string]*serverState),
		index:             newIndex(),
		departed:          make(map[string]departureRecord),
		remoteUsage:       make(map[string]Usage),
		unreachableUntil:  make(map[string]time.Duration),
		subsets:           newSubsets(),
		rateLimits:        ratelimit.New(),
		pauses:            backpressure.NewPauses(),
		heartbeatInterval: defaultHeartbeatInterval,
		departureTime:     defaultDepartureTime,
	}
}

// SetServices sets the services of the configuration in force.
func (f *Fleet) SetServices(services []string) {
	f.services = make(map[string]bool, len(services))
	for _, service := range services {
		f.services[service] = true
	}
}

// SetLiveVMs sets the number of live VMs, this one included.
func (f *Fleet) SetLiveVMs(vms int) { f.liveVMs = vms }

// unreachableTTL is how long a data centre counts as unreachable after a report: a little longer
// than the interval of the reports.
const unreachableTTL = 600 * time.Millisecond

// SetUnreachable sets the data centres that are currently unreachable. Their servers get no new
// requests.
func (f *Fleet) SetUnreachable(now time.Duration, dataCentres []string) {
	clear(f.unreachableUntil)
	for _, dataCentre := range dataCentres {
		f.unreachableUntil[dataCentre] = now + unreachableTTL
	}
}

// Unreachable returns the data centres that are currently unreachable, ordered by name.
func (f *Fleet) Unreachable(now time.Duration) []string {
	var list []string
	for dataCentre, until := range f.unreachableUntil {
		if now < until {
			list = append(list, dataCentre)
		}
	}
	slices.Sort(list)
	return list
}

// Put adds or updates an entry.
func (f *Fleet) Put(now time.Duration, server Server) {
	if server.Name == "" {
		server.Name = server.ID
	}
	if server.Draining {
		f.recordListed(now, Departure{ID: server.ID})
	} else {
		server.Draining = !f.mayReturn(now, server)
	}
	if s, ok := f.servers[server.ID]; ok {
		reindex := s.Address != server.Address || s.Name != server.Name
		if reindex {
			f.index.remove(s)
		}
		s.Server, s.missing = server, missingState{}
		delete(f.subsets.missing, s.ID)
		if reindex {
			f.index.add(s)
		}
		return
	}
	f.addServer(&serverState{Server: server})
	if !server.Draining {
		f.replacePredecessors(now, server)
	}
}

// replacePredecessors deletes the other processes at a new server's address and the former ones
// under its name, even if their entries are missing and within the grace period. If an entry there
// was written later, it deletes the new one instead.
//
// A VM that starts finds the entries of a crashed process and of its successor in one list, in any
// order. If the last one read won, the successor could count as gone, on this VM and, once
// published, on every other VM. So each VM decides by the entries' revisions. An entry of an
// unknown service replaces no other, since its writer is none of the servers.
func (f *Fleet) replacePredecessors(now time.Duration, server Server) {
	for _, s := range f.index.atAddressOrName(server.Address, server.Name) {
		id := s.ID
		if id == server.ID || s.Draining {
			continue
		}
		if s.Service != server.Service && !f.services[server.Service] {
			continue
		}
		if f.mayPredateRestore(server.Revision, s.Revision) {
			f.departed[server.ID] = departureRecord{at: now, revision: f.restoreVersion, beforeRestore: true}
			f.servers[server.ID].Draining = true
			return
		}
		if s.missing.revision == 0 && s.Revision > server.Revision {
			id = server.ID
		}
		f.deleteServer(id)
		f.departed[id] = departureRecord{at: now}
	}
}

func (f *Fleet) addServer(s *serverState) {
	f.servers[s.ID] = s
	f.index.add(s)
}

func (f *Fleet) deleteServer(id string) {
	if s, ok := f.servers[id]; ok {
		f.index.remove(s)
		f.subsets.remove(id)
		delete(f.servers, id)
		f.rateLimits.Forget(id)
	}
}

// Replace sets the whole list of entries as of a revision.
func (f *Fleet) Replace(now time.Duration, list []Server, revision history.Version) {
	f.noteListVersion(now, revision)
	present := make(map[string]bool, len(list))
	for _, server := range list {
		present[server.ID] = true
		f.Put(now, server)
	}
	for id := range f.servers {
		if !present[id] && f.servers[id].missing.revision == 0 {
			f.entryRemoved(now, id, revision)
		}
	}
}

// HasPending reports whether RemoveExpired may soon remove servers whose entries are missing, or
// reinstate servers after a restore.
func (f *Fleet) HasPending() bool {
	if len(f.subsets.missing) > 0 {
		return true
	}
	for _, departure := range f.departed {
		if departure.beforeRestore {
			return true
		}
	}
	return false
}

// RemoveExpired deletes the servers whose missing entries didn't come back in time, and forgets departures
// after departureTTL.
func (f *Fleet) RemoveExpired(now time.Duration) {
	f.removeExpired(now)
	f.pauses.RemoveExpired(now)
	f.reinstateAfterRestore(now)
	for id, departure := range f.departed {
		if _, present := f.servers[id]; !present && now > departure.at+departureTTL {
			delete(f.departed, id)
		}
	}
}

// Suspect keeps new requests off a server for a time.
func (f *Fleet) Suspect(now time.Duration, id string, span time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.suspectUntil = max(s.suspectUntil, now+span)
	}
}

// MarkSilent keeps new requests off the servers at an address, which don't respond, for a time or
// until MarkResponding.
func (f *Fleet) MarkSilent(now time.Duration, address string, span time.Duration) {
	for _, s := range f.index.atAddressOrName(address, "") {
		s.silentUntil = max(s.silentUntil, now+span)
	}
}

// MarkResponding records that the servers at an address respond again.
func (f *Fleet) MarkResponding(address string) {
	for _, s := range f.index.atAddressOrName(address, "") {
		s.silentUntil = 0
	}
}

// ServiceAt returns the service of the server that is registered at an address, or false if there
// is none. Of several, one may be leaving and its successor not yet known as such.
func (f *Fleet) ServiceAt(address string) (string, bool) {
	servers := f.index.atAddressOrName(address, "")
	if len(servers) == 0 {
		return "", false
	}
	return servers[len(servers)-1].Service, true
}

// A server that rejected a request for lack of capacity counts as full for minFullBackoff at first:
// a request or two end there in that time. The time doubles up to maxFullBackoff while the server
// goes on rejecting, since a blocked server takes seconds to recover and each try costs a request
// one of its few retries. It starts anew if the server rejected nothing for fullBackoffReset.
const (
	minFullBackoff   = 200 * time.Millisecond
	maxFullBackoff   = 1600 * time.Millisecond
	fullBackoffReset = time.Second
)

// MarkFull records that a server just rejected a request for lack of capacity.
func (f *Fleet) MarkFull(now time.Duration, id string) {
	s, ok := f.servers[id]
	if !ok || now < s.fullUntil {
		return
	}
	if s.fullBackoff == 0 || now > max(s.fullUntil, s.remoteFullUntil)+fullBackoffReset {
		s.fullBackoff = minFullBackoff
	} else {
		s.fullBackoff = min(2*s.fullBackoff, maxFullBackoff)
	}
	s.fullUntil = now + s.fullBackoff
	f.subsets.full[id] = s
}

// minRemoteFull is the minimum time that a server counts as full after other VMs reported it. It is
// longer than the publishing interval, so that a server which goes on rejecting isn't offered
// requests in between.
const minRemoteFull = 400 * time.Millisecond

// minVMsForRemoteFull is the minimum number of VMs for which reports of other VMs on full servers
// are used. In a smaller deployment each VM soon learns it itself, a server that is full for one
// request may have capacity for a smaller one, and a server avoided by all VMs would be idle even
// if it is the only one with its layers.
const minVMsForRemoteFull = 40

// FullServers returns the servers that currently count as full because they rejected this VM's
// requests, with their backoff, to be published to the other VMs.
func (f *Fleet) FullServers(now time.Duration) map[string]time.Duration {
	full := make(map[string]time.Duration)
	for id, s := range f.subsets.full {
		if now < s.fullUntil {
			full[id] = s.fullBackoff
		} else {
			delete(f.subsets.full, id)
		}
	}
	return full
}

// MarkRemoteFull records the servers that rejected other VMs' requests for lack of capacity, with their
// backoff. spread, from 0 to 1, differs between VMs, so that they retry one after the other and few
// requests are rejected before all VMs learn that the server is still full.
//
// A server may lose capacity that no VM accounts for, for example when requests hang on a dead
// server behind it, or when it leaves during a platform outage. Without sharing, each VM would be
// rejected before it chooses another server, and again after each backoff, and each rejection costs
// a retry.
func (f *Fleet) MarkRemoteFull(now time.Duration, spans map[string]time.Duration, spread float64) {
	if f.remoteVMs+1 < minVMsForRemoteFull {
		return
	}
	for id, span := range spans {
		s, ok := f.servers[id]
		if !ok {
			continue
		}
		if !s.isFull(now) {
			s.remoteFullUntil = now + time.Duration(spread*float64(min(span, maxFullBackoff)))
		}
		s.remoteFullUntil = max(s.remoteFullUntil, now+minRemoteFull)
		s.fullBackoff = max(s.fullBackoff, min(span, maxFullBackoff))
	}
}

// isFull reports whether a server counts as full because it rejected requests of this VM or of
// others.
func (s *serverState) isFull(now time.Duration) bool {
	return now < max(s.fullUntil, s.remoteFullUntil)
}

// requestCapacity is the memory for requests beside the weights of a range of layers, in tokens
// times layers.
func (s *serverState) requestCapacity(engine *routes.Engine, held LayerRange) float64 {
	return engine.RequestCapacity(engine.Cards[s.Card], held.Layers.Len())
}

// MemoryUtilisation returns the fraction of a server's memory for requests that is in use, as far as this VM
// knows.
func (f *Fleet) MemoryUtilisation(engine *routes.Engine, id string) float64 {
	s, ok := f.servers[id]
	if !ok || engine == nil || len(s.LayerRanges) == 0 {
		return 0
	}
	capacity := s.requestCapacity(engine, s.LayerRanges[0])
	if capacity <= 0 {
		return 0
	}
	return f.memoryUsed(s) / capacity
}

// Server returns a server by its ID, or false if it is gone.
func (f *Fleet) Server(id string) (Server, bool) {
	s, ok := f.servers[id]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}

// Servers returns the servers of a service ordered by ID, without those that are draining.
func (f *Fleet) Servers(service string) []Server {
	var list []Server
	for _, s := range f.index.sortedByID(f.servers) {
		if s.Service == service && !s.Draining {
			list = append(list, s.Server)
		}
	}
	return list
}

// isEligible reports whether a server may get a new request.
func (f *Fleet) isEligible(now time.Duration, s *serverState, request Request) bool {
	if len(request.Allowed) > 0 && !slices.Contains(request.Allowed, s.ID) {
		return false
	}
	if s.DataCentre != request.DataCentre && now < f.unreachableUntil[s.DataCentre] {
		return false
	}
	return !s.Draining && !f.isExpired(now, s) && now >= max(s.suspectUntil, s.silentUntil) && !f.isPaused(now, s.ID, request) && !slices.Contains(request.Avoid, s.ID)
}
