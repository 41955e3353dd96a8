package relay

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/promise"
	"oleandershunt.example/oleandershunt/internal/core/queue"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/share"
)

// Processing of the admission queues.
const (
	// minProcessInterval is the minimum interval between two passes over a queue, so that many
	// events in a moment cost one pass: a choice takes half a millisecond of a small VM with 190
	// servers.
	minProcessInterval = 2 * time.Millisecond
	// processInterval is the interval between two passes while requests wait and nothing else
	// causes one. Suspicions and backoffs of servers end without an event.
	processInterval = 25 * time.Millisecond
	// maxTried is how many requests are tried in a pass that can't start before the pass ends: the
	// first one may be larger than others or have servers to avoid.
	maxTried = 3
)

// admissionQueue is the queue of one service.
type admissionQueue struct {
	service string
	queue   *queue.Queue
	waiting map[uint64]*waiter
	// meter measures the starts.
	meter promise.Meter
	// err is why the last request that was tried couldn't start, and failedAt when it was tried.
	err      error
	failedAt time.Duration
	// lastPass is when the queue was last processed, and nextPass when it will be; 0 if no pass is
	// scheduled.
	lastPass, nextPass time.Duration
	timer              *time.Timer
	// log decides when a log line on the queue is due.
	log queueLog
}

// waiter is a request that waits for capacity.
type waiter struct {
	item    queue.Item
	service routes.Service
	request backends.Request
	limits  waitLimits
	// target and gapTarget are the targets of a stream that count for the limits of its service; 0 for
	// none.
	target, gapTarget time.Duration
	start             time.Duration
	// first is set until a server was chosen for the request.
	first bool
	// shareMark is the mark of the request, of which work is given back if it doesn't start.
	shareMark share.Mark
	// shed says that the request is refused in favour of others.
	shed bool
	// key identifies a request that is new at this VM; 0 for others and without promises.
	key promise.Key
	// due is the time at which the caller was promised to return, if it did; 0 if not.
	due time.Duration
	// err is why no server could be chosen at the last try, and tried is set once there was one.
	err   error
	tried bool
	// admitted receives the result, once.
	admitted chan admission
}

// admission is the result of waiting: a choice, or the reason why there is none.
type admission struct {
	choice backends.Choice
	load   backends.Load
	pace   *attemptPace
	err    error
	// limitLogDue says that a log line on the limit in err is due.
	limitLogDue bool
}

// expiry returns the latest start of the request after err, the reason why no server was chosen.
func (w *waiter) expiry() time.Duration { return w.start + w.limits.limitFor(w.err) }

// enter chooses a server for a request if none is to start before it, and otherwise queues it. ahead
// is the number of requests to start before it. A request that would start too late gets its refusal.
func (d *Dispatcher) enter(w *waiter) (result admission, ahead int, admitted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	w.start = now
	d.limitDue(now, w)
	q := d.admissionQueue(w.service.Name)
	d.claim(now, w)
	ahead = q.queue.Ahead(now, w.item)
	if d.refusesShed(w) {
		w.err = shedError{}
		return admission{err: w.err}, ahead, true
	}
	if ahead == 0 {
		if result = d.tryStart(now, w); result.err == nil {
			return result, 0, true
		}
		w.err = result.err
		q.fail(now, result.err)
	} else {
		w.err = d.waitReason(q, w)
	}
	if d.startsTooLate(now, q, w, ahead) {
		w.err = forecastError{}
		return admission{err: w.err}, ahead, true
	}
	if w.service.Engine != nil && errors.Is(w.err, backends.ErrFull) {
		d.elsewhereAt = now
	}
	d.requestID++
	w.item.ID, w.item.Expiry, w.admitted = d.requestID, w.expiry(), make(chan admission, 1)
	q.queue.Push(now, w.item)
	q.waiting[w.item.ID] = w
	d.demand.counter.Queued(w.demandKey(), w.item.Work)
	d.observeWaiting(now, q)
	d.schedule(q, processInterval)
	return admission{err: w.err, limitLogDue: d.limitLogDue(now, w)}, ahead, false
}

// waitReason returns why a request waits that others are to start before. Unless those wait for
// capacity, they may wait for a reason of their own, such as servers that failed them, which says
// nothing about this request: its limits on waiting follow from its own choice.
func (d *Dispatcher) waitReason(q *admissionQueue, w *waiter) error {
	if errors.Is(q.err, backends.ErrFull) {
		return q.err
	}
	if _, err := d.pickLocked(w.service, w.request); err != nil {
		return err
	}
	return backends.ErrFull
}

// leave removes a request from its queue. If it was admitted meanwhile, its load is released.
func (d *Dispatcher) leave(w *waiter) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q := d.admissionQueue(w.service.Name)
	if q.queue.Remove(w.item.ID) {
		delete(q.waiting, w.item.ID)
		d.demand.counter.Dequeued(w.demandKey(), w.item.Work)
		d.observeWaiting(d.now(), q)
		return
	}
	if result := <-w.admitted; result.err == nil {
		d.fleet.RemoveLoad(result.load)
		result.pace.endLocked(d.now())
		d.wakeLocked()
	}
}

