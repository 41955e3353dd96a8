package serverconn

import (
	"context"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/reach"
)

// Run probes lost paths until ctx ends, so that they are used again as soon as they work, without
// a request as the probe.
func (c *Connector) Run(ctx context.Context) error {
	for {
		select {
		case <-c.nextProbe():
			c.probe(ctx)
		case <-c.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextProbe returns a channel that receives when the next probe is due, or nil if there is none.
func (c *Connector) nextProbe() <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	due, pending := c.table.NextProbe(now)
	if !pending {
		return nil
	}
	return time.After(due - now)
}

// probe connects to the servers that are due.
func (c *Connector) probe(ctx context.Context) {
	c.mu.Lock()
	now := c.options.Now()
	c.table.Forget(now, c.registered)
	due, before := c.table.Probes(now), c.table.State()
	failing, listener := c.table.Failing(), c.listener
	c.mu.Unlock()
	var probes sync.WaitGroup
	for _, address := range due {
		probes.Go(func() { c.probeServer(ctx, address, before == reach.Isolated) })
	}
	probes.Wait()
	after := c.State()
	switch {
	case after == reach.Isolated:
		listener.Unreachable(failing)
	case before == reach.Isolated:
		listener.Reachable(failing)
	}
}

// probeServer connects to a server directly and, if through is set, through another VM.
func (c *Connector) probeServer(ctx context.Context, address string, through bool) {
	conn, err := c.connect(ctx, "tcp", address, firstWayTimeout)
	if err == nil {
		_ = conn.Close()
		return
	}
	if !through {
		return
	}
	if conn, err := c.DialThrough(ctx, "tcp", address); err == nil {
		_ = conn.Close()
	}
}
