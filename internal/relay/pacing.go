package relay

import (
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/pace"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// modelInterval is the interval at which a limiter gets the capacity of the servers, that of the
	// tallies: the demand of other VMs isn't known sooner.
	modelInterval = 250 * time.Millisecond
	// limitLogInterval is the minimum interval between two log lines on the limits of a service.
	limitLogInterval = time.Second
	// gapInterval is the interval at which the longest gap of a stream is reported, so that events of
	// streams seldom take the dispatcher's lock.
	gapInterval = 500 * time.Millisecond
)

// LimitError is returned if a limit on the streams of a service prevents a request from being sent now.
type LimitError struct {
	Service string
	Limit   pace.Limit
	State   pace.State
}

// Error implements error.
func (e *LimitError) Error() string {
	limit, used := e.State.StartingLimit, e.State.Starting
	if e.Limit == pace.Running {
		limit, used = e.State.RunningLimit, e.State.Running
	}
	return fmt.Sprintf("service %q has %d %s streams of this VM, which are as many as its servers serve in time (limit %.1f): come back, or let more servers hold its layers", e.Service, used, e.Limit, limit)
}

// Unwrap returns backends.ErrFull, since the request waits like one for which servers have no capacity.
func (e *LimitError) Unwrap() error { return backends.ErrFull }

// serviceLimiter is the limiter of a service with its metrics. It must be used with the dispatcher's
// lock held.
type serviceLimiter struct {
	pace.Limiter
	service           string
	modelAt, loggedAt time.Duration
	decreases         int
	gauges            [4]*metrics.Gauge
}

func newServiceLimiter(service string) *serviceLimiter {
	l := &serviceLimiter{service: service, modelAt: -modelInterval, loggedAt: -limitLogInterval}
	for i, limit := range []pace.Limit{pace.Starting, pace.Running} {
		l.gauges[2*i] = metrics.GetOrCreateGauge(fmt.Sprintf("oleandershunt_relay_streams_limit{service=%q,limit=%q}", service, limit), nil)
		l.gauges[2*i+1] = metrics.GetOrCreateGauge(fmt.Sprintf("oleandershunt_relay_streams{service=%q,limit=%q}", service, limit), nil)
	}
	return l
}

// updateMetrics sets the metrics to the limiter's state.
func (l *serviceLimiter) updateMetrics() {
	state := l.State()
	for i, value := range []float64{state.StartingLimit, float64(state.Starting), state.RunningLimit, float64(state.Running)} {
		l.gauges[i].Set(value)
	}
	if state.Decreases > l.decreases {
		metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_limit_decreases_total{service=%q,limit=%q}", l.service, state.Lowered)).Add(state.Decreases - l.decreases)
		l.decreases = state.Decreases
	}
}

// limiter returns the limiter of a service, or nil if its configuration doesn't say how fast servers
// read prompts.
func (d *Dispatcher) limiter(now time.Duration, service routes.Service) *serviceLimiter {
	if service.Engine == nil || service.Engine.ReadPerSecond <= 0 || service.Engine.TypicalPrompt <= 0 {
		return nil
	}
	l, ok := d.limiters[service.Name]
	if !ok {
		l = newServiceLimiter(service.Name)
		d.limiters[service.Name] = l
	}
	if now >= l.modelAt+modelInterval {
		l.modelAt = now
		l.SetModel(d.fleet.PromptCapacity(now, service))
	}
	return l
}

// forgetLimiters removes the limiters of services that a configuration doesn't have.
func (d *Dispatcher) forgetLimiters(table *routes.Table) {
	maps.DeleteFunc(d.limiters, func(name string, _ *serviceLimiter) bool {
		service, ok := table.Service(name)
		return !ok || service.Engine == nil
	})
}

