package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"oleandershunt.example/oleandershunt/internal/engine"
)

// pathStage is where engines pass activations to one another.
const pathStage = "/v1/stage"

// stepFrame asks for one token's passage. Tokens carries the answer so far on
// the first stage only; on the wire between stages just the newest token goes.
type stepFrame struct {
	Index  int      `json:"index"`
	Hidden uint64   `json:"hidden"`
	Newest *uint32  `json:"newest,omitempty"`
	Tokens []uint32 `json:"-"`
}

// stepResult is the passage's outcome after the last stage.
type stepResult struct {
	Hidden   uint64           `json:"hidden"`
	Receipts []engine.Receipt `json:"receipts,omitempty"`
	// Server and Error name a fault further down the path.
	Server string `json:"server,omitempty"`
	Error  string `json:"error,omitempty"`
}

// openedStage is one stage's part of an attempt, with its connection to the rest.
type openedStage struct {
	engine  *Engine
	life    *life
	version string
	attempt engine.AttemptRequest
	cache   cache
	next    *nextStage
}

// openStage makes the stream's KV cache ready and connects to the rest of the path.
func (e *Engine) openStage(ctx context.Context, l *life, attempt engine.AttemptRequest) (*openedStage, error) {
	stage := &openedStage{engine: e, life: l, version: e.holding().version, attempt: attempt}
	if len(attempt.Path) > 1 {
		next, err := e.dialNext(ctx, attempt)
		if err != nil {
			return nil, stageFault(attempt.Path[1].Server, err)
		}
		stage.next = next
	}
	kept, err := e.cacheFor(ctx, l, attempt)
	if err != nil {
		stage.close()
		return nil, err
	}
	stage.cache = kept
	return stage, nil
}

// cacheFor returns the stream's KV cache up to the answer so far: the one kept
// from an earlier attempt or imported where it fits, else a prefill, which
// takes its time for what the prefix cache doesn't hold.
func (e *Engine) cacheFor(ctx context.Context, l *life, attempt engine.AttemptRequest) (cache, error) {
	memory := l.cached()
	known := memory.touchPrefix(attempt.Prompt) * engine.PrefixBlockBytes
	made, ok := memory.stream(attempt.Request)
	missing := 0
	if !ok || made.positions > len(attempt.Tokens) {
		// A cache that runs ahead of what the caller has is cut back, which costs nothing.
		made = promptCache(attempt.Prompt)
	}
	if !ok {
		missing = countWords(attempt.Prompt[known:])
	}
	rest := attempt.Tokens[made.positions:]
	if !ok || made.positions > 0 {
		missing += len(rest)
	}
	made.extendAll(rest)
	return made, e.prefill(ctx, l, missing)
}

