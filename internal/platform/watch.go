package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// errWatchOpen maps to the outcome label "open", under which started watches are counted.
var errWatchOpen = errors.New("watch is open")

// Watch calls handle for each change of a kind after version, until ctx ends
// or the watch fails. It always returns a non-nil error with the reason.
func (c *Client) Watch(ctx context.Context, kind string, version history.Version, handle func(WatchEvent)) error {
	return c.watch(ctx, kind, "", version, func(event WatchEvent) error {
		if !event.Bookmark {
			handle(event)
		}
		return nil
	})
}

// watch is like Watch, but passes on bookmarks too, and ends when handle fails. A
// watch that goes silent with its connection open, as after a lost route or with a
// hung server, would leave the VM on a stale state for good. So the platform sends
// bookmarks at an interval, and a watch that misses three ends with ErrWatchSilent.
func (c *Client) watch(ctx context.Context, kind, prefix string, version history.Version, handle func(WatchEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := c.waitForBudget(ctx, MethodWatch, kind); err != nil {
		return err
	}
	c.counters.count(MethodWatch, errWatchOpen)
	alive := make(chan struct{}, 1)
	go c.cancelWhenSilent(ctx, cancel, alive)
	watch := Watch{Kind: kind, Prefix: prefix, Version: version, Bookmark: c.bookmark, Gather: c.gather}
	err := c.wire.Watch(ctx, watch, func(event WatchEvent) error {
		notify(alive)
		if event.Bookmark {
			countRequest(MethodWatch, kind) // a polling wire sends another request
		}
		return handle(event)
	})
	if errors.Is(context.Cause(ctx), ErrWatchSilent) {
		return context.Cause(ctx)
	}
	return err
}

// cancelWhenSilent cancels a watch that has delivered no event for three bookmark intervals.
func (c *Client) cancelWhenSilent(ctx context.Context, cancel context.CancelCauseFunc, alive <-chan struct{}) {
	limit := maxMissedBookmarks * c.bookmark
	last := c.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-alive:
			last = c.clock.Now()
		case <-c.clock.After(remainingTime(last, c.clock.Now(), limit)):
			if c.clock.Now().Sub(last) >= limit {
				cancel(fmt.Errorf("%w: no line for %v", ErrWatchSilent, limit))
				return
			}
		}
	}
}

func remainingTime(last, now time.Time, limit time.Duration) time.Duration {
	return max(limit-now.Sub(last), time.Millisecond)
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
