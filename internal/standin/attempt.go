package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/engine"
)

func (e *Engine) serveAttempt(w http.ResponseWriter, r *http.Request) {
	now, _ := e.faults.get()
	if now.CloseUnread {
		panic(http.ErrAbortHandler)
	}
	var attempt engine.AttemptRequest
	if err := json.NewDecoder(r.Body).Decode(&attempt); err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "body is not an attempt: "+err.Error())
		return
	}
	if kind, reason := e.mismatch(attempt, now); reason != "" {
		refuse(w, http.StatusConflict, kind, reason)
		return
	}
	e.counts.began(attempt)
	if now.poisoned(attempt.Prompt) {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	l := e.current()
	ctx, done := l.register(r.Context(), attempt)
	defer done()
	w.Header().Set("Content-Type", "application/x-ndjson")
	out := newFrameWriter(ctx, w, attempt, &e.faults)
	err := e.generate(ctx, l, attempt, out)
	if err != nil {
		e.counts.broken(ctx)
	}
	if err != nil && !errors.Is(err, errStreamEnded) {
		out.fault(err)
	}
}

// register makes an attempt known to cancel calls until done.
func (l *life) register(parent context.Context, attempt engine.AttemptRequest) (context.Context, func()) {
	ctx, cancel := context.WithCancel(parent)
	name := engine.Attempt{Request: attempt.Request, Attempt: attempt.Attempt}
	l.mu.Lock()
	l.attempts[name] = cancel
	l.mu.Unlock()
	l.running.Add(1)
	return ctx, func() {
		l.running.Add(-1)
		l.mu.Lock()
		delete(l.attempts, name)
		l.mu.Unlock()
		cancel()
	}
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var name engine.Attempt
	if err := json.NewDecoder(r.Body).Decode(&name); err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "body is not an attempt's name: "+err.Error())
		return
	}
	l := e.current()
	l.mu.Lock()
	cancel, ok := l.attempts[name]
	l.mu.Unlock()
	e.counts.cancelled()
	if ok {
		cancel()
	}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) mismatch(attempt engine.AttemptRequest, now Faults) (engine.RefusalKind, string) {
	h := e.holding()
	switch {
	case now.Refuse:
		return engine.RefusalBusy, "engine is full"
	case h.loading:
		return engine.RefusalBusy, "engine is loading weights"
	case h.leaving:
		return engine.RefusalLeaving, "engine takes no new work"
	case len(attempt.Path) == 0 || attempt.Path[0].Server != e.options.Server:
		return engine.RefusalMismatch, "first stage of the path is another server"
	case attempt.Version != h.version || attempt.Model != h.model:
		return engine.RefusalMismatch, "engine holds " + h.model + " " + h.version
	case !within(attempt.Path[0].Layers, h.layers):
		return engine.RefusalMismatch, "engine holds layers " + h.layers.String()
	default:
		return "", ""
	}
}

// within tells whether a range that a path asks for is held: an engine may run
// a part of its layers only.
func within(asked, held api.Layers) bool {
	return asked.From >= held.From && asked.To <= held.To && asked.Len() > 0
}

// generate steps the stream through the path until the answer ends.
func (e *Engine) generate(ctx context.Context, l *life, attempt engine.AttemptRequest, out *frameWriter) error {
	own, err := e.openStage(ctx, l, attempt)
	if err != nil {
		return err
	}
	defer own.close()
	tokens := attempt.Tokens
	for index := len(tokens); index < attempt.MaxTokens; index++ {
		hidden, receipts, err := own.step(ctx, stepFrame{Index: index, Tokens: tokens})
		if err != nil {
			return err
		}
		token := sample(hidden)
		tokens = append(tokens, token)
		if err := out.token(index, token, receipts); err != nil {
			return err
		}
		e.counts.made.Add(1)
		if token == stopToken {
			return out.finish("stop")
		}
	}
	return out.finish("length")
}

// stageError is a fault in the path, with the server that caused it.
type stageError struct {
	server string
	err    error
}

// Error implements error.
func (s *stageError) Error() string { return "stage " + s.server + ": " + s.err.Error() }

// Unwrap gives the cause.
func (s *stageError) Unwrap() error { return s.err }

// frameWriter sends the frames of one attempt, with the engine's faults.
type frameWriter struct {
	attempt engine.AttemptRequest
	out     http.ResponseWriter
	flush   func() error
	faults  *faults
	ctx     context.Context
}

func newFrameWriter(ctx context.Context, w http.ResponseWriter, attempt engine.AttemptRequest, faults *faults) *frameWriter {
	return &frameWriter{ctx: ctx, attempt: attempt, out: w, flush: http.NewResponseController(w).Flush, faults: faults}
}

func (f *frameWriter) send(frame engine.Frame) error {
	if frame.Request == "" {
		frame.Request = f.attempt.Request
		frame.Attempt = f.attempt.Attempt
	}
	line, err := json.Marshal(frame)
	if err != nil {
		return err
	}
	now, _ := f.faults.get()
	if now.Damage != "" {
		if err := f.damage(now.Damage, line); err != nil {
			return err
		}
	}
	if _, err := f.out.Write(append(line, '\n')); err != nil {
		return err
	}
	return f.flush()
}

// damage breaks the stream in place of a frame.
func (f *frameWriter) damage(kind Damage, line []byte) error {
	switch kind {
	case DamageSwallow:
		return f.faults.wait(f.ctx, swallows)
	case DamageGarbage:
		_, _ = f.out.Write([]byte("\x00\xff{]\n"))
	case DamageHalfFrame:
		_, _ = f.out.Write(line[:len(line)/2])
	}
	_ = f.flush()
	if kind == DamageCut || kind == DamageHalfFrame {
		panic(http.ErrAbortHandler)
	}
	if kind == DamageEnd {
		return errStreamEnded
	}
	return nil
}

// errStreamEnded ends a stream in good order without its last frame.
var errStreamEnded = errors.New("stream ended without its last frame")

func (f *frameWriter) token(index int, id uint32, receipts []engine.Receipt) error {
	now, _ := f.faults.get()
	frame := engine.Frame{Token: &engine.Token{Index: index, ID: id, Text: tokenText(id), Receipts: receipts}}
	switch now.Lie {
	case LieSkip:
		frame.Token.Index++
	case LieRepeat:
		if err := f.send(frame); err != nil {
			return err
		}
	case LieFormerAttempt:
		if err := f.foreign(frame, f.attempt.Request, f.attempt.Attempt-1); err != nil {
			return err
		}
	case LieOtherStream:
		if err := f.foreign(frame, f.attempt.Request+"-other", f.attempt.Attempt); err != nil {
			return err
		}
	}
	return f.send(frame)
}

// foreign sends a token under another name, as a crossed stream would.
func (f *frameWriter) foreign(frame engine.Frame, request string, attempt int) error {
	crossed := *frame.Token
	crossed.Text = " crossed"
	return f.send(engine.Frame{Request: request, Attempt: attempt, Token: &crossed})
}

func (f *frameWriter) finish(reason string) error {
	return f.send(engine.Frame{Finish: reason, PromptTokens: countWords(f.attempt.Prompt)})
}

func (f *frameWriter) fault(err error) {
	fault := &engine.Fault{Message: err.Error()}
	var stage *stageError
	if errors.As(err, &stage) {
		fault.Server = stage.server
	}
	_ = f.send(engine.Frame{Fault: fault})
}

// countWords stands in for a tokenizer.
func countWords(text string) int { return len(strings.Fields(text)) }
