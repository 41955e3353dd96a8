package engine

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"
)

// Bounds on what an engine may send.
const (
	maxFrameBytes   = 64 << 10
	maxRefusalBytes = 16 << 10
	maxAnswerBytes  = 8 << 20
	idlePerServer   = 64
)

// ErrNotStarted marks an attempt that provably did not start: the engine was
// never reached or refused before any work. Another server may be tried.
var ErrNotStarted = eris.New("attempt did not start: try another backend server")

// ErrMayHaveStarted marks an attempt that broke after its first byte left.
var ErrMayHaveStarted = eris.New("attempt may have started: repeat it only if the request is idempotent")

// ErrBadFrame marks a stream whose bytes are not the protocol's. The engine is
// at fault: end the attempt and avoid the server.
var ErrBadFrame = eris.New("engine sent bytes that are not a frame: check the engine's version")

// Stream is the frames of one attempt.
type Stream interface {
	// Next waits for the next frame. It returns io.EOF when the engine closed the stream.
	// The frame is valid until the next call.
	Next() (Frame, error)
	// More tells whether Next would return without waiting.
	More() bool
	// Close ends the attempt; the engine stops working on it.
	Close() error
}

// Attempt names one attempt of a request.
type Attempt struct {
	Request string `json:"request"`
	Attempt int    `json:"attempt"`
}

// Client speaks to model engines. Address is host:port in every method.
type Client interface {
	// Open starts an attempt at the first hop of its path. An error wraps
	// ErrNotStarted or ErrMayHaveStarted.
	Open(ctx context.Context, attempt AttemptRequest) (Stream, error)
	// Cancel asks an engine to stop work on an attempt, on this and later stages.
	Cancel(ctx context.Context, address string, attempt Attempt) error
	// Capabilities asks an engine what it holds and how loaded it is.
	Capabilities(ctx context.Context, address string) (Capabilities, error)
	// CacheEvents asks for the events after a sequence number. Events may be
	// missing; the numbers show it.
	CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error)
	// ExportKV copies a request's KV cache. ErrKVAbsent says there is none.
	ExportKV(ctx context.Context, address, request string) (KV, error)
	// ImportKV gives an engine a copy, to be used by the request's next attempt.
	ImportKV(ctx context.Context, address string, kv KV) error
	// Order gives an order. An error wraps ErrStaleFence, ErrOrderRefused or ErrOrderUnknown.
	Order(ctx context.Context, address string, order Order) error
}

// DecodeFrame reads one line of a stream. An error wraps ErrBadFrame.
func DecodeFrame(line []byte) (Frame, error) {
	return new(frameDecoder).decode(line)
}

// Check tells whether exactly one part of the frame is set. An error wraps ErrBadFrame.
func (f Frame) Check() error {
	parts := 0
	if f.Token != nil {
		parts++
	}
	if f.Finish != "" {
		parts++
	}
	if f.Fault != nil {
		parts++
	}
	if parts != 1 {
		return fmt.Errorf("%w: %d of token, finish and fault are set, want one", ErrBadFrame, parts)
	}
	return nil
}
