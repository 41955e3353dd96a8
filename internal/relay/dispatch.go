package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// roleWitnesses is the role whose ranking is the order of VMs that witness answers.
const roleWitnesses = "witnesses"

// Dispatcher holds the routing state of this VM and serialises its routing decisions. It is
// safe for concurrent use.
type Dispatcher struct {
	now func() time.Duration

	mu     sync.Mutex
	fleet  *backends.Fleet
	budget *budget.Budget
	table  *routes.Table
	// configured is closed when the first configuration is applied.
	configured chan struct{}
	// position is this VM's position among the live VMs, in an order that all agree on, and vms their
	// number.
	position, vms int
	// queues are the requests that wait for capacity, by service. requestID is the last ID in them.
	queues    map[string]*admissionQueue
	requestID uint64
	// elsewhereAt is when a request of a service of models last began to wait for capacity or started in
	// another data centre; 0 if none did.
	elsewhereAt time.Duration
	// queueChanges are the log lines that are due on queues. Lines are dropped while it is full.
	queueChanges chan queueChange
	// limiters are the limits on streams by service.
	limiters map[string]*serviceLimiter
	demand   demandState
	// parts are this VM's parts of the demand for services.
	parts map[string]float64
	// calendar holds the return times that refused callers were promised.
	calendar *promise.Calendar
	// division says in which data centres requests start.
	division distribution
}

// NewDispatcher returns a dispatcher without configuration or servers. now is the time since
// the start of the VM, including time suspended.
func NewDispatcher(now func() time.Duration, retryBudget *budget.Budget) *Dispatcher {
	return &Dispatcher{
		now: now, fleet: backends.New(), budget: retryBudget, configured: make(chan struct{}), queues: make(map[string]*admissionQueue),
		queueChanges: make(chan queueChange, maxQueueChanges),
		limiters:     make(map[string]*serviceLimiter), demand: newDemandState(), calendar: promise.New(),
	}
}

// SetTable applies a configuration and returns whether it did. A table whose version isn't
// newer than the current one is ignored, so a delayed response of the platform can't roll the
// VM back.
func (d *Dispatcher) SetTable(table *routes.Table) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.table != nil && table.Version <= d.table.Version {
		return false
	}
	if d.table == nil {
		close(d.configured)
	}
	d.table = table
	d.fleet.SetServices(table.ServiceNames())
	d.forgetLimiters(table)
	d.demand.shares.SetEntitlements(table.Entitlements())
	return true
}