func (e *Engine) prefill(ctx context.Context, l *life, positions int) error {
	if positions == 0 || e.options.PrefillTime == 0 {
		return nil
	}
	defer l.steps.begin()()
	return pause(ctx, time.Duration(positions)*e.options.PrefillTime)
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// step runs one token through this stage and the rest of the path.
func (s *openedStage) step(ctx context.Context, frame stepFrame) (uint64, []engine.Receipt, error) {
	s.advance(&frame)
	if err := s.work(ctx); err != nil {
		return 0, nil, err
	}
	layers := s.attempt.Path[0].Layers
	hidden := passLayers(s.version, layers.From, layers.To, frame.Hidden, s.cache.digest)
	receipts := []engine.Receipt{s.receipt(frame.Index)}
	if s.next == nil {
		return hidden, receipts, nil
	}
	result, err := s.next.step(stepFrame{Index: frame.Index, Hidden: hidden, Newest: frame.Newest})
	if err != nil {
		return 0, nil, err
	}
	return result.Hidden, append(receipts, result.Receipts...), nil
}

// advance adds the newest token to the cache, unless the cache has it.
func (s *openedStage) advance(frame *stepFrame) {
	if len(frame.Tokens) > 0 {
		frame.Newest = &frame.Tokens[len(frame.Tokens)-1]
	}
	if frame.Newest != nil && s.cache.positions < frame.Index {
		s.cache.extend(*frame.Newest)
	}
	s.life.cached().keep(s.attempt.Request, s.cache)
}

func (s *openedStage) receipt(index int) engine.Receipt {
	now, _ := s.engine.faults.get()
	return now.distort(engine.Receipt{
		Server:      s.engine.options.Server,
		Incarnation: s.life.incarnation,
		Version:     s.version,
		Layers:      s.attempt.Path[0].Layers,
		Attempt:     s.attempt.Attempt,
	}, index)
}

func (s *openedStage) close() {
	if s.next != nil {
		s.next.close()
	}
}

// work takes a place in the batch for one step.
func (s *openedStage) work(ctx context.Context) error {
	defer s.life.steps.begin()()
	if err := s.engine.faults.wait(ctx, stallsSteps); err != nil {
		return err
	}
	now, _ := s.engine.faults.get()
	length := s.share(s.engine.options.StepTime) + now.slow()
	if length == 0 {
		return ctx.Err()
	}
	if err := s.life.slots.acquire(ctx, s.attempt.Priority); err != nil {
		return err
	}
	defer s.life.slots.release()
	begun := time.Now()
	err := pause(ctx, length)
	s.engine.counts.stepped(length, time.Since(begun))
	return err
}

// share is the part of the engine's step time that the attempt's layers take:
// a path may ask for fewer than the engine holds.
func (s *openedStage) share(step time.Duration) time.Duration {
	held := s.engine.holding().layers.Len()
	if held == 0 {
		return step
	}
	return step * time.Duration(s.attempt.Path[0].Layers.Len()) / time.Duration(held)
}

// serveStage is the receiving end of a path's connection between two engines.
func (e *Engine) serveStage(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	in := json.NewDecoder(r.Body)
	var attempt engine.AttemptRequest
	if err := in.Decode(&attempt); err != nil {
		refuse(w, http.StatusBadRequest, engine.RefusalInvalid, "body is not an attempt: "+err.Error())
		return
	}
	now, _ := e.faults.get()
	if kind, reason := e.mismatch(attempt, now); reason != "" {
		refuse(w, http.StatusConflict, kind, reason)
		return
	}
	l := e.current()
	stage, err := e.openStage(r.Context(), l, attempt)
	if err != nil {
		refuseFor(w, err)
		return
	}
	defer stage.close()
	w.WriteHeader(http.StatusOK)
	_ = control.Flush()
	l.running.Add(1)
	defer l.running.Add(-1)
	out := json.NewEncoder(w)
	for {
		var frame stepFrame
		if in.Decode(&frame) != nil {
			return
		}
		if now, _ := e.faults.get(); now.Damage != "" {
			e.damageStage(r.Context(), w, control, now.Damage)
			return
		}
		if out.Encode(stage.answer(r.Context(), frame)) != nil || control.Flush() != nil {
			return
		}
	}
}

// damageStage breaks a path's connection in place of an answer.
func (e *Engine) damageStage(ctx context.Context, w io.Writer, control *http.ResponseController, kind Damage) {
	if kind == DamageSwallow {
		_ = e.faults.wait(ctx, swallows)
	}
	if kind == DamageGarbage {
		_, _ = w.Write([]byte("\x00\xff{]\n"))
		_ = control.Flush()
	}
	// Without this the server would read the rest of the body before it closes.
	_ = control.SetReadDeadline(time.Now())
	panic(http.ErrAbortHandler)
}

// refuseFor passes a later stage's refusal on with its name.
func refuseFor(w http.ResponseWriter, err error) {
	refusal := engine.Refusal{Kind: engine.RefusalBusy, Message: err.Error()}
	var stage *stageError
	if errors.As(err, &stage) {
		refusal.Server = stage.server
	}
	w.WriteHeader(http.StatusBadGateway)
	_ = json.NewEncoder(w).Encode(refusal)
}

func (s *openedStage) answer(ctx context.Context, frame stepFrame) stepResult {
	hidden, receipts, err := s.step(ctx, frame)
	if err == nil {
		return stepResult{Hidden: hidden, Receipts: receipts}
	}
	result := stepResult{Server: s.engine.options.Server, Error: err.Error()}
	var fault *stageError
	if errors.As(err, &fault) {
		result.Server = fault.server
	}
	return result
}

// nextStage is the sending end of a path's connection between two engines.
type nextStage struct {
	server string
	body   *io.PipeWriter
	out    *json.Encoder
	in     *json.Decoder
	answer io.Closer
}

func (e *Engine) dialNext(ctx context.Context, attempt engine.AttemptRequest) (*nextStage, error) {
	rest := attempt
	rest.Path = attempt.Path[1:]
	reader, writer := io.Pipe()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+rest.Path[0].Address+pathStage, reader)
	if err != nil {
		return nil, err
	}
	out := json.NewEncoder(writer)
	go func() { _ = out.Encode(rest) }()
	response, err := e.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, stageRefusal(rest.Path[0].Server, response)
	}
	return &nextStage{
		server: rest.Path[0].Server,
		body:   writer,
		out:    out,
		in:     json.NewDecoder(response.Body),
		answer: response.Body,
	}, nil
}

// stageFault names the server at fault, unless a later stage has named it.
func stageFault(server string, err error) error {
	var named *stageError
	if errors.As(err, &named) {
		return err
	}
	return &stageError{server, err}
}

func stageRefusal(server string, response *http.Response) error {
	var refusal engine.Refusal
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		return err
	}
	if refusal.Server != "" {
		server = refusal.Server
	}
	return &stageError{server, errors.New(refusal.Message)}
}

func (n *nextStage) step(frame stepFrame) (stepResult, error) {
	var result stepResult
	if err := n.out.Encode(frame); err != nil {
		return result, &stageError{n.server, err}
	}
	if err := n.in.Decode(&result); err != nil {
		return result, &stageError{n.server, err}
	}
	if result.Error != "" {
		return result, &stageError{result.Server, fmt.Errorf("%s", result.Error)}
	}
	return result, nil
}

func (n *nextStage) close() {
	_ = n.body.Close()
	_ = n.answer.Close()
}
