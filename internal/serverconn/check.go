package serverconn

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/reach"
	"oleandershunt.example/oleandershunt/internal/tunnel"
)

// Verdict is what a check finds about a server that broke a connection or doesn't respond.
type Verdict int

const (
	// Unknown means that neither this VM nor another one connects to the server.
	Unknown Verdict = iota
	// Reached means that this VM connects to the server.
	Reached
	// PathLost means that another VM connects to the server and this one doesn't.
	PathLost
	// Ended means that nothing listens at the address.
	Ended
)

// String returns the verdict's name in logs and metrics.
func (v Verdict) String() string {
	return [...]string{Unknown: "unknown", Reached: "reached", PathLost: "path_lost", Ended: "ended"}[v]
}

const (
	// checkReuse is how long a check's verdict is used again: many streams break together.
	checkReuse = 200 * time.Millisecond
	// endedDelay is how long after a connection's end a check begins that is to show that its server has not
	// ended: the kernel closes the connections and the listener of a process one after the other.
	endedDelay = 20 * time.Millisecond
	// laterCheckInterval is the minimum time between the starts of two such checks of a server: responses
	// that end within it share one.
	laterCheckInterval = 100 * time.Millisecond
)

// check is a check of one server that starts, or is to start, at a time; done is closed when it has a
// verdict.
type check struct {
	startsAt time.Duration
	done     chan struct{}
	verdict  Verdict
}

// checkGroup shares checks of one server.
type checkGroup struct {
	mu     sync.Mutex
	latest map[string]*check
}

func newCheckGroup() checkGroup { return checkGroup{latest: make(map[string]*check)} }

// Check finds out whether a server is reached, its path is lost, or it has ended. The verdict may be up to
// checkReuse old.
func (c *Connector) Check(ctx context.Context, address string) Verdict {
	now := c.options.Now()
	return c.await(ctx, c.shareCheck(address, now-checkReuse, now))
}

// CheckEnd finds out the same by connects that all begin after this call. It is for a connection that has
// ended just now: whether its server has ended, too, shows only later.
func (c *Connector) CheckEnd(ctx context.Context, address string) Verdict {
	earliest := c.options.Now() + endedDelay
	return c.await(ctx, c.shareCheck(address, earliest, earliest))
}

// await returns the verdict of a check, or Unknown if ctx ends before.
func (c *Connector) await(ctx context.Context, current *check) Verdict {
	select {
	case <-current.done:
		return current.verdict
	case <-ctx.Done():
		return Unknown
	}
}

// shareCheck returns a check that starts no earlier than oldest: the latest one, or one that is to start at
// a time.
func (c *Connector) shareCheck(address string, oldest, start time.Duration) *check {
	c.checks.mu.Lock()
	defer c.checks.mu.Unlock()
	now := c.options.Now()
	latest, ok := c.checks.latest[address]
	if ok && latest.startsAt >= oldest {
		return latest
	}
	if ok && start > now {
		start = max(start, latest.startsAt+laterCheckInterval)
	}
	for other, old := range c.checks.latest {
		if now-old.startsAt >= checkReuse {
			delete(c.checks.latest, other)
		}
	}
	fresh := &check{startsAt: start, done: make(chan struct{})}
	c.checks.latest[address] = fresh
	time.AfterFunc(start-now, func() {
		fresh.verdict = c.examine(address)
		close(fresh.done)
	})
	return fresh
}

// examine connects to a server directly and through another VM.
func (c *Connector) examine(address string) Verdict {
	ctx := context.Background()
	conn, err := c.DialDirect(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return Reached
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	switch conn, err := c.DialThrough(ctx, "tcp", address); {
	case err == nil:
		_ = conn.Close()
		return PathLost
	case errors.Is(err, tunnel.ErrServerRefused), refused && c.reachesOther(ctx, address):
		return Ended
	}
	if !refused && c.Isolated(c.serviceOf(address)) {
		// A VM that uses open connections only would take two servers that are gone for the loss of all
		// its paths. This connect shows that it isn't.
		c.reachesOther(ctx, address)
	}
	return Unknown
}

// reachesOther reports whether this VM connects to another server of the service than that at an
// address, which shows that its own paths are not lost. Without another one known, it is true if
// there is no other VM that could tell.
func (c *Connector) reachesOther(ctx context.Context, address string) bool {
	var other string
	var known bool
	c.view(address, func(paths *servicePaths) { other, known = paths.Control(address) })
	if !known {
		return c.otherVMs() == nil
	}
	conn, err := c.connect(ctx, "tcp", other, firstWayTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// HasEnded reports whether a failed connect proves that nothing listens at a server's address any
// more. A VM that has lost its own paths is refused by every server.
func (c *Connector) HasEnded(ctx context.Context, address string, err error) bool {
	switch {
	case errors.Is(err, tunnel.ErrServerRefused):
		return true
	case errors.Is(err, syscall.ECONNREFUSED):
		return c.Check(ctx, address) == Ended
	default:
		return false
	}
}

// ConnectForPeer connects to a server for another VM, directly only. It returns the errors of
// package tunnel.
func (c *Connector) ConnectForPeer(ctx context.Context, address string) (net.Conn, error) {
	var direct, failed bool
	var state reach.State
	c.view(address, func(paths *servicePaths) {
		direct, failed, state = paths.Direct(address), paths.FailedRecently(c.options.Now(), address), paths.State()
	})
	switch {
	case state == reach.Lost || state == reach.Isolated || !direct:
		return nil, tunnel.ErrUnavailable
	case failed:
		return nil, tunnel.ErrServerSilent
	}
	conn, err := c.connect(ctx, "tcp", address, tunnel.ConnectTimeout)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, syscall.ECONNREFUSED) && c.reachesOther(ctx, address):
		return nil, tunnel.ErrServerRefused
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, tunnel.ErrUnavailable
	default:
		return nil, tunnel.ErrServerSilent
	}
}