// tryStart chooses a server for a request and adds its load, if the limits of its service allow that.
func (d *Dispatcher) tryStart(now time.Duration, w *waiter) admission {
	w.tried = true
	limiter := d.limiter(now, w.service)
	if err := d.checkLimits(now, limiter, w); err != nil {
		return admission{err: err}
	}
	choice, err := d.pickLocked(w.service, w.request)
	if err != nil {
		return admission{err: err}
	}
	if w.service.Engine != nil && choice.First.DataCentre != w.request.DataCentre {
		d.elsewhereAt = now
	}
	load := choice.Load(w.request.Prompt + w.request.Answer)
	d.fleet.AddLoad(load)
	d.fleet.CountSent(now, choice)
	if d.fleet.IsEntryMissing(choice.First.ID) {
		metrics.GetOrCreateCounter("oleandershunt_relay_missing_entry_attempts_total").Inc()
	}
	d.admissionQueue(w.service.Name).queue.Started(w.item)
	d.countStarted(now, w)
	d.recordStart(now, w)
	return admission{choice: choice, load: load, pace: d.sendStream(now, limiter, w)}
}

func (d *Dispatcher) admissionQueue(service string) *admissionQueue {
	q, ok := d.queues[service]
	if !ok {
		q = &admissionQueue{service: service, queue: queue.New(), waiting: make(map[uint64]*waiter)}
		d.queues[service] = q
	}
	return q
}

// elsewherePeriod is how long after a request found no capacity in its own data centre this VM needs the
// loads of servers in others.
const elsewherePeriod = time.Second

// NeedsLoadsElsewhere reports whether requests may start in other data centres, so that this VM needs
// to know the loads there: lately some waited for capacity or started elsewhere.
func (d *Dispatcher) NeedsLoadsElsewhere() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.elsewhereAt != 0 && d.now() < d.elsewhereAt+elsewherePeriod
}

// wakeLocked schedules a pass over the queues since capacity may have become available. It must be
// called with the lock held.
func (d *Dispatcher) wakeLocked() {
	for _, q := range d.queues {
		d.schedule(q, 0)
	}
}

// schedule schedules a pass over a queue after delay, if that is earlier than the one that is
// scheduled. It must be called with the lock held.
func (d *Dispatcher) schedule(q *admissionQueue, delay time.Duration) {
	if q.queue.Len() == 0 {
		return
	}
	now := d.now()
	at := max(now+delay, q.lastPass+minProcessInterval)
	if q.nextPass != 0 && q.nextPass <= at {
		return
	}
	q.nextPass = at
	if q.timer == nil {
		q.timer = time.AfterFunc(at-now, func() { d.process(q) })
		return
	}
	q.timer.Reset(at - now)
}

// process starts the requests of a queue that can start, and ends the wait of those that may not
// start any more.
func (d *Dispatcher) process(q *admissionQueue) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	q.lastPass, q.nextPass = now, 0
	// Capacity that became available while a late pass was due goes to requests before they expire.
	for d.startNext(now, q) {
	}
	for _, item := range q.queue.Expired(now) {
		d.expire(now, q, q.waiting[item.ID])
	}
	d.shedLate(now, q)
	d.observeWaiting(now, q)
	d.schedule(q, processInterval)
}

// shedLate ends the wait of requests that can't be in time any more, if the servers have lacked
// capacity for long enough to show that others will go before them until they expire.
func (d *Dispatcher) shedLate(now time.Duration, q *admissionQueue) {
	if !errors.Is(q.err, backends.ErrFull) || !q.meter.Rate(now, 0).Certain {
		return
	}
	for _, item := range q.queue.ShedLate(now) {
		w := q.waiting[item.ID]
		w.err = forecastError{}
		d.endWait(q, w, admission{err: w.err}, waitShed)
	}
}

// fail records why the last request that was tried couldn't start.
func (q *admissionQueue) fail(now time.Duration, err error) { q.err, q.failedAt = err, now }

// expire ends the wait of a request that may not start later. It is tried once if it never was: the
// requests before it may wait for reasons of their own.
func (d *Dispatcher) expire(now time.Duration, q *admissionQueue, w *waiter) {
	result := admission{err: w.err}
	if !w.tried {
		result = d.tryStart(now, w)
		w.err = result.err
	}
	outcome := waitExpired
	if result.err == nil {
		outcome = waitStarted
	}
	d.endWait(q, w, result, outcome)
}

// startNext starts the first request that can start, of the first few.
func (d *Dispatcher) startNext(now time.Duration, q *admissionQueue) bool {
	var reason error
	for _, item := range q.queue.Next(now, maxTried) {
		w := q.waiting[item.ID]
		result := d.tryStart(now, w)
		if result.err == nil {
			q.queue.Remove(item.ID)
			d.endWait(q, w, result, waitStarted)
			return true
		}
		w.err = result.err
		q.queue.SetExpiry(item.ID, w.expiry())
		if reason == nil || errors.Is(result.err, backends.ErrFull) {
			reason = result.err
		}
	}
	if reason != nil {
		q.fail(now, reason)
	}
	return false
}

// Outcomes of a wait, as counted in metrics.
const (
	waitStarted = "started"
	waitExpired = "expired"
	// waitShed: the request couldn't be in time any more.
	waitShed = "shed"
)

// endWait ends the wait of a request that was removed from its queue.
func (d *Dispatcher) endWait(q *admissionQueue, w *waiter, result admission, outcome string) {
	delete(q.waiting, w.item.ID)
	d.demand.counter.Dequeued(w.demandKey(), w.item.Work)
	w.admitted <- result
	metrics.GetOrCreateHistogram(fmt.Sprintf("oleandershunt_admission_wait_seconds{service=%q,outcome=%q}", q.service, outcome)).Update((d.now() - w.start).Seconds())
}

// describe returns why a request was not admitted, for its log line.
func (d *Dispatcher) describe(w *waiter) string {
	if errors.Is(w.err, backends.ErrNoServer) {
		// A choice without regard to capacity names the layers that no server holds.
		request := w.request
		request.IgnoreCapacity = true
		if _, err := d.preview(w.service, request); err != nil {
			return err.Error()
		}
	}
	return w.err.Error()
}
