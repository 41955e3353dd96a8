package entry

import (
	"context"
	"errors"
	"io"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// errMoved cancels an attempt whose stream moves to other servers. A partly
// received frame is dropped, so that the attempt ends between two tokens.
var errMoved = errors.New("stream moved to other servers")

// completion is a completion request in progress.
type completion struct {
	server   *Server
	arrived  core.RequestArrived
	body     completionRequest
	response responseWriter
	// tokens are the token IDs counter by all attempts so far.
	tokens []uint32
}

func (c *completion) refuse(problem *Problem) { c.response.refuse(problem) }

// attempt runs one attempt: it opens a stream at the engines and relays its
// tokens to the caller.
func (c *completion) attempt(ctx context.Context, dispatch core.Dispatch) attemptResult {
	ctx, endSpan := startAttemptSpan(ctx, dispatch)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer c.server.loop.OnMove(dispatch.Request, func(move core.Move) {
		if move.Attempt == dispatch.Attempt {
			cancel(errMoved)
		}
	})()
	detector := c.server.newStallDetector(dispatch, c.arrived.PromptTokens+len(c.tokens), cancel)
	defer detector.stop()
	result := c.relay(ctx, dispatch, detector)
	result.tokens = len(c.tokens)
	endSpan(result)
	return result
}

func (c *completion) relay(ctx context.Context, dispatch core.Dispatch, detector *stallDetector) attemptResult {
	first := dispatch.Path[0].Server
	expect := engine.ExpectationOf(dispatch)
	stream, err := c.server.engines.Open(ctx, c.attemptRequest(dispatch, expect.Path))
	if err != nil {
		return failedAttempt(ctx, openOutcome(err), first)
	}
	defer stream.Close()
	result := c.deliver(ctx, stream, dispatch, expect, detector)
	if result.outcome != request.Completed {
		c.server.cancelAttempt(dispatch)
	}
	return result
}

// deliver relays the stream's tokens to the caller until the stream ends.
func (c *completion) deliver(ctx context.Context, stream engine.Stream, dispatch core.Dispatch, expect *engine.Expectation, detector *stallDetector) attemptResult {
	first := expect.Path[0].Server
	counter := c.server.tokenCounters.counter(c.arrived.Pipeline)
	for {
		waited := !stream.More()
		detector.beginWait()
		frame, err := stream.Next()
		if err != nil {
			return failedAttempt(ctx, streamOutcome(err), first)
		}
		detector.endWait(waited)
		judgement, server := expect.Judge(frame)
		switch judgement {
		case engine.FrameForeign:
			countForeignFrame(first)
			continue
		case engine.FrameFault:
			return attemptResult{outcome: request.Interrupted, server: faultyServer(expect, server)}
		case engine.FrameFinish:
			return c.finish(frame)
		case engine.FrameUnproven:
			countBadReceipt(server)
			return attemptResult{outcome: request.BadReceipt, server: server}
		}
		detector.recordProof()
		c.tokens = append(c.tokens, frame.Token.ID)
		if err := c.response.writeToken(frame.Token.Text, stream.More()); err != nil {
			// The caller is gone or reads too slowly.
			return attemptResult{outcome: request.Interrupted, final: true}
		}
		counter.Add(1)
		if dispatch.Attempt > 1 && len(c.tokens) == dispatch.FromToken+1 {
			c.server.loop.Post(core.AttemptStreaming{Request: dispatch.Request, Attempt: dispatch.Attempt})
		}
	}
}

// finish completes the response. The attempt counts as completed even if the
// caller can't receive the last bytes.
func (c *completion) finish(frame engine.Frame) attemptResult {
	use := usage{PromptTokens: frame.PromptTokens, CompletionTokens: len(c.tokens)}
	use.TotalTokens = use.PromptTokens + use.CompletionTokens
	_ = c.response.finish(frame.Finish, use)
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

// streamOutcome classifies the error of a stream that broke. The engine had
// accepted the attempt, so it counts as run.
func streamOutcome(err error) request.Outcome {
	if errors.Is(err, io.EOF) || errors.Is(err, engine.ErrBadFrame) {
		return request.Interrupted
	}
	return request.Lost
}

// failedAttempt returns the result of a failed attempt. The stalled stage is
// at fault; none if the deadline or the caller ended the attempt; otherwise
// the first stage.
func failedAttempt(ctx context.Context, outcome request.Outcome, first string) attemptResult {
	var stall *stallError
	switch cause := context.Cause(ctx); {
	case errors.As(cause, &stall):
		return attemptResult{outcome: outcome, server: stall.server, suspects: stall.suspects}
	case errors.Is(cause, errMoved) && outcome != request.ProvenNotRun:
		return attemptResult{outcome: request.Moved}
	case cause != nil:
		return attemptResult{outcome: outcome}
	default:
		return attemptResult{outcome: outcome, server: first}
	}
}

// faultyServer returns the server that an engine reports as faulty if it is on
// the path, and the first stage otherwise: a faulty engine must not be able to
// have any server avoided.
func faultyServer(expect *engine.Expectation, named string) string {
	for _, hop := range expect.Path {
		if hop.Server == named {
			return named
		}
	}
	return expect.Path[0].Server
}

// cancelAttempt asks the first stage to cancel an attempt. Closing the
// connection isn't enough: an engine notices that only at its next write, and
// not at all if the network loses the close. At most maxConcurrentCancels
// calls are in flight; others are skipped.
func (s *Server) cancelAttempt(dispatch core.Dispatch) {
	select {
	case s.cancels <- struct{}{}:
	default:
		countCancel("skipped")
		return
	}
	go func() {
		defer func() { <-s.cancels }()
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		name := engine.Attempt{Request: string(dispatch.Request), Attempt: dispatch.Attempt}
		if err := s.engines.Cancel(ctx, dispatch.Path[0].Address, name); err != nil {
			countCancel("failed")
			return
		}
		countCancel("sent")
	}()
}
