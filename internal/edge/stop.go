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

// The steps of a planned stop.
const (
	// outOfRotation is how long new connections still come: the balancer asks once
	// a second and believes two answers.
	outOfRotation = 2500 * time.Millisecond
	// stopMargin is how much before the kill the process ends by itself.
	stopMargin = 500 * time.Millisecond
)

// stopper is the planned stop: out of the balancer's rotation first, then no kept
// connections, then the end when every request is answered.
type stopper struct {
	log      logr.Logger
	settings func() Settings
	callers  *http.Server
	begun    atomic.Bool
	// leave tells the other VMs of the stop.
	leave func()
	// failed is closed when a duty of the process has failed, which ends the others.
	failed chan struct{}
}

func newStopper(p Parts) *stopper {
	return &stopper{log: p.Log, settings: p.current.get, leave: func() {}, failed: make(chan struct{})}
}

func (s *stopper) stopping() bool { return s.begun.Load() }

// closing asks callers to open another connection, which reaches another VM. The
// connection is closed after the answer and never before it.
func (s *stopper) closing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping() {
			w = &closingWriter{ResponseWriter: w}
		}
		next.ServeHTTP(w, r)
	})
}

// closingWriter adds the header that ends a connection to an answer's head.
type closingWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.Header().Set("Connection", "close")
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController find the writer's other abilities.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// interrupt says that a duty has failed. The servers are closed then, so nothing is
// left to stop for: a process that waited on for its signal would do nothing for
// callers and would not be started again.
func (s *stopper) interrupt(error) { close(s.failed) }

// wait returns when ctx has ended and the stop is over, or when a duty has failed.
func (s *stopper) wait(ctx context.Context, handler *relay.Handler) error {
	select {
	case <-ctx.Done():
	case <-s.failed:
		s.begun.Store(true)
		return nil
	}
	s.begun.Store(true)
	s.leave()
	telemetry.VMStopping.Log(s.log, "inFlight", handler.InFlight())
	end := time.Now().Add(s.settings().Grace - stopMargin)
	time.Sleep(outOfRotation)
	// From here on callers' idle connections are closed. A caller that kept one
	// would send its next request at the very end, when it can't be finished.
	rest, cancel := context.WithDeadline(context.WithoutCancel(ctx), end)
	defer cancel()
	if s.callers.Shutdown(rest) != nil {
		telemetry.VMDrainForced.Log(s.log, "inFlight", handler.InFlight())
		return s.callers.Close()
	}
	return nil
}