// Table returns the configuration in force, or nil before the first one.
func (d *Dispatcher) Table() *routes.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// WaitTable returns the configuration in force. Before the first one it blocks until that is
// applied, wait has passed or ctx ends; it returns nil if there is still none.
func (d *Dispatcher) WaitTable(ctx context.Context, wait time.Duration) *routes.Table {
	if table := d.Table(); table != nil {
		return table
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-d.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return d.Table()
}

// WithFleet calls use with the current time and the fleet while holding the lock.
func (d *Dispatcher) WithFleet(use func(now time.Duration, fleet *backends.Fleet)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	use(d.now(), d.fleet)
	d.wakeLocked()
}

// preview selects a server or path without changing any load.
func (d *Dispatcher) preview(service routes.Service, request backends.Request) (backends.Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pickLocked(service, request)
}

// pickLocked must be called with the lock held.
func (d *Dispatcher) pickLocked(service routes.Service, request backends.Request) (backends.Choice, error) {
	if service.Engine != nil {
		return d.fleet.Path(d.now(), service, request)
	}
	// Requests that nothing distinguishes gain nothing from waiting on the VM, and a plain server's
	// slots say little about how many it can take.
	request.IgnoreCapacity = request.IgnoreCapacity || d.table != nil && !d.table.OrdersRequests()
	return d.fleet.Instance(d.now(), service.Name, request)
}

// stillAccepts reports whether the servers of a choice still accept a request.
func (d *Dispatcher) stillAccepts(choice backends.Choice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Usable(d.now(), choice)
}

// recordExecution records that the servers of an attempt run it, unless the response says
// otherwise.
func (d *Dispatcher) recordExecution(o *openAttempt, head ResponseInfo) {
	if head.NotRun {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.MarkAccepted(d.now(), o.sentAt, o.sentTo)
}

// moveLoad replaces a request's load by that on its new path.
func (d *Dispatcher) moveLoad(old, load backends.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.RemoveLoad(old)
	d.fleet.AddLoad(load)
	d.wakeLocked()
}

// release records that an attempt has ended.
func (d *Dispatcher) release(o *openAttempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.RemoveLoad(o.load)
	o.pace.endLocked(d.now())
	d.wakeLocked()
}

// takeRetry takes one retry from the budget if allowed, and returns when. share is the part of the budget that
// this kind of retry may use up.
func (d *Dispatcher) takeRetry(service string, share float64) (at time.Duration, allowed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at = d.now()
	if allowed = d.budget.TakeRetry(at, service, share); allowed {
		metrics.GetOrCreateCounter(`oleandershunt_relay_retries_total{decision="allowed"}`).Inc()
	} else {
		metrics.GetOrCreateCounter(`oleandershunt_relay_retries_total{decision="refused"}`).Inc()
	}
	return at, allowed
}

// recordRetrySent records that a request's retry, which was taken at a time, is sent now.
func (d *Dispatcher) recordRetrySent(service string, takenAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.RecordSent(d.now(), service, takenAt)
}

// returnRetry gives a retry back to the budget that was taken at a time and is not sent.
func (d *Dispatcher) returnRetry(service string, takenAt time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budget.ReturnRetry(d.now(), service, takenAt) {
		metrics.GetOrCreateCounter(`oleandershunt_relay_retries_total{decision="returned"}`).Inc()
	}
}

// RetryBudgetUses returns what this VM believes of the retry budget of each service.
func (d *Dispatcher) RetryBudgetUses() []budget.Use {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Uses(d.now())
}

// SetLiveVMs sets the number of live VMs, including this one.
func (d *Dispatcher) SetLiveVMs(vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.SetLiveVMs(vms)
	d.fleet.SetLiveVMs(vms)
}

// RetryCounts returns this VM's counts of requests and retries, to be shared with the other VMs.
func (d *Dispatcher) RetryCounts() map[string]budget.History {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Histories(d.now())
}

// MostVMs returns the most VMs that this VM knew to report at the same time.
func (d *Dispatcher) MostVMs() budget.KnownVMs {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.MostVMs()
}

// HasRecentRequests reports whether this or another VM received requests within the window of the retry
// budget.
func (d *Dispatcher) HasRecentRequests() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.HasTraffic(d.now())
}

// ApplyTally applies the sum of the other VMs' counts, loads, full servers, rates and promises, and the
// demand of all VMs.
func (d *Dispatcher) ApplyTally(others tally.Tally) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.LearnVMs(d.now(), others.MostVMs)
	if counts := others.PeerCounts(); others.CountsUnknown {
		d.budget.SetPeerTraffic(counts.Counts)
	} else {
		d.budget.SetPeerCounts(d.now(), counts)
	}
	if others.Partial {
		d.fleet.UpdateRemoteUsage(others.Loads, others.VMs)
	} else {
		d.fleet.SetRemoteUsage(others.Loads, others.VMs)
	}
	if d.fleet.HasRateLimits() || d.table != nil && len(d.table.ModelServices()) > 0 {
		d.parts = d.demandParts(others)
		d.fleet.SetDemand(d.now(), d.parts)
	}
	d.fleet.MarkRemoteFull(d.now(), others.Full, rand.Float64())
	d.fleet.SetRemoteRateLimits(d.now(), others.Rates)
	d.calendar.SetRemotes(d.now(), others.Promises)
	d.applyDemand(others.Overall)
	d.divideServices(others.Overall)
	d.wakeLocked()
}

// partWeight is the weight of the latest figures in this VM's part of the demand: those of a second are
// of few requests at most VMs.
const partWeight = 0.5

// demandParts returns by service this VM's part of the requests that callers send to all VMs. The hub's
// sum of all demand is of the last second; hubs of older builds tell only the requests of the retry
// budget's window.
func (d *Dispatcher) demandParts(others tally.Tally) map[string]float64 {
	parts := make(map[string]float64)
	if others.Overall == nil {
		own := budget.Totals(d.budget.Histories(d.now()))
		for service, count := range budget.Totals(others.Counts) {
			if all := own[service].Requests + count.Requests; all > 0 {
				parts[service] = float64(own[service].Requests) / float64(all)
			}
		}
		return parts
	}
	own := demand.Totals(d.demand.counter.Report(d.now()).Counts)
	for service, counts := range demand.Totals(others.Overall.Counts) {
		requests := own[service].Offered.Requests
		all := max(counts.Offered.Requests, requests) // the sum is older
		if all == 0 {
			continue
		}
		parts[service] = float64(requests) / float64(all)
		if before, known := d.parts[service]; known {
			parts[service] = before + partWeight*(parts[service]-before)
		}
	}
	return parts
}