// checkLimits returns a LimitError if the limits prevent a request from being sent now.
func (d *Dispatcher) checkLimits(now time.Duration, l *serviceLimiter, w *waiter) error {
	if l == nil || w.target <= 0 || w.item.Resume {
		return nil
	}
	limit := l.Binding(now, w.target)
	if limit == pace.None {
		return nil
	}
	err := &LimitError{Service: w.service.Name, Limit: limit, State: l.State()}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_relay_limited_total{service=%q,limit=%q}", w.service.Name, limit)).Inc()
	return err
}

// limitDue brings the latest start for a response in time forward if first events take longer than the
// queue assumes.
func (d *Dispatcher) limitDue(now time.Duration, w *waiter) {
	if l := d.limiter(now, w.service); l != nil && w.target > 0 && w.item.Due > 0 {
		usual := time.Duration(startShare * float64(w.target))
		w.item.Due = max(w.item.Due-max(usual-l.LatestStart(w.target), 0), 1)
	}
}

// attemptPace is an attempt as its service's limiter knows it. It is nil without a limiter.
type attemptPace struct {
	dispatcher *Dispatcher
	limiter    *serviceLimiter
	stream     *pace.Stream
	gapTarget  time.Duration
	// deliveredAt is when the last events were forwarded, reportedAt when the longest gap since then
	// was last reported.
	deliveredAt, reportedAt time.Time
	longestGap              time.Duration
}

// sendStream records that a stream is sent to its servers.
func (d *Dispatcher) sendStream(now time.Duration, l *serviceLimiter, w *waiter) *attemptPace {
	if l == nil {
		return nil
	}
	target := w.target
	if w.item.Resume {
		target = 0 // its servers read what was generated as well
	}
	p := &attemptPace{dispatcher: d, limiter: l, stream: l.Sent(now, target), gapTarget: w.gapTarget}
	l.updateMetrics()
	return p
}

// recordRead records that events were read from the server; time that writing them to the caller takes
// is no gap.
func (p *attemptPace) recordRead(now time.Time) {
	if p == nil {
		return
	}
	if p.deliveredAt.IsZero() {
		p.reportedAt = now
		p.report(func(at time.Duration) { p.limiter.Begun(at, p.stream) })
		return
	}
	p.longestGap = max(p.longestGap, now.Sub(p.deliveredAt))
	if p.gapTarget <= 0 || now.Sub(p.reportedAt) < gapInterval {
		return
	}
	gap := p.longestGap
	p.reportedAt, p.longestGap = now, 0
	p.report(func(at time.Duration) { p.limiter.ObserveGap(at, p.stream, gap, p.gapTarget) })
}

// recordDelivered records that events were written to the caller.
func (p *attemptPace) recordDelivered(now time.Time) {
	if p != nil {
		p.deliveredAt = now
	}
}

// report reports to the limiter, and wakes the queue.
func (p *attemptPace) report(record func(now time.Duration)) {
	d := p.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	record(d.now())
	p.limiter.updateMetrics()
	d.schedule(d.admissionQueue(p.limiter.service), 0)
}

// endLocked records the end of the attempt. It must be called with the dispatcher's lock held.
func (p *attemptPace) endLocked(now time.Duration) {
	if p == nil {
		return
	}
	p.limiter.Ended(now, p.stream)
	p.limiter.updateMetrics()
}

// limitLogDue reports whether a log line is due on the limit for which a request waits. It must be
// called with the dispatcher's lock held.
func (d *Dispatcher) limitLogDue(now time.Duration, w *waiter) bool {
	limit, l := (*LimitError)(nil), d.limiters[w.service.Name]
	if l == nil || !errors.As(w.err, &limit) || now < l.loggedAt+limitLogInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// logLimit logs that a limit prevents requests from being sent.
func (h *Handler) logLimit(x *exchange, err *LimitError) {
	telemetry.StreamsLimited.Log(h.Log, "service", err.Service, "request", x.call.ID, "limit", string(err.Limit),
		"starting", err.State.Starting, "startingLimit", err.State.StartingLimit, "running", err.State.Running, "runningLimit", err.State.RunningLimit,
		"lowered", string(err.State.Lowered), "firstMs", err.State.FirstEvent.Milliseconds())
}
