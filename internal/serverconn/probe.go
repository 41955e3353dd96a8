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
	now, earliest, pending := c.options.Now(), time.Duration(0), false
	for _, paths := range c.services {
		if due, ok := paths.NextProbe(now); ok && (!pending || due < earliest) {
			earliest, pending = due, true
		}
	}
	if !pending {
		return nil
	}
	return time.After(earliest - now)
}

// round is a round of probes of one service.
type round struct {
	service     string
	due, silent []string
	before      reach.State
}

// probe connects to the servers that are due.
func (c *Connector) probe(ctx context.Context) {
	rounds, listener := c.startRounds()
	var probes sync.WaitGroup
	for _, r := range rounds {
		for _, address := range r.due {
			probes.Go(func() { c.probeServer(ctx, address, r.before == reach.Isolated) })
		}
	}
	probes.Wait()
	for _, r := range rounds {
		c.mu.Lock()
		paths := c.paths(r.service)
		after := paths.State()
		c.logState(r.service, paths)
		c.mu.Unlock()
		switch {
		case after == reach.Isolated:
			listener.Unreachable(r.silent)
		case r.before == reach.Isolated:
			listener.Reachable(r.silent)
		}
	}
}

// startRounds returns the probes that are due now.
func (c *Connector) startRounds() ([]round, Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.options.Now()
	c.forget(now)
	var rounds []round
	for service, paths := range c.services {
		if due, pending := paths.NextProbe(now); pending && due <= now {
			rounds = append(rounds, round{service: service, due: paths.Probes(now), silent: paths.FailingSilently(), before: paths.State()})
		}
	}
	return rounds, c.listener
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
