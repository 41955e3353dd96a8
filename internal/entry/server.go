// Package entry serves callers over HTTP: it reads and authenticates their
// requests, passes them to the core, carries out the core's decisions and
// streams the responses.
package entry

import (
	"net/http"
	"sync/atomic"

	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/schedclock"
	"oleandershunt.example/oleandershunt/internal/service"
)

// Server serves callers on one VM.
type Server struct {
	limits        Limits
	loop          *loop.Loop
	clock         *schedclock.Clock
	engines       engine.Client
	services      *service.Client
	set           atomic.Pointer[config.Set]
	stallTimeouts *stallTimeouts
	tokenCounters *tokenCounters
	prober        *prober
	cancels       chan struct{}
	stopping      atomic.Bool
}

// New returns a server that serves no requests until a configuration is
// applied. The clock, which measures stalls, may be nil.
func New(limits Limits, eventLoop *loop.Loop, clock *schedclock.Clock, engines engine.Client, services *service.Client) *Server {
	s := &Server{
		limits:        limits,
		loop:          eventLoop,
		clock:         clock,
		engines:       engines,
		services:      services,
		stallTimeouts: newStallTimeouts(limits.SilenceFloor, limits.TokenSilence),
		tokenCounters: newTokenCounters(),
		prober:        newProber(engines, clock, limits.ProbeTime),
		cancels:       make(chan struct{}, maxConcurrentCancels),
	}
	s.set.Store(config.Empty())
	return s
}

// ApplyConfig sets the configuration used for authentication and route
// matching.
func (s *Server) ApplyConfig(set *config.Set) {
	s.set.Store(set)
	s.tokenCounters.prune(set)
	s.stallTimeouts.prune(func(server string) bool {
		_, ok := set.Backend(server)
		return ok
	})
}

// BeginStop makes the load balancer's health check fail from now on. Requests
// are still served, until the load balancer has noticed and those in flight
// are complete.
func (s *Server) BeginStop() { s.stopping.Store(true) }

// HTTPServer returns an http.Server with the handler and the limits on
// connections.
func (s *Server) HTTPServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.limits.HeaderTime,
		IdleTimeout:       s.limits.IdleTimeout,
		// The handler refuses headers above HeaderBytes with a problem; net/http
		// rejects those that are larger still before they take memory.
		MaxHeaderBytes: netHTTPHeaderFactor * s.limits.HeaderBytes,
		Protocols:      protocols,
		HTTP2:          &http.HTTP2Config{MaxConcurrentStreams: s.limits.StreamsPerConnection},
	}
}

// Handler returns the handler for all requests of callers.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.serveCompletions)
	mux.HandleFunc("POST /v1/chat/completions", s.serveChat)
	mux.HandleFunc("GET /v1/models", s.serveModels)
	mux.HandleFunc("/v1/completions", wrongMethod(http.MethodPost))
	mux.HandleFunc("/v1/chat/completions", wrongMethod(http.MethodPost))
	mux.HandleFunc("/v1/models", wrongMethod(http.MethodGet))
	mux.HandleFunc("GET /healthz", s.serveHealth)
	mux.HandleFunc("/", s.serveService)
	return s.checkRequests(mux)
}

// serveHealth answers the load balancer's health check. It fails while the VM
// is stopping or has no configuration, so that the VM gets no new callers.
func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	switch {
	case s.stopping.Load():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case s.set.Load().Release == 0:
		http.Error(w, "no configuration in force", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}
