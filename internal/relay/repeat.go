package relay

import (
	"context"
	"errors"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Limits of retries.
const (
	// maxRefusals is how often a request is offered to servers that report it as not run.
	maxRefusals = 4
	// maxSends is how often a request is sent that may run more than once and that servers
	// answer with a failure of their own.
	maxSends = 4
	// refusedBudgetShare and unansweredBudgetShare are the shares of the retry budget for
	// requests that no server took and for those without a response. The rest is reserved for
	// responses that have begun: their callers and servers have most to lose.
	refusedBudgetShare    = 0.75
	unansweredBudgetShare = 0.9
	// minOfferBackoff is the interval at which a request that was refused once asks for a
	// retry. It doubles with each further refusal: a server completes a usual request of 2 s
	// every 10 to 20 ms, and the VMs exchange loads every 250 ms.
	minOfferBackoff = 50 * time.Millisecond
)

// mayRetry reports whether another attempt is allowed, and takes it from the budget.
func (h *Handler) mayRetry(x *exchange, result outcome) bool {
	if x.ctx.Err() != nil || h.outlastsVM(x) {
		return false
	}
	if result == notExecuted {
		return x.refusals < maxRefusals && !h.isolated(x) && !h.pausedBeyondWait(x) && h.awaitRetry(x)
	}
	reserved := x.retryReserved
	x.retryReserved = false
	if x.route.Repeat == routes.AtMostOnce || !h.mayRunAgain(x, x.sends) {
		return false
	}
	x.allowed = nil
	if !h.mayRunElsewhere(x, x.ranOn) {
		// It may not run on further servers, but those that ran it may run it again.
		if x.route.Repeat != routes.Repeatable {
			return false
		}
		x.allowed = x.ranOn
	}
	if reserved {
		return true
	}
	if h.pausedBeyondWait(x) || !x.route.Stream && h.noServerAvailable(x) {
		return false
	}
	return h.takeRetry(x, x.budgetShare(unansweredBudgetShare))
}

// takeRetry takes the retry of the request's next attempt from the budget if allowed.
func (h *Handler) takeRetry(x *exchange, share float64) bool {
	at, allowed := h.Dispatcher.takeRetry(x.service.Name, share)
	if allowed {
		x.retryTakenAt = at
	}
	return allowed
}

// returnRetry gives the retry of the request's next attempt back if there is none.
func (h *Handler) returnRetry(x *exchange) {
	if x.retryTakenAt > 0 {
		h.Dispatcher.returnRetry(x.service.Name, x.retryTakenAt)
		x.retryTakenAt = 0
	}
}

// pausedBeyondWait reports whether all servers that could take the request's next attempt asked
// for a pause longer than the request may wait. Such a request is refused without taking a retry.
func (h *Handler) pausedBeyondWait(x *exchange) bool {
	var wait time.Duration
	if x.route.Stream {
		wait = remainingWaits(x).capacity
	}
	_, err := h.Dispatcher.preview(x.service, h.choiceRequest(x))
	paused := new(backends.PauseError)
	if !errors.As(err, &paused) || paused.Wait <= wait {
		return false
	}
	x.deferReason, x.retryIn, x.detail = ReasonPaused, paused.Wait, err.Error()
	return true
}

// noServerAvailable reports whether no server can take the request's next attempt now. A plain
// request doesn't wait for a server then, and its failure response may already be available.
func (h *Handler) noServerAvailable(x *exchange) bool {
	_, err := h.Dispatcher.preview(x.service, h.choiceRequest(x))
	return err != nil
}

// deferralReason returns the reason of the refusal of a request that its servers defer.
func deferralReason(deferral backends.Deferral) Reason {
	if paused := new(backends.PauseError); errors.As(deferral, &paused) {
		return ReasonPaused
	}
	return ReasonLimited
}

// budgetShare returns the share of the retry budget that a request may use: all of it once its
// response has begun, otherwise other.
func (x *exchange) budgetShare(other float64) float64 {
	if x.events > 0 {
		return 1
	}
	return other
}

// awaitRetry takes a retry from the budget for a request that no server ran. It waits for one
// within the wait for capacity, with a backoff that grows with the number of refusals.
//
// What can go wrong: servers of one data centre are lost, and its VMs offer requests to others,
// which fill up at once. Without the wait, a request is refused after four offers in 17 ms, or
// after one if its VM's share of the retries is used up for the moment, although capacity and a
// retry are available some 100 ms later; a response that has begun is cut.
func (h *Handler) awaitRetry(x *exchange) bool {
	start, backoff := time.Now(), minOfferBackoff<<max(x.refusals-1, 0)
	wait := remainingWaits(x).capacity
	defer func() { x.timing.capacityWait += time.Since(start) }()
	if x.refusals == 1 && h.takeRetry(x, x.budgetShare(refusedBudgetShare)) {
		return true
	}
	for time.Since(start)+backoff <= wait {
		select {
		case <-time.After(backoff):
		case <-x.ctx.Done():
			return false
		}
		if h.takeRetry(x, x.budgetShare(refusedBudgetShare)) {
			return true
		}
	}
	return false
}

// mayRunAgain reports whether a request that may run more than once may have another attempt
// after so many sends, regardless of the shared retry budget.
func (h *Handler) mayRunAgain(x *exchange, sends int) bool {
	return sends < maxSends && h.suspects.retryAllowed(x)
}

// mayRunElsewhere reports whether a request that ran on the given servers may run on one more.
func (h *Handler) mayRunElsewhere(x *exchange, ran []string) bool {
	return h.countKnown(ran) < max(x.route.MaxAttempts, 1)
}

// countKnown counts the servers that are still known.
func (h *Handler) countKnown(ids []string) int {
	known := 0
	for _, id := range ids {
		if !h.Dispatcher.removed(id) {
			known++
		}
	}
	return known
}

// finalRefusal returns the refusal of a request that could not be served.
func (h *Handler) finalRefusal(x *exchange, reason Reason) *refusal {
	timeout := errors.Is(context.Cause(x.ctx), errDeadline)
	if timeout {
		reason = ReasonTimeout
	}
	switch {
	case x.mayHaveRun:
		return uncertainRefusal(reason)
	case reason == ReasonStopping:
		return notRunRefusal(reason, reconnectDelay(x.call.Timeout))
	case x.deferReason != "" && !timeout:
		return notRunRefusal(x.deferReason, max(x.retryIn, retryAfterDefault))
	}
	if refused := h.overloadRefusal(x, reason); refused != nil {
		return refused
	}
	return notRunRefusal(reason, retryAfterDefault)
}
