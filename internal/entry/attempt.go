package entry

import (
	"context"
	"errors"
	"io"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// errMoved ends an attempt whose stream moves to other servers. A frame that has
// come only in part is dropped, so the attempt ends between two tokens.
var errMoved = errors.New("stream moves: it goes on at other servers")

// completion is a request for tokens.
type completion struct {
	server  *Server
	arrived core.RequestArrived
	body    completionRequest
	answer  answerWriter
	// tokens are those delivered by all attempts so far.
	tokens []uint32
}

func (c *completion) refuse(problem *Problem) { c.answer.refuse(problem) }

// attempt relays one attempt's tokens.
func (c *completion) attempt(ctx context.Context, dispatch core.Dispatch) attemptResult {
	ctx, endSpan := startAttemptSpan(ctx, dispatch)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.server.loop.OnMove(dispatch.Request, func(move core.Move) {
		if move.Attempt == dispatch.Attempt {
			cancel(errMoved)
		}
	})()
	silence := c.server.newWatch(dispatch, c.arrived.PromptTokens+len(c.tokens), cancel)
	defer silence.stop()
	result := c.relay(ctx, dispatch, silence)
	result.tokens = len(c.tokens)
	endSpan(result)
	return result
}

func (c *completion) relay(ctx context.Context, dispatch core.Dispatch, silence *watch) attemptResult {
	first := dispatch.Path[0].Server
	expect := engine.ExpectationOf(dispatch)
	stream, err := c.server.engines.Open(ctx, c.attemptRequest(dispatch, expect.Path))
	if err != nil {
		return brokenAttempt(ctx, openOutcome(err), first)
	}
	defer stream.Close()
	result := c.deliver(ctx, stream, dispatch, expect, silence)
	if result.outcome != request.Completed {
		c.server.cancelAttempt(dispatch)
	}
	return result
}

// deliver passes the stream's tokens on until it ends.
func (c *completion) deliver(ctx context.Context, stream engine.Stream, dispatch core.Dispatch, expect *engine.Expectation, silence *watch) attemptResult {
	first := expect.Path[0].Server
	delivered := c.server.delivered.of(c.arrived.Pipeline)
	for {
		waits := !stream.More()
		silence.await()
		frame, err := stream.Next()
		if err != nil {
			return brokenAttempt(ctx, streamOutcome(err), first)
		}
		silence.arrived(waits)
		judgement, server := expect.Judge(frame)
		switch judgement {
		case engine.FrameForeign:
			countForeign(first)
			continue
		case engine.FrameFault:
			return attemptResult{outcome: request.Interrupted, server: onPath(expect, server)}
		case engine.FrameFinish:
			return c.finish(frame)
		case engine.FrameUnproven:
			countBadReceipt(server)
			return attemptResult{outcome: request.BadReceipt, server: server}
		}
		silence.proven()
		c.tokens = append(c.tokens, frame.Token.ID)
		if err := c.answer.token(frame.Token.Text, stream.More()); err != nil {
			// The caller doesn't take its answer: gone, or too slow.
			return attemptResult{outcome: request.Interrupted, final: true}
		}
		delivered.Add(1)
		if dispatch.Attempt > 1 && len(c.tokens) == dispatch.FromToken+1 {
			c.server.loop.Post(core.AttemptStreaming{Request: dispatch.Request, Attempt: dispatch.Attempt})
		}
	}
}

// finish ends the answer. It is whole even if the caller can't take its last bytes.
func (c *completion) finish(frame engine.Frame) attemptResult {
	use := usage{PromptTokens: frame.PromptTokens, CompletionTokens: len(c.tokens)}
	use.TotalTokens = use.PromptTokens + use.CompletionTokens
	_ = c.answer.finish(frame.Finish, use)
	return attemptResult{outcome: request.Completed}
}

func (c *completion) attemptRequest(dispatch core.Dispatch, hops []engine.Hop) engine.AttemptRequest {
	return engine.AttemptRequest{
		Request:   string(dispatch.Request),
		Attempt:   dispatch.Attempt,
		Key:       c.arrived.Key,
		Model:     dispatch.Model,
		Version:   dispatch.Version,
		Path:      hops,
		Prompt:    c.body.prompt,
		Chat:      c.body.chat,
		Tokens:    c.tokens,
		MaxTokens: c.arrived.MaxTokens,
		Priority:  c.arrived.Priority,
		Once:      !c.arrived.Idempotent,
	}
}

func openOutcome(err error) request.Outcome {
	if errors.Is(err, engine.ErrNotStarted) {
		return request.ProvenNotRun
	}
	return request.Lost
}

// streamOutcome judges an attempt whose stream broke. The engine had accepted
// it, so it counts as run.
func streamOutcome(err error) request.Outcome {
	if errors.Is(err, io.EOF) || errors.Is(err, engine.ErrBadFrame) {
		return request.Interrupted
	}
	return request.Lost
}

// brokenAttempt places the fault of a broken attempt: at the silent stage, or
// nowhere when the deadline or the caller ended it, or else at the first stage.
func brokenAttempt(ctx context.Context, outcome request.Outcome, first string) attemptResult {
	var silent *silentError
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &silent):
		return attemptResult{outcome: outcome, server: silent.server, suspects: silent.suspects}
	case errors.Is(cause, errMoved) && outcome != request.ProvenNotRun:
		return attemptResult{outcome: request.Moved}
	case cause != nil:
		return attemptResult{outcome: outcome}
	default:
		return attemptResult{outcome: outcome, server: first}
	}
}

// onPath believes an engine's word about whose fault it was only if it names a
// stage of the path: otherwise a confused engine could have any server avoided.
func onPath(expect *engine.Expectation, named string) string {
	for _, hop := range expect.Path {
		if hop.Server == named {
			return named
		}
	}
	return expect.Path[0].Server
}

// cancelAttempt tells the first stage to stop. Closing the connection says the
// same, but an engine notices that only at its next write, and not at all
// behind a link that loses the close. At most cancelsAtOnce calls are open.
func (s *Server) cancelAttempt(dispatch core.Dispatch) {
	select {
	case s.cancels <- struct{}{}:
	default:
		countCancel("skipped")
		return
	}
	go func() {
		defer func() { <-s.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
		defer cancel()
		name := engine.Attempt{Request: string(dispatch.Request), Attempt: dispatch.Attempt}
		if err := s.engines.Cancel(ctx, dispatch.Path[0].Address, name); err != nil {
			countCancel("failed")
			return
		}
		countCancel("sent")
	}()
}
