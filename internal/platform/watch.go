package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// errWatchOpen is the outcome under which a watch is counted while it waits.
var errWatchOpen = errors.New("watch is open")

// Watch calls handle for each change of a kind after version, until ctx ends
// or the watch breaks. It always returns an error that says why it ended.
func (c *Client) Watch(ctx context.Context, kind string, version history.Version, handle func(WatchEvent)) error {
	return c.watch(ctx, kind, "", version, func(event WatchEvent) error {
		if !event.Bookmark {
			handle(event)
		}
		return nil
	})
}

// watch passes bookmarks on too. A watch that goes silent without closing, as
// after a lost route or a stuck server, would leave the VM on an old state for
// good: so the platform is asked for a bookmark at intervals, and a watch that
// misses three of them ends with ErrSilent. An error of handle ends the watch.
func (c *Client) watch(ctx context.Context, kind, prefix string, version history.Version, handle func(WatchEvent) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := c.spend(ctx, MethodWatch, kind); err != nil {
		return err
	}
	c.counters.count(MethodWatch, errWatchOpen)
	alive := make(chan struct{}, 1)
	go c.endWhenSilent(ctx, cancel, alive)
	watch := Watch{Kind: kind, Prefix: prefix, Version: version, Bookmark: c.bookmark, Gather: c.gather}
	err := c.wire.Watch(ctx, watch, func(event WatchEvent) error {
		notify(alive)
		if event.Bookmark {
			asked(MethodWatch, kind) // it asks again
		}
		return handle(event)
	})
	if errors.Is(context.Cause(ctx), ErrSilent) {
		return context.Cause(ctx)
	}
	return err
}

// endWhenSilent cancels a watch that has carried no line for three bookmarks.
func (c *Client) endWhenSilent(ctx context.Context, cancel context.CancelCauseFunc, alive <-chan struct{}) {
	limit := silentBookmarks * c.bookmark
	last := c.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-alive:
			last = c.clock.Now()
		case <-c.clock.After(remaining(last, c.clock.Now(), limit)):
			if c.clock.Now().Sub(last) >= limit {
				cancel(fmt.Errorf("%w: no line for %v", ErrSilent, limit))
				return
			}
		}
	}
}

func remaining(last, now time.Time, limit time.Duration) time.Duration {
	return max(limit-now.Sub(last), time.Millisecond)
}

func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
