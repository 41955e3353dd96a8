package relay

import (
	"context"
	"errors"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// The figures of repeats.
const (
	// refusalsBound is how often a request is offered to servers that say not to
	// have run it.
	refusalsBound = 4
	// failuresBound is how often a request runs that may run freely and that servers
	// answer with a failure of their own.
	failuresBound = 4
	// offersPart and answersPart are the parts of the budget of repeats for requests
	// that no server took and for those without an answer. The rest is for answers
	// that have begun: their callers and servers have most to lose.
	offersPart  = 0.75
	answersPart = 0.9
	// offerStep is the time between two questions for a repeat of a request that was refused
	// once. It doubles with each further refusal: a server ends a usual request of 2 s each
	// 10 to 20 ms, and sums of loads come each 250 ms.
	offerStep = 50 * time.Millisecond
)

// mayRepeat tells whether another attempt is allowed, and takes it from the budget.
func (h *Handler) mayRepeat(x *exchange, last fate) bool {
	if x.ctx.Err() != nil {
		return false
	}
	if last == notStarted {
		return x.refusals < refusalsBound && !h.putOff(x) && h.mayOffer(x)
	}
	reserved := x.reserved
	x.reserved = false
	if x.route.Repeat == routes.Once || !h.mayRunAgain(x, x.sends) {
		return false
	}
	x.only = nil
	if !h.mayRunElsewhere(x, x.ran) {
		// No more servers may run it, but those that did may do so again.
		if x.route.Repeat != routes.Freely {
			return false
		}
		x.only = x.ran
	}
	if reserved {
		return true
	}
	if h.putOff(x) || !x.route.Stream && h.noServer(x) {
		return false
	}
	return h.Dispatcher.mayRepeat(x.service.Name, x.part(answersPart))
}

// putOff tells whether all servers that could take the request's next attempt asked for a
// pause that is longer than it waits. It is refused then, and takes no repeat.
func (h *Handler) putOff(x *exchange) bool {
	var wait time.Duration
	if x.route.Stream {
		wait = waitsFor(x).room
	}
	_, err := h.Dispatcher.look(x.service, h.request(x))
	paused := new(backends.PauseError)
	if !errors.As(err, &paused) || paused.Wait <= wait {
		return false
	}
	x.deferred, x.due, x.detail = ReasonPaused, paused.Wait, err.Error()
	return true
}

// noServer tells whether no server can take the request's next attempt now. A plain request
// doesn't wait for one then, and its answer may be there already.
func (h *Handler) noServer(x *exchange) bool {
	_, err := h.Dispatcher.look(x.service, h.request(x))
	return err != nil
}

// reasonFor is why a request is refused for which servers want to be waited for.
func reasonFor(deferral backends.Deferral) Reason {
	if paused := new(backends.PauseError); errors.As(deferral, &paused) {
		return ReasonPaused
	}
	return ReasonLimited
}

// part is the part of the budget of repeats that a request may take: all of it once its
// answer has begun.
func (x *exchange) part(other float64) float64 {
	if x.events > 0 {
		return 1
	}
	return other
}

// mayOffer takes a repeat from the budget for a request that no server ran. It waits for
// one as for room, and the longer the more servers have refused the request.
//
// What can go wrong: servers of one data centre are lost, and its VMs offer requests to
// others, which fill up at once. A request is refused after four offers in 17 ms, or after
// one since its VM's part of the repeats of a moment is used up, though there is room and a
// repeat some 100 ms later; an answer that has begun is cut.
func (h *Handler) mayOffer(x *exchange) bool {
	begun, step := time.Now(), offerStep<<max(x.refusals-1, 0)
	wait := waitsFor(x).room
	defer func() { x.timing.room += time.Since(begun) }()
	if x.refusals == 1 && h.Dispatcher.mayRepeat(x.service.Name, x.part(offersPart)) {
		return true
	}
	for time.Since(begun)+step <= wait {
		select {
		case <-time.After(step):
		case <-x.ctx.Done():
			return false
		}
		if h.Dispatcher.mayRepeat(x.service.Name, x.part(offersPart)) {
			return true
		}
	}
	return false
}

// mayRunAgain tells whether a request that may run again has another attempt after so
// many, repeats of all VMs left aside.
func (h *Handler) mayRunAgain(x *exchange, sends int) bool {
	return sends < failuresBound && h.suspects.repeats(x.poison)
}

// mayRunElsewhere tells whether a request that ran on servers may run on one more.
func (h *Handler) mayRunElsewhere(x *exchange, ran []string) bool {
	return h.live(ran) < max(x.route.Attempts, 1)
}

// live counts the servers that are still there.
func (h *Handler) live(ids []string) int {
	live := 0
	for _, id := range ids {
		if !h.Dispatcher.gone(id) {
			live++
		}
	}
	return live
}

// giveUp is the truth about a request that could not be served.
func (x *exchange) giveUp(reason Reason) *refusal {
	timeout := errors.Is(context.Cause(x.ctx), errDeadline)
	if timeout {
		reason = ReasonTimeout
	}
	switch {
	case x.mayHaveRun:
		return unknown(reason)
	case x.deferred != "" && !timeout:
		return notRun(x.deferred, max(x.due, comeBack))
	default:
		return notRun(reason, comeBack)
	}
}
