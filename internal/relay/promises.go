package relay

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/queue"
)

// retryAfterShare is the share of a caller's remaining time up to which it honours Retry-After.
const retryAfterShare = 1.0 / 3

// forecastError is the reason why a request isn't queued: it would start after its wait.
type forecastError struct{}

func (forecastError) Error() string {
	return "backend servers are full and the request would start too late"
}

// Unwrap implements errors.Unwrap.
func (forecastError) Unwrap() error { return backends.ErrFull }

// shedError is the reason why a request isn't queued: others of the service need the capacity.
type shedError struct{}

func (shedError) Error() string {
	return "backend servers are full, and more urgent requests or those of other accounts are refused: come back, or let more servers take requests"
}

// Unwrap implements errors.Unwrap.
func (shedError) Unwrap() error { return backends.ErrFull }

// promisesReturn reports whether callers of a request are told when to return, and refused at once if
// they would wait in vain. Requests without a latency target aren't queued.
func promisesReturn(x *exchange) bool {
	return x.route.TargetLatency > 0 && (x.service.Engine != nil || x.account.Name != "")
}

// promiseKey returns the key by which a caller that returns is recognised.
func promiseKey(body poison.Body) promise.Key {
	return promise.Key(xxhash.Sum64String(body.Account + "\n" + body.Pipeline + "\n" + strconv.FormatUint(body.Hash, 16)))
}

// claim recognises a request that returns at its promised time. It must be called with the lock held.
func (d *Dispatcher) claim(now time.Duration, w *waiter) {
	if w.key == 0 {
		return
	}
	result, due := d.calendar.Claim(now, w.service.Name, w.key)
	switch result {
	case promise.Claimed:
		// It counts as due until it expires: otherwise new requests of other accounts would go before it
		// once it can't be in time.
		w.item.Claimed, w.item.Due, w.due = true, 0, due
		countPromise(w.service.Name, "claimed")
	case promise.Early:
		countPromise(w.service.Name, "early")
	case promise.Newcomer:
	}
}

// startsTooLate reports whether a request that is new at this VM would wait in vain with so many
// others ahead. Without solid grounds it is queued, and its Expiry ends the wait. It must be called
// with the lock held.
func (d *Dispatcher) startsTooLate(now time.Duration, q *admissionQueue, w *waiter, ahead int) bool {
	if w.key == 0 || w.item.Claimed || ahead == 0 || !errors.Is(w.err, backends.ErrFull) {
		return false
	}
	rate := q.meter.Rate(now, w.item.Priority)
	latest := w.expiry()
	if w.item.Due > 0 {
		latest = min(latest, w.item.Due) // requests that can't be in time get no capacity while others can
	}
	if !rate.Certain || d.calendar.Forecast(now, q.service, ahead, rate.Upper) <= latest {
		return false
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_promise_refused_at_once_total{service=%q}", q.service)).Inc()
	return true
}

// recordStart records that a request of a service starts. It must be called with the lock held.
func (d *Dispatcher) recordStart(now time.Duration, w *waiter) {
	d.admissionQueue(w.service.Name).meter.Started(now, w.item.Priority)
	if w.due == 0 {
		return
	}
	countPromise(w.service.Name, "kept")
	metrics.GetOrCreateHistogram(fmt.Sprintf("oleandershunt_promise_error_seconds{service=%q}", w.service.Name)).Update((now - w.due).Abs().Seconds())
	w.due = 0
}

// observeWaiting records whether requests wait for capacity. Those that wait for a path, a pause or a
// rate limit don't show what the servers can do. It must be called with the lock held.
func (d *Dispatcher) observeWaiting(now time.Duration, q *admissionQueue) {
	q.meter.SetWaiting(now, q.queue.Len() > 0 && errors.Is(q.err, backends.ErrFull))
	d.reportQueue(now, q)
}

func countPromise(service, event string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_promises_total{service=%q,event=%q}", service, event)).Inc()
}

// returnTime is when a refused caller is to return, and what that follows from.
type returnTime struct {
	ahead        int
	rate         promise.Rate
	forecast, in time.Duration
	// ok says that a time is promised.
	ok bool
}

// String describes the return time for the log line of a refusal.
func (r returnTime) String() string {
	promised := "none"
	if r.ok {
		promised = r.in.String()
	}
	return fmt.Sprintf("requests ahead %d, starts per second %.1f, forecast %v, promised %s", r.ahead, r.rate.PerSecond, r.forecast.Round(time.Millisecond), promised)
}

// promiseReturn promises a return time to a caller of a request with that place in the queue.
func (d *Dispatcher) promiseReturn(service string, item queue.Item, request promise.Request) returnTime {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, q := d.now(), d.admissionQueue(service)
	r := returnTime{ahead: q.queue.Ahead(now, item), rate: q.meter.Rate(now, item.Priority)}
	r.forecast = d.calendar.Forecast(now, service, r.ahead, r.rate.PerSecond) - now
	request.Ahead = r.ahead
	r.in, r.ok = d.calendar.Promise(now, service, request, r.rate.PerSecond, rand.Float64())
	r.in = r.in.Truncate(time.Millisecond)
	if r.ok {
		countPromise(service, "given")
	} else {
		countPromise(service, "none")
	}
	return r
}

// overloaded reports whether requests of a service wait for capacity.
func (d *Dispatcher) overloaded(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.admissionQueue(service)
	return q.queue.Len() > 0 && errors.Is(q.err, backends.ErrFull)
}

// Promises returns this VM's promises by service, for the other VMs.
func (d *Dispatcher) Promises() map[string]promise.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	var reports map[string]promise.Report
	put := func(service string, rate float64) {
		if reports == nil {
			reports = make(map[string]promise.Report)
		}
		reports[service] = d.calendar.Local(now, service, rate)
	}
	for _, service := range d.calendar.Services(now) {
		put(service, 0)
	}
	for service, q := range d.queues {
		if rate := q.meter.Rate(now, 0); rate.Certain {
			put(service, rate.PerSecond)
		}
	}
	return reports
}

// overloadRefusal returns the refusal of a request for want of capacity, or nil if today's time to
// retry fits as well: no request waits for the service.
func (h *Handler) overloadRefusal(x *exchange, reason Reason) *refusal {
	overloaded := reason == ReasonOverloaded || reason == ReasonRefused && h.Dispatcher.overloaded(x.service.Name)
	if !overloaded || !promisesReturn(x) || x.ctx.Err() != nil {
		return nil
	}
	item := queueItem(x, h.Dispatcher.now())
	remaining := x.remaining()
	returnAt := h.Dispatcher.promiseReturn(x.service.Name, item, promise.Request{
		Key: promiseKey(x.poison), Timely: item.Due, Priority: item.Priority, Refused: x.claimed,
		// The response must also arrive within the remaining time.
		Limit: min(time.Duration(retryAfterShare*float64(remaining)), remaining-x.route.TargetLatency),
	})
	if x.detail != "" {
		x.detail += ": "
	}
	x.detail += returnAt.String()
	return notRunRefusal(reason, returnAt.in)
}