// ForgetDemand divides the servers' request rates evenly again, and services between the accounts by
// this VM's own requests, when what other VMs get from callers isn't known any more.
func (d *Dispatcher) ForgetDemand() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts = nil
	d.fleet.SetDemand(d.now(), nil)
	d.divideServices(nil)
}

// ServerIn reports whether a server is in a data centre. It is false for a known server of another
// one.
func (d *Dispatcher) ServerIn(id, dataCentre string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	server, ok := d.fleet.Server(id)
	return !ok || server.DataCentre == dataCentre
}

// SetMembers sets this VM and all live VMs, which share the servers' request rates.
func (d *Dispatcher) SetMembers(self string, vms []lease.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetMembers(d.now(), self, vms)
	d.position, d.vms = lease.Position(lease.Rank(roleWitnesses, "", vms), self), len(vms)
}

// place returns this VM's position among the live VMs, and their number.
func (d *Dispatcher) place() (position, vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position, d.vms
}

// SetUnreachable sets the data centres that are currently unreachable.
func (d *Dispatcher) SetUnreachable(dataCentres []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetUnreachable(d.now(), dataCentres)
}

// suspect keeps new requests off a server for span.
func (d *Dispatcher) suspect(id string, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Suspect(d.now(), id, span)
}

// markSilent keeps new requests off the servers at addresses, which don't respond, for span or
// until markResponding.
func (d *Dispatcher) markSilent(span time.Duration, addresses ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		d.fleet.MarkSilent(d.now(), address, span)
	}
}

func (d *Dispatcher) markResponding(addresses ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range addresses {
		d.fleet.MarkResponding(address)
	}
}

// ServiceAt returns the service of the backend server that is registered at an address, or false
// if there is none.
func (d *Dispatcher) ServiceAt(address string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.ServiceAt(address)
}

// markUnresponsive keeps new requests off a server that doesn't respond. confirmed says that
// another server found it unresponsive.
func (d *Dispatcher) markUnresponsive(id string, confirmed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Suspect(d.now(), id, suspectUnresponsive)
	if confirmed {
		d.fleet.MarkUnresponsive(d.now(), id, suspectUnresponsive)
	}
}

// paceReportDue reports whether a server's report may be fetched for its pace: the known pace
// is stale and the server hasn't asked for a pause.
func (d *Dispatcher) paceReportDue(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.PaceAge(d.now(), id) >= maxPaceReportAge && !d.fleet.Paused(d.now(), id)
}

// maxPace returns the highest known pace (slowdown factor) of the servers on a path, and at
// least 1.
func (d *Dispatcher) maxPace(path chain.Path) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	pace := 1.0
	for _, part := range path {
		pace = max(pace, d.fleet.Pace(d.now(), part.ID))
	}
	return pace
}

// slowServersDue lists the servers that were slow and whose pace is stale.
func (d *Dispatcher) slowServersDue() []backends.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.SlowServers(d.now(), maxPaceReportAge)
}

// markFull records that a server of a service had no capacity.
func (d *Dispatcher) markFull(service routes.Service, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if service.Engine == nil {
		d.fleet.MarkFull(now, id)
		return
	}
	d.fleet.RecordNoMemory(now, id, service.Engine)
	if l := d.limiter(now, service); l != nil {
		l.Rejected(now)
		l.updateMetrics()
	}
}

// capacityInUse returns the fractions in use, as far as this VM knows, of a server's memory and of the
// slots of the first server of a choice.
func (d *Dispatcher) capacityInUse(service routes.Service, id string, choice backends.Choice) (memory, slots float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.MemoryUtilisation(service.Engine, id), d.fleet.SlotUtilisation(choice.First.ID)
}

// explainsRefusal reports whether a server may have refused a request late because it waited for memory
// or for a slot.
func (d *Dispatcher) explainsRefusal(service routes.Service, id string, choice backends.Choice) bool {
	memory, slots := d.capacityInUse(service, id, choice)
	return max(memory, slots) >= backends.BusyFraction
}

// draining reports whether a server is draining and gets no new requests.
func (d *Dispatcher) draining(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	server, ok := d.fleet.Server(id)
	return ok && server.Draining
}

// server returns a server that is known.
func (d *Dispatcher) server(id string) (backends.Server, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Server(id)
}

// removed reports whether a server is no longer known.
func (d *Dispatcher) removed(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.fleet.Server(id)
	return !ok
}
