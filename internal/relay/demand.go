package relay

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/share"
)

// demandState is the demand that reaches this VM, and the shares of its accounts.
type demandState struct {
	counter *demand.Counter
	shares  *share.Shares
	// admitted are the fractions of requests that VMs admit, as of admittedAt.
	admitted   demand.Admitted
	admittedAt time.Duration
}

func newDemandState() demandState {
	return demandState{counter: demand.NewCounter(), shares: share.New()}
}

// requestWork returns the work of a request in tokens.
func requestWork(x *exchange) float64 {
	if x.service.Engine == nil {
		return 1
	}
	return demand.Work(float64(x.call.PromptTokens), answerTokens(x))
}

func (x *exchange) demandKey() demand.Key {
	return demand.Key{Service: x.service.Name, Priority: x.priority()}
}

func (w *waiter) demandKey() demand.Key {
	return demand.Key{Service: w.service.Name, Priority: w.item.Priority}
}

// countArrival counts a request that is to be served, and marks it if it exceeds its account's share.
func (d *Dispatcher) countArrival(x *exchange) {
	key, work := x.demandKey(), requestWork(x)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.budget.CountRequest(now, key.Service)
	d.demand.counter.Offered(now, key, x.account.Name, work)
	x.shareMark = d.demand.shares.Mark(now, key.Service, x.account.Name, work)
	x.shed = d.shed(now, demand.Class{Key: key, OverShare: x.shareMark == share.Over})
	countWork("offered", key, work)
	if x.shareMark == share.Over {
		d.demand.counter.OverShare(now, key, work)
		metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_share_exceeded_total{service=%q}", key.Service)).Inc()
	}
}

// shed draws whether a request is refused so that others which VMs refuse get its capacity: more urgent
// ones, and for a request above its account's share those within theirs. It must be called with the lock
// held.
func (d *Dispatcher) shed(now time.Duration, class demand.Class) bool {
	if now > d.demand.admittedAt+share.Lifetime {
		return false
	}
	fraction := d.demand.admitted.Fraction(class)
	return fraction < 1 && rand.Float64() >= fraction
}

// refusesShed reports whether a request is refused since it was shed. Requests that return at their
// promised time and streams that have begun aren't.
func (d *Dispatcher) refusesShed(w *waiter) bool {
	if !w.shed || !w.first || w.item.Resume || w.item.Claimed {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_admission_shed_total{service=%q,priority=\"%d\",over_share=\"%t\"}", w.service.Name, w.item.Priority, w.item.OverShare)).Inc()
	return true
}

// countUnstarted counts a request that found no server. Its work is given back to its account, and it
// counts as refused if the servers lacked capacity.
func (d *Dispatcher) countUnstarted(w *waiter, err error) {
	if !w.first {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if w.shareMark == share.Within {
		d.demand.shares.Returned(now, w.service.Name, w.item.Account, w.item.Work)
	}
	if lacksCapacity(err) {
		d.demand.counter.Refused(now, w.demandKey(), w.item.Work)
		countWork("refused", w.demandKey(), w.item.Work)
	}
}

// lacksCapacity reports whether err, the reason why no server was chosen, is that the servers take no
// more requests now.
func lacksCapacity(err error) bool {
	deferral := backends.Deferral(nil)
	return errors.Is(err, backends.ErrFull) || errors.As(err, &deferral)
}

// countStarted counts the first attempt of a request. It must be called with the lock held.
func (d *Dispatcher) countStarted(now time.Duration, w *waiter) {
	if w.first {
		d.demand.counter.Started(now, w.demandKey(), w.item.Work)
		countWork("started", w.demandKey(), w.item.Work)
	}
}

func countWork(kind string, key demand.Key, work float64) {
	metrics.GetOrCreateFloatCounter(fmt.Sprintf(`oleandershunt_demand_tokens_total{service=%q,priority="%d",kind=%q}`, key.Service, key.Priority, kind)).Add(work)
}

// Demand returns the demand that reached this VM in the last second.
func (d *Dispatcher) Demand() demand.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.demand.counter.Report(d.now())
}

// hasPriority reports whether requests of a service may have a priority under the configuration in force. It
// must be called with the lock held.
func (d *Dispatcher) hasPriority(key demand.Key) bool {
	return d.table == nil || d.table.HasPriority(key.Service, key.Priority)
}

// divideServices divides the services anew by the demand of all VMs, or by this VM's if overall is nil.
// It must be called with the lock held.
func (d *Dispatcher) divideServices(overall *demand.Overall) {
	now := d.now()
	d.demand.admitted, d.demand.admittedAt = overall.Admitted(d.hasPriority), now
	local := d.demand.counter.Report(now)
	totals := demand.Totals(local.Counts)
	d.demand.shares.Retain(totals)
	var all map[string]demand.Counts
	if overall != nil && len(totals) > 0 {
		all = demand.Totals(overall.Counts)
	}
	for service, counts := range totals {
		in := share.Input{Local: local.Accounts[service], All: local.Accounts[service], Counts: counts}
		if known, ok := all[service]; ok {
			in.Counts, in.All = known, overall.Accounts[service]
		}
		d.demand.shares.Update(now, service, in)
	}
	d.remark(now)
}

// remark marks the waiting requests anew after an update of the shares, the oldest first. It must be
// called with the lock held.
func (d *Dispatcher) remark(now time.Duration) {
	for service, q := range d.queues {
		for _, id := range slices.Sorted(maps.Keys(q.waiting)) {
			w := q.waiting[id]
			w.shareMark = d.demand.shares.Remark(now, service, w.item.Account, w.item.Work, w.shareMark)
			w.item.OverShare = w.shareMark == share.Over
			q.queue.SetOverShare(id, w.item.OverShare)
		}
	}
}

// Exceeded is an account that exceeds its share of a service.
type Exceeded struct {
	Service, Account string
	// PerSecond is its share over all VMs, in tokens of work per second.
	PerSecond float64
}

// ExceededShares returns the accounts that exceed their shares of the services for which this VM gets
// requests, by service.
func (d *Dispatcher) ExceededShares() map[string][]Exceeded {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	exceeded := make(map[string][]Exceeded)
	for _, service := range d.demand.shares.Services() {
		for _, account := range d.demand.shares.Exceeding(now, service) {
			perSecond, _ := d.demand.shares.Share(now, service, account)
			exceeded[service] = append(exceeded[service], Exceeded{service, account, perSecond})
		}
	}
	return exceeded
}
