package schedclock_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/schedclock"
)

// maxOvershoot exceeds the most that a clock may advance after its last heartbeat.
const maxOvershoot = 30 * time.Millisecond

// Guards against timeouts by the wall clock: a VM that gets no CPU time for longer than a
// timeout, and then checks it before it reads its sockets, suspects healthy servers.
func TestClockStopsWhileTheProcessIsStarved(t *testing.T) {
	g := NewWithT(t)
	c := schedclock.New()
	c.Heartbeat()
	stopped := c.Now()
	ctx, cancel := c.WithTimeout(t.Context(), 2*maxOvershoot)
	defer cancel()
	g.Consistently(ctx.Done(), 10*maxOvershoot).ShouldNot(BeClosed())
	g.Expect(c.Now() - stopped).To(BeNumerically("<=", maxOvershoot))
	for range 5 {
		// A heartbeat after a pause does not add the rest of the pause.
		time.Sleep(maxOvershoot)
		c.Heartbeat()
	}
	g.Expect(c.Now() - stopped).To(BeNumerically("<=", 6*maxOvershoot))
	g.Eventually(ctx.Done()).Should(BeClosed())
	g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
}

// Guards against a clock that stops permanently, by which an unresponsive server would
// never be detected: the clock must advance while the process keeps up, and also without
// heartbeats, as before and after Run.
func TestClockKeepsAdvancing(t *testing.T) {
	for name, begin := range map[string]func(context.Context, *schedclock.Clock){
		"without heartbeats": func(context.Context, *schedclock.Clock) {},
		"during Run":         func(ctx context.Context, c *schedclock.Clock) { go func() { _ = c.Run(ctx) }() },
		"after Run": func(ctx context.Context, c *schedclock.Clock) {
			ctx, cancel := context.WithTimeout(ctx, maxOvershoot)
			defer cancel()
			_ = c.Run(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c := schedclock.New()
			begin(t.Context(), c)
			ctx, cancel := c.WithTimeout(t.Context(), 5*maxOvershoot)
			defer cancel()
			g.Eventually(ctx.Done(), "20s").Should(BeClosed())
			g.Expect(context.Cause(ctx)).To(MatchError(context.DeadlineExceeded))
		})
	}
}
