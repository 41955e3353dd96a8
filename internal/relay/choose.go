package relay

import (
	"context"
	"errors"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/queue"
	"oleandershunt.example/oleandershunt/internal/core/share"
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
	// startShare is the share of the route's latency target within which a request must start for
	// its first event to be in time.
	startShare = 0.7
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
// if it is refused early enough. Servers lack capacity for a second after one of them is lost, and a
// late response is worth half of one in time, a refusal nothing.
func remainingWaits(x *exchange) waitLimits {
	if x.events > 0 {
		window := max(resumeWindow-time.Since(x.timing.lastEvent), 0)
		return waitLimits{path: window, capacity: window}
	}
	target := float64(x.route.TargetLatency)
	maxWait := min(time.Duration(capacityWaitTargets*target), maxCapacityWait)
	return waitLimits{path: time.Duration(pathWaitShare * target), capacity: max(maxWait-time.Since(x.start), 0)}
}

// isolationCheckInterval is the interval at which a request that waits without any server checks
// whether no VM reaches a server of its service.
const isolationCheckInterval = 100 * time.Millisecond

// choose selects a server or path and waits in the service's queue for one if necessary. A request
// that can't start within its limits is refused, at once if that is known: sent to full servers it
// would use up the shared retry budget and take time from the streams that run there.
func (h *Handler) choose(x *exchange, limits waitLimits) (*openAttempt, error) {
	if h.outlastsVM(x) {
		x.deferReason = ""
		return nil, errVMEnds
	}
	start := time.Now()
	w := &waiter{item: queueItem(x, h.Dispatcher.now()), service: x.service, request: h.choiceRequest(x), limits: limits, first: !x.startCounted, shareMark: x.shareMark, shed: x.shed}
	if x.route.Stream {
		w.target, w.gapTarget = x.route.TargetLatency, x.route.TargetGap
	}
	w.item.Claimed = x.claimed
	if !x.entered && promisesReturn(x) {
		w.key = promiseKey(x.poison)
	}
	result, ahead, admitted := h.Dispatcher.enter(w)
	x.entered, x.claimed = true, w.item.Claimed
	if limit := (*LimitError)(nil); result.limitLogDue && errors.As(result.err, &limit) {
		h.logLimit(x, limit)
	}
	if !admitted {
		result = h.awaitAdmission(x, w, ahead, result.err)
	}
	x.timing.capacityWait += time.Since(start)
	x.setDeferral(result.err, ahead)
	if result.err != nil {
		h.Dispatcher.countUnstarted(w, result.err)
		x.detail = h.Dispatcher.describe(w)
		return nil, result.err
	}
	x.startCounted = true
	ctx, cancel := context.WithCancelCause(x.ctx)
	return &openAttempt{choice: result.choice, sentTo: result.choice, load: result.load, pace: result.pace, ctx: ctx, cancel: cancel}, nil
}

// queueItem returns the place of a request's next attempt in its queue.
func queueItem(x *exchange, now time.Duration) queue.Item {
	item := queue.Item{Resume: x.events > 0, Priority: x.priority(), Account: x.account.Name, Work: requestWork(x), OverShare: x.shareMark == share.Over}
	if x.route.TargetLatency > 0 {
		item.Due = now - time.Since(x.start) + time.Duration(startShare*float64(x.route.TargetLatency))
	}
	return item
}

// awaitAdmission waits for the result of a queued request. It leaves the queue if its servers accept
// none until after its wait, if no VM reaches a server, if its caller disconnects, or if the VM ends before it.
func (h *Handler) awaitAdmission(x *exchange, w *waiter, ahead int, err error) admission {
	if deferral := backends.Deferral(nil); errors.As(err, &deferral) {
		if due, known := deferral.RetryAfter(ahead); known && due > w.limits.limitFor(err) {
			h.Dispatcher.leave(w)
			return admission{err: err}
		}
	}
	ticker := time.NewTicker(isolationCheckInterval)
	defer ticker.Stop()
	vmEnds := h.end.known
	for {
		if errors.Is(err, backends.ErrNoServer) && h.isolated(x) {
			h.Dispatcher.leave(w)
			return admission{err: err}
		}
		select {
		case result := <-w.admitted:
			return result
		case <-x.ctx.Done():
			h.Dispatcher.leave(w)
			return admission{err: context.Cause(x.ctx)}
		case <-vmEnds:
			vmEnds = nil
			if h.outlastsVM(x) {
				h.Dispatcher.leave(w)
				return admission{err: errVMEnds}
			}
		case <-ticker.C:
		}
	}
}

// setDeferral records for the refusal whether the servers defer the request, and until when with so
// many others ahead of it.
func (x *exchange) setDeferral(err error, ahead int) {
	x.deferReason, x.retryIn = "", 0
	if deferral := backends.Deferral(nil); errors.As(err, &deferral) {
		x.deferReason = deferralReason(deferral)
		x.retryIn, _ = deferral.RetryAfter(ahead)
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
	if x.preferred == "" {
		x.preferred = h.Dispatcher.drawDataCentre(x.service.Name, h.DataCentre)
	} else if x.preferred != h.DataCentre && !h.Dispatcher.reaches(x.preferred) {
		x.preferred = h.DataCentre
	}
	request := backends.Request{DataCentre: h.DataCentre, Preferred: x.preferred, Avoid: x.avoid, Prompt: float64(x.call.PromptTokens)}
	if x.allowed != nil {
		request.Avoid, request.Allowed = nil, x.allowed
	}
	request.Answer = answerTokens(x)
	return request
}

// answerTokens returns the expected length of the response in tokens.
func answerTokens(x *exchange) float64 {
	tokens := 1.0
	if engine := x.service.Engine; engine != nil {
		tokens = float64(engine.TypicalAnswer)
	}
	if x.call.EstimatedTokens > 0 {
		tokens = float64(x.call.EstimatedTokens)
	}
	if x.call.MaxTokens > 0 {
		tokens = min(tokens, float64(x.call.MaxTokens))
	}
	return tokens
}
