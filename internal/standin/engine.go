package standin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// EngineOptions describe a stand-in engine.
type EngineOptions struct {
	Server  string
	Model   string
	Version string
	Layers  api.Layers
	// StepTime is how long one token takes in the engine's layers.
	StepTime time.Duration
	// Batch is the number of streams that step at the same time.
	Batch int
	// PrefillTime is how long one position takes to prefill.
	PrefillTime time.Duration
	// ReportLag is how old the reported load may be.
	ReportLag time.Duration
	// EventLag is how late cache events are published.
	EventLag time.Duration
	// LoseEventEvery leaves out every n-th cache event. 0 leaves out none.
	LoseEventEvery uint64
	// KVEntries bounds the streams, and PrefixBlocks the prompt blocks, whose KV cache is kept.
	KVEntries    int
	PrefixBlocks int
	// Weights is where orders load layers from. Nil loads at once.
	Weights Weights
	// RestartAfter is when a crashed engine comes back. 0 means never.
	RestartAfter time.Duration
	// OnCrash is called after a crash that is not followed by a restart.
	OnCrash func()
}

// Engine is a model engine that holds a range of layers. It keeps the KV cache
// of a stream after the stream breaks, so that a resumed attempt finds it.
type Engine struct {
	options EngineOptions
	address string
	client  *http.Client
	faults  faults
	counts  counts

	mu   sync.Mutex
	held held
	life *life
}

// held is what an engine holds and does. Orders change it.
type held struct {
	model    string
	version  string
	layers   api.Layers
	adapters []string
	role     engine.Role
	leaving  bool
	loading  bool
	fence    uint64
	orders   map[string]bool
}

// life is one incarnation of an engine. A crash ends it, with all its memory.
type life struct {
	incarnation uint64
	listener    net.Listener
	server      *http.Server
	slots       *slots
	memory      atomic.Pointer[memory]
	steps       steps

	mu       sync.Mutex
	attempts map[engine.Attempt]context.CancelFunc

	running atomic.Int64
	report  atomic.Pointer[loadReport]
}

// loadReport is the load as it was a while ago.
type loadReport struct {
	at      time.Time
	running int
	waiting int
}

// StartEngine serves a new incarnation of an engine on the listener.
func StartEngine(listener net.Listener, options EngineOptions) *Engine {
	e := &Engine{
		options: options,
		address: listener.Addr().String(),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		held: held{
			model:   options.Model,
			version: options.Version,
			layers:  options.Layers,
			role:    engine.RoleBoth,
			orders:  make(map[string]bool),
		},
	}
	e.begin(listener)
	return e
}

// begin starts an incarnation. Its number is the time, so that an engine in a
// new process doesn't take the number of an earlier one.
func (e *Engine) begin(listener net.Listener) {
	l := &life{
		listener:    listener,
		incarnation: uint64(time.Now().UnixNano()),
		slots:       newSlots(max(e.options.Batch, 1)),
		attempts:    make(map[engine.Attempt]context.CancelFunc),
	}
	l.memory.Store(newMemory(e.options))
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathAttempts, e.serveAttempt)
	mux.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	mux.HandleFunc("POST "+pathStage, e.serveStage)
	mux.HandleFunc("GET "+engine.PathCapabilities, e.serveCapabilities)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveCacheEvents)
	mux.HandleFunc("GET "+engine.PathKV, e.serveExport)
	mux.HandleFunc("POST "+engine.PathKV, e.serveImport)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	e.control(mux)
	l.server = &http.Server{Handler: e.stalling(mux)}
	e.mu.Lock()
	e.life = l
	e.mu.Unlock()
	go func() { _ = l.server.Serve(listener) }()
}

// stalling holds every request back while the engine is stalled, but not those
// that control the faults.
func (e *Engine) stalling(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, pathControl) && e.faults.wait(r.Context(), stallsAll) != nil {
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Address is the engine's host:port.
func (e *Engine) Address() string { return e.address }

// Name is the engine's server name.
func (e *Engine) Name() string { return e.options.Server }

// Kill ends the engine at once, as a crash does: connections break and caches are lost.
// The server closes its listener only once Serve runs, so the listener is closed too.
func (e *Engine) Kill() {
	l := e.current()
	_ = l.listener.Close()
	_ = l.server.Close()
}

// Restart brings a killed engine back at its address as a new incarnation.
func (e *Engine) Restart() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.begin(listener)
	return nil
}

// crash kills the engine and restarts it where the options say so.
func (e *Engine) crash() {
	e.counts.crashed()
	e.Kill()
	switch {
	case e.options.RestartAfter > 0:
		time.AfterFunc(e.options.RestartAfter, func() { _ = e.Restart() })
	case e.options.OnCrash != nil:
		e.options.OnCrash()
	}
}

func (e *Engine) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

func (e *Engine) holding() held {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.held
}

func (e *Engine) serveCapabilities(w http.ResponseWriter, _ *http.Request) {
	now, _ := e.faults.get()
	l := e.current()
	h := e.holding()
	report := l.load(e.options.ReportLag, max(e.options.Batch, 1))
	writeJSON(w, engine.Capabilities{
		Server:           e.options.Server,
		Incarnation:      l.incarnation,
		Model:            h.model,
		Version:          h.version,
		Layers:           h.layers,
		Adapters:         h.adapters,
		Role:             h.role,
		Slots:            max(e.options.Batch, 1),
		Running:          report.running,
		Waiting:          report.waiting,
		Leaving:          h.leaving || now.Leaving,
		LeaveByMillis:    now.LeaveByMillis,
		Loading:          h.loading,
		Fence:            h.fence,
		OldestStepMillis: l.steps.oldest().Milliseconds(),
	})
}

// load returns a report that is at most lag old.
func (l *life) load(lag time.Duration, batch int) loadReport {
	report := l.report.Load()
	if report == nil || time.Since(report.at) >= lag {
		running := int(l.running.Load())
		report = &loadReport{at: time.Now(), running: min(running, batch), waiting: max(running-batch, 0)}
		l.report.Store(report)
	}
	return *report
}

// cached is the incarnation's memory. An order to load replaces it.
func (l *life) cached() *memory { return l.memory.Load() }

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func refuse(w http.ResponseWriter, status int, kind engine.RefusalKind, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Kind: kind, Message: message})
}

// steps knows how long the oldest unfinished step has taken.
type steps struct {
	mu    sync.Mutex
	next  uint64
	begun map[uint64]time.Time
}

// begin notes a step and returns what ends it.
func (s *steps) begin() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun == nil {
		s.begun = make(map[uint64]time.Time)
	}
	s.next++
	id := s.next
	s.begun[id] = time.Now()
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.begun, id)
	}
}

func (s *steps) oldest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var oldest time.Duration
	for _, at := range s.begun {
		oldest = max(oldest, time.Since(at))
	}
	return oldest
}
