package entry

import (
	"context"
	"net/http"
	"time"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// job is one caller's request, as the serving of it differs by its kind.
type job interface {
	// attempt carries out one dispatch. Its outcome Completed means that the
	// answer has gone to the caller.
	attempt(ctx context.Context, dispatch core.Dispatch) attemptResult
	// refuse ends the request without a whole answer.
	refuse(problem *Problem)
}

// attemptResult is how a dispatch ended.
type attemptResult struct {
	outcome request.Outcome
	// server is at fault, where the fault can be placed.
	server string
	// suspects are the servers of a silent path, when it can't.
	suspects []string
	// tokens is the number delivered over all attempts.
	tokens int
	// final says that the request ends here, whatever the core could still try:
	// the caller is gone, or has a part of an answer that can't be gone on with.
	final bool
	// cut says that the caller's connection must be cut, as nothing else tells
	// it that its answer isn't whole.
	cut bool
}

// serve carries out the core's decisions about one request until it ends.
func (s *Server) serve(r *http.Request, arrived core.RequestArrived, timeout time.Duration, work job) {
	begun := time.Now()
	ctx, end := startRequestSpan(r, arrived)
	defer end()
	arrived.Deadline = s.loop.Now() + timeout
	timed, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Without the core nothing more is decided: a forced stop ends the attempt,
	// so that the caller can still be told what ran.
	defer s.loop.AfterEnd(cancel)()
	// The core ends a request at its deadline. Should its word not come, the
	// caller is still answered.
	overdue := time.NewTimer(timeout + overdueGrace)
	defer overdue.Stop()
	actions := s.loop.Open(arrived.Request)
	defer s.loop.Close(arrived.Request)
	inFlight.Inc()
	defer inFlight.Dec()
	s.loop.Post(arrived)
	execution := undispatched(arrived)
	for {
		select {
		case action := <-actions:
			switch a := action.(type) {
			case core.Refuse:
				s.refuse(ctx, work, problemFromRefusal(a))
				return
			case core.Dispatch:
				if a.Attempt == 1 {
					// The key was granted: no earlier sending of the request ran.
					execution = request.NotRun
				}
				result := work.attempt(timed, a)
				execution = strongest(execution, result)
				if s.afterAttempt(ctx, a, result) {
					countAnswer(arrived, result, time.Since(begun))
					if result.cut {
						panic(http.ErrAbortHandler)
					}
					return
				}
			}
		case <-ctx.Done():
			s.loop.Post(core.CallerDisconnected{Request: arrived.Request})
			countGone(arrived)
			return
		case <-overdue.C:
			s.loop.Post(core.CallerDisconnected{Request: arrived.Request})
			s.refuse(ctx, work, problemOverdue(arrived.Request, execution))
			return
		case <-s.loop.Done():
			s.refuse(ctx, work, problemShutdown(arrived.Request, execution))
			return
		}
	}
}

// afterAttempt reports an attempt's end to the core, and tells whether the
// request ended with it.
func (s *Server) afterAttempt(ctx context.Context, dispatch core.Dispatch, result attemptResult) bool {
	countAttempt(dispatch, result)
	over := result.outcome != request.Completed && (result.final || ctx.Err() != nil)
	if !over || result.server != "" {
		s.loop.Post(core.AttemptEnded{
			Request: dispatch.Request,
			Attempt: dispatch.Attempt,
			Outcome: result.outcome,
			Server:  result.server,
			Tokens:  result.tokens,

			Suspects: result.suspects,
		})
	}
	if result.outcome == request.Completed {
		return true
	}
	if over {
		// The core takes back whatever it decides upon the attempt's end.
		s.loop.Post(core.CallerDisconnected{Request: dispatch.Request})
	}
	return over
}

func (s *Server) refuse(ctx context.Context, work job, problem *Problem) {
	countRefusal(problem)
	noteRefusal(ctx, problem)
	work.refuse(problem)
}

// undispatched is what may be said of a request that this VM hasn't dispatched
// when the core's word on it doesn't come: an earlier sending under the caller's
// key may have run.
func undispatched(arrived core.RequestArrived) request.Execution {
	if arrived.KeyGiven && !arrived.Idempotent {
		return request.MayHaveRun
	}
	return request.NotRun
}

// strongest is what may be said of a request's execution after an attempt.
func strongest(known request.Execution, result attemptResult) request.Execution {
	switch {
	case known == request.Ran || result.tokens > 0:
		return request.Ran
	case result.outcome == request.ProvenNotRun:
		return known
	case result.outcome == request.Lost || result.outcome == request.Moved:
		return request.MayHaveRun
	default:
		return request.Ran
	}
}

func problemOverdue(id request.ID, execution request.Execution) *Problem {
	problem := newProblem(http.StatusGatewayTimeout, string(request.ReasonDeadline), refusalTexts[request.ReasonDeadline].detail)
	problem.Request = string(id)
	problem.Execution = execution
	return problem
}
