package edge

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Times of the graceful shutdown.
const (
	// outOfRotation is how long new connections may still arrive: the load balancer checks
	// once a second and acts on two results.
	outOfRotation = 2500 * time.Millisecond
	// stopMargin is how long before the kill the process ends by itself.
	stopMargin = 500 * time.Millisecond
)

// stopper runs the graceful shutdown: the VM leaves the load balancer's rotation, closes
// idle connections, and ends when every request is answered.
type stopper struct {
	log      logr.Logger
	settings func() Settings
	callers  *http.Server
	started  atomic.Bool
	// announceLeave announces the stop to the other VMs.
	announceLeave func()
	// failed is closed when a task of the process has failed, which ends the others.
	failed chan struct{}
}

func newStopper(p Parts) *stopper {
	return &stopper{log: p.Log, settings: p.current.get, announceLeave: func() {}, failed: make(chan struct{})}
}

func (s *stopper) stopping() bool { return s.started.Load() }

// closeConnections makes callers open another connection, which reaches another VM. The
// connection is closed after the response and never before it.
func (s *stopper) closeConnections(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping() {
			w = &closingWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter adds the header that closes the connection to a response.
type closingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// interrupt records that a task has failed. The servers are closed then, so there is
// nothing to shut down gracefully: a process that kept waiting for its signal would serve
// no callers and would not be restarted.
func (s *stopper) interrupt(error) { close(s.failed) }

// wait returns when ctx has ended and the shutdown is complete, or when a task has failed.
func (s *stopper) wait(ctx context.Context, handler *relay.Handler) error {
	select {
	case <-ctx.Done():
	case <-s.failed:
		s.started.Store(true)
		return nil
	}
	s.started.Store(true)
	s.announceLeave()
	telemetry.VMStopping.Log(s.log, "inFlight", handler.InFlight())
	end := time.Now().Add(s.settings().Grace - stopMargin)
	time.Sleep(outOfRotation)
	// From here on callers' idle connections are closed. A caller that kept one would send
	// its next request at the very end, when it can't be completed.
	shutdown, cancel := context.WithDeadline(context.WithoutCancel(ctx), end)
	defer cancel()
	if s.callers.Shutdown(shutdown) != nil {
		telemetry.VMDrainForced.Log(s.log, "inFlight", handler.InFlight())
		return s.callers.Close()
	}
	return nil
}
