package relay

import (
	"context"
	"errors"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// Limits on waiting for a server.
const (
	// pathWaitShare is the share of the route's latency target for which a request waits for a
	// path while none has all layers. After a longer wait the response would be late in any
	// case.
	pathWaitShare = 0.5
	// capacityWaitTargets is how many latency targets a stream waits for capacity on an
	// existing path, and maxCapacityWait bounds that: callers disconnect after 2 s without an
	// event.
	capacityWaitTargets = 2.5
	maxCapacityWait     = 1500 * time.Millisecond
	// resumeWindow is how long after its last event a broken stream may wait for another path:
	// callers disconnect after 2 s of silence.
	resumeWindow = 1900 * time.Millisecond
	// minPollInterval is the first interval between two attempts to choose a server. It doubles
	// up to maxPollInterval: with 190 servers a choice costs a small VM half a millisecond.
	minPollInterval = 20 * time.Millisecond
	maxPollInterval = 80 * time.Millisecond
)

// waitLimits is how long a request may wait for a server.
type waitLimits struct {
	// path bounds the wait for a path with all layers, or for a server of a plain service.
	path time.Duration
	// capacity bounds the wait for capacity on an existing path.
	capacity time.Duration
}

// remainingWaits returns how long a request may still wait. The limit holds for the whole
// request, not for each refusal: the caller is waiting all the time, and can go to another VM
// if it is refused early enough.
//
// What can go wrong: servers lack capacity for a second after one of them is lost. A request
// offered to full servers after a short wait uses up the shared retry budget and is refused,
// although capacity becomes free when other requests end. A late response is worth half of one
// in time, a refusal nothing.
func remainingWaits(x *exchange) waitLimits {
	if x.events > 0 {
		window := max(resumeWindow-time.Since(x.timing.lastEvent), 0)
		return waitLimits{path: window, capacity: window}
	}
	target := float64(x.route.TargetLatency)
	maxWait := min(time.Duration(capacityWaitTargets*target), maxCapacityWait)
	return waitLimits{path: time.Duration(pathWaitShare * target), capacity: max(maxWait-time.Since(x.start), 0)}
}

// choose selects a server or path and waits for one if necessary. If there is a path but no
// capacity by the end of the wait, it takes the path regardless, as the servers know their load
// better than this VM.
func (h *Handler) choose(x *exchange, limits waitLimits) (*openAttempt, error) {
	start := time.Now()
	interval := minPollInterval
	request := h.choiceRequest(x)
	entry := rateQueueEntry{h: h, service: x.service.Name}
	defer entry.release()
	for {
		choice, load, err := h.Dispatcher.choose(x.service, request)
		x.deferReason, x.retryIn = "", 0
		if err == nil {
			x.timing.capacityWait += time.Since(start)
			ctx, cancel := context.WithCancelCause(x.ctx)
			return &openAttempt{choice: choice, sentTo: choice, load: load, ctx: ctx, cancel: cancel}, nil
		}
		timeLeft, tooLate := limits.limitFor(err)-time.Since(start), false
		if deferral := backends.Deferral(nil); errors.As(err, &deferral) {
			x.deferReason = deferralReason(deferral)
			x.retryIn, tooLate = entry.tooLate(deferral, timeLeft)
		}
		if tooLate || request.IgnoreCapacity || errors.Is(err, backends.ErrNoServer) && h.isolated(x) {
			x.detail = err.Error()
			return nil, err
		}
		if timeLeft <= 0 {
			request.IgnoreCapacity = true
			continue
		}
		select {
		case <-time.After(interval):
		case <-x.ctx.Done():
			return nil, context.Cause(x.ctx)
		}
		interval = min(2*interval, maxPollInterval)
	}
}

// limitFor returns how long a request waits after err, the reason why no server was chosen.
func (w waitLimits) limitFor(err error) time.Duration {
	if errors.Is(err, backends.ErrFull) {
		return w.capacity
	}
	if deferral := backends.Deferral(nil); errors.As(err, &deferral) {
		return max(w.capacity, w.path)
	}
	return w.path
}

func (h *Handler) choiceRequest(x *exchange) backends.Request {
	request := backends.Request{DataCentre: h.DataCentre, Avoid: x.avoid, Prompt: float64(x.call.PromptTokens), Answer: 1}
	if x.allowed != nil {
		request.Avoid, request.Allowed = nil, x.allowed
	}
	if engine := x.service.Engine; engine != nil {
		request.Answer = float64(engine.TypicalAnswer)
	}
	if x.call.EstimatedTokens > 0 {
		request.Answer = float64(x.call.EstimatedTokens)
	}
	if x.call.MaxTokens > 0 {
		request.Answer = min(request.Answer, float64(x.call.MaxTokens))
	}
	return request
}
