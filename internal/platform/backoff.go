package platform

import (
	"context"
	"time"
)

// Bounds of the waits between tries.
const (
	backoffFirst = 100 * time.Millisecond
	backoffMax   = 10 * time.Second
)

// Backoff spreads tries over time: the bound doubles with every failure, and
// the wait is drawn from its upper half at random. Without the draw, all VMs
// that lost the platform together would call it together when it comes back.
type Backoff struct {
	clock  Clock
	random func() float64
	bound  time.Duration
	max    time.Duration
}

// NewBackoff makes a back-off on the client's clock and random source.
func (c *Client) NewBackoff() *Backoff {
	return &Backoff{clock: c.clock, random: c.random, max: c.backoffMax}
}

// Next is the wait before the next try.
func (b *Backoff) Next() time.Duration {
	b.bound = min(max(2*b.bound, backoffFirst), b.max)
	half := b.bound / 2
	return half + time.Duration(b.random()*float64(half))
}

// Reset starts again from the shortest wait, after a success.
func (b *Backoff) Reset() { b.bound = 0 }

// Wait lets the next wait pass. It returns the context's error if that ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	select {
	case <-b.clock.After(b.Next()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
