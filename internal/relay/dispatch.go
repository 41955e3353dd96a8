package relay

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// Dispatcher is the decisions of this VM on its requests, one at a time. It is
// safe for concurrent use.
type Dispatcher struct {
	now func() time.Duration

	mu     sync.Mutex
	fleet  *backends.Fleet
	budget *budget.Budget
	table  *routes.Table
	// configured is closed when the first configuration is in force.
	configured chan struct{}
	// queued counts the requests that wait for a server's request rate, by service.
	queued map[string]int
}

// NewDispatcher makes a dispatcher that knows nothing yet. now is the time since
// the start of the VM, suspension included.
func NewDispatcher(now func() time.Duration, retries *budget.Budget) *Dispatcher {
	return &Dispatcher{now: now, fleet: backends.New(), budget: retries, configured: make(chan struct{}), queued: make(map[string]int)}
}

// SetTable brings a newer configuration in force. An older one is ignored, so
// that a late answer of the platform can't take the VM back.
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
	d.fleet.Serve(table.ServiceNames())
	return true
}

// Table is the configuration in force; nil before the first.
func (d *Dispatcher) Table() *routes.Table {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.table
}

// FirstTable is the configuration in force; before the first one it waits for that, so
// long, or until ctx ends. Nil when there is none then.
func (d *Dispatcher) FirstTable(ctx context.Context, wait time.Duration) *routes.Table {
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

// Fleet lets a function look at the servers or change what is known of them.
func (d *Dispatcher) Fleet(use func(now time.Duration, fleet *backends.Fleet)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	use(d.now(), d.fleet)
}

// choose picks a server or path and counts the request on it.
func (d *Dispatcher) choose(service routes.Service, request backends.Request) (backends.Choice, backends.Load, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	choice, err := d.pick(service, request)
	if err != nil {
		return choice, backends.Load{}, err
	}
	load := choice.Load(request.Prompt + request.Answer)
	d.fleet.Begin(load)
	d.fleet.Sent(d.now(), choice)
	return choice, load, nil
}

// look picks a server or path without counting anything on it.
func (d *Dispatcher) look(service routes.Service, request backends.Request) (backends.Choice, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(service, request)
}

// pick must be called with the lock held.
func (d *Dispatcher) pick(service routes.Service, request backends.Request) (backends.Choice, error) {
	if service.Engine != nil {
		return d.fleet.Path(d.now(), service, request)
	}
	return d.fleet.Instance(d.now(), service.Name, request)
}

// wanted tells whether the servers of a choice still want a request.
func (d *Dispatcher) wanted(choice backends.Choice) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Wanted(d.now(), choice)
}

// took notes that the servers of an attempt run it, if so.
func (d *Dispatcher) took(o *opened, answer Answer) {
	if answer.NotRun {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Took(d.now(), o.begun, o.sent)
}

// moved takes a request's load over to its new path.
func (d *Dispatcher) moved(old, load backends.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.End(old)
	d.fleet.Begin(load)
}

func (d *Dispatcher) done(load backends.Load) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.End(load)
}

// arrived counts a request for the budget of repeats.
func (d *Dispatcher) arrived(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Request(d.now(), service)
}

// mayRepeat takes one repeat from the budget. part is how much of the budget may
// be used up for this kind of repeat.
func (d *Dispatcher) mayRepeat(service string, part float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Repeat(d.now(), service, part)
}

// Live takes how many VMs there are, this one included.
func (d *Dispatcher) Live(vms int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Live(vms)
	d.fleet.Live(vms)
}

// Repeats are this VM's counts of requests and repeats, for the other VMs.
func (d *Dispatcher) Repeats() map[string]budget.Count {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Counts(d.now())
}

// Begun tells whether requests came in the window of the budget, to this VM or another one.
func (d *Dispatcher) Begun() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Begun(d.now())
}

// HeardOthers takes what all other VMs have.
func (d *Dispatcher) HeardOthers(others tally.Tally) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.Heard(d.now(), others.VMs, others.Counts)
	d.fleet.Heard(others.Loads, others.VMs)
	d.fleet.HeardFull(d.now(), others.Full, rand.Float64())
	d.fleet.HeardRates(d.now(), others.Rates)
}

// Members takes this VM and all that live, which share servers' request rates.
func (d *Dispatcher) Members(self string, vms []lease.VM) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Members(d.now(), self, vms)
}

// queue counts a request that waits for a server's request rate, until leave is called, and
// returns how many wait before it.
func (d *Dispatcher) queue(service string) (ahead int, leave func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ahead = d.queued[service]
	d.queued[service]++
	return ahead, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.queued[service]--
	}
}

// Unreached takes the data centres that can't be reached now.
func (d *Dispatcher) Unreached(dataCentres []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Unreached(d.now(), dataCentres)
}

// suspect keeps new requests off a server for a time.
func (d *Dispatcher) suspect(id string, span time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Suspect(d.now(), id, span)
}

// lost keeps new requests off a server that doesn't answer. sure says that another
// server found so.
func (d *Dispatcher) lost(id string, sure bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Suspect(d.now(), id, suspectDark)
	if sure {
		d.fleet.Dark(d.now(), id, suspectDark)
	}
}

// paceDue tells whether a server may be asked for its pace: it was learnt some time ago, and the
// server wants requests.
func (d *Dispatcher) paceDue(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.PaceAge(d.now(), id) >= paceAge && !d.fleet.Paused(d.now(), id)
}

// slowest is the pace of the slowest server of a path, as far as it is known; 1 for
// none.
func (d *Dispatcher) slowest(path chain.Path) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	pace := 1.0
	for _, part := range path {
		pace = max(pace, d.fleet.Pace(d.now(), part.ID))
	}
	return pace
}

// slowDue lists the servers that were slow and are to be asked again.
func (d *Dispatcher) slowDue() []backends.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.Slow(d.now(), paceAge)
}

// full notes that a server had no room.
func (d *Dispatcher) full(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Full(d.now(), id)
}

// leaving tells whether a server is to get nothing new.
func (d *Dispatcher) leaving(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	server, ok := d.fleet.Known(id)
	return ok && server.Draining
}

// gone tells whether a server's entry is not there any more.
func (d *Dispatcher) gone(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.fleet.Known(id)
	return !ok
}
