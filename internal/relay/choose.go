package relay

import (
	"context"
	"errors"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// The figures of waiting for a server.
const (
	// waitPart is the part of the target in which a request waits for a server to come
	// where no path has all layers; after it, the answer would be late in any case.
	waitPart = 0.5
	// roomTargets is how many targets a stream waits for room on a path that there is, and
	// longestRoom bounds that: callers leave a stream without an event after 2 s.
	roomTargets = 2.5
	longestRoom = 1500 * time.Millisecond
	// resumeWithin is how long after its last event a broken stream may wait for another
	// path: callers leave after 2 s of silence.
	resumeWithin = 1900 * time.Millisecond
	// waitStep is the time between two looks for a server at first. It doubles up to
	// longestStep: a look costs a small VM half a millisecond with 190 servers.
	waitStep    = 20 * time.Millisecond
	longestStep = 80 * time.Millisecond
)

// waits is how long a request waits for a server.
type waits struct {
	// server is for a path with all layers, or a server of a plain service.
	server time.Duration
	// room is for room on a path that there is.
	room time.Duration
}

// waitsFor is how long a request may still wait. It waits once, however often it is refused:
// its caller waits all the while, and goes to another VM when it is told so in time.
//
// What can go wrong: servers are short of room for a second, after one of them is lost. A
// request that is offered to full ones after a short wait uses up the repeats that all
// have together, and is refused, though room comes back when other requests end: a late
// answer is worth half of one in time, a refusal nothing.
func waitsFor(x *exchange) waits {
	if x.events > 0 {
		left := max(resumeWithin-time.Since(x.timing.last), 0)
		return waits{server: left, room: left}
	}
	target := float64(x.route.Target)
	whole := min(time.Duration(roomTargets*target), longestRoom)
	return waits{server: time.Duration(waitPart * target), room: max(whole-time.Since(x.start), 0)}
}

// choose finds a server or path, and waits for one. Where there is a path but no room, it
// is taken at the end of that time: the servers know better than this VM's guess.
func (h *Handler) choose(x *exchange, wait waits) (*opened, error) {
	begun := time.Now()
	step := waitStep
	request := h.request(x)
	queue := queue{h: h, service: x.service.Name}
	defer queue.leave()
	for {
		choice, load, err := h.Dispatcher.choose(x.service, request)
		x.deferred, x.due = "", 0
		if err == nil {
			x.timing.room += time.Since(begun)
			ctx, cancel := context.WithCancelCause(x.ctx)
			return &opened{choice: choice, sent: choice, load: load, ctx: ctx, cancel: cancel}, nil
		}
		left, late := wait.over(err)-time.Since(begun), false
		if deferral := backends.Deferral(nil); errors.As(err, &deferral) {
			x.deferred = reasonFor(deferral)
			x.due, late = queue.late(deferral, left)
		}
		if late || request.Force {
			x.detail = err.Error()
			return nil, err
		}
		if left <= 0 {
			request.Force = true
			continue
		}
		select {
		case <-time.After(step):
		case <-x.ctx.Done():
			return nil, context.Cause(x.ctx)
		}
		step = min(2*step, longestStep)
	}
}

// over is how long a request waits that was not served for a reason.
func (w waits) over(err error) time.Duration {
	if errors.Is(err, backends.ErrFull) {
		return w.room
	}
	if deferral := backends.Deferral(nil); errors.As(err, &deferral) {
		return max(w.room, w.server)
	}
	return w.server
}

func (h *Handler) request(x *exchange) backends.Request {
	request := backends.Request{DataCentre: h.DataCentre, Avoid: x.avoid, Prompt: float64(x.call.Prompt), Answer: 1}
	if x.only != nil {
		request.Avoid, request.Only = nil, x.only
	}
	if engine := x.service.Engine; engine != nil {
		request.Answer = float64(engine.Answer)
	}
	if x.call.Hint > 0 {
		request.Answer = float64(x.call.Hint)
	}
	if x.call.Answer > 0 {
		request.Answer = min(request.Answer, float64(x.call.Answer))
	}
	return request
}
