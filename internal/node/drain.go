package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/entry"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Time limits at the end of a planned stop.
const (
	// abortTimeout is the time that aborted requests have to report their
	// execution state to their callers.
	abortTimeout = 2 * time.Second
	// drainHookTimeout bounds all drain hooks together, such as handing over leases.
	drainHookTimeout = 5 * time.Second
)

// gracefulStop is the planned stop: it fails the load balancer's health check,
// then drains the requests in flight, then hands over the leases. The other
// actors keep running meanwhile, since no request can finish without the core's
// loop.
type gracefulStop struct {
	components *components
	callers    *http.Server
	draining   atomic.Bool
	forced     <-chan struct{}
}

func addGracefulStop(ctx context.Context, group *run.Group, c *components, callers *http.Server, forced <-chan struct{}) {
	s := &gracefulStop{components: c, callers: callers, forced: forced}
	callers.Handler = s.closeWhenDraining(callers.Handler)
	actors.AddContext(group, func(stopped context.Context) error {
		select {
		case <-ctx.Done():
			s.stop(stopped)
			return ctx.Err()
		case <-stopped.Done():
			return stopped.Err()
		}
	})
}

// closeWhenDraining closes an HTTP/1 connection after the response while the VM
// drains. An idle keep-alive connection would be closed at the end of the drain,
// possibly just as the caller sends its next request.
func (s *gracefulStop) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining.Load() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// stop runs the planned stop. A force signal, the drain deadline or the end of
// stopped cuts it short.
func (s *gracefulStop) stop(stopped context.Context) {
	c := s.components
	limit, cancel := context.WithTimeout(stopped, c.settings.Drain.Deadline)
	defer cancel()
	go func() {
		select {
		case <-s.forced:
			cancel()
		case <-limit.Done():
		}
	}()
	telemetry.VMStopping.Log(c.log)
	s.draining.Store(true)
	c.entry.BeginStop()
	c.gossip.Leave()
	if c.settings.Drain.BalancerDelay > 0 {
		telemetry.VMDraining.Log(c.log, "delay", c.settings.Drain.BalancerDelay)
		sleep(limit, c.settings.Drain.BalancerDelay)
	}
	s.drainRequests(limit)
	ctx, done := context.WithTimeout(context.Background(), drainHookTimeout)
	defer done()
	c.drain.run(ctx)
}

// drainRequests waits for the requests in flight. When limit ends, at the
// deadline or on a second signal, it aborts them: the error to each caller
// reports whether the request ran.
func (s *gracefulStop) drainRequests(limit context.Context) {
	if s.callers.Shutdown(limit) == nil {
		telemetry.VMDrained.Log(s.components.log)
		return
	}
	telemetry.VMDrainForced.Log(s.components.log, "inFlight", entry.InFlight())
	s.components.stopLoop()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
