package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// ErrStaleList is reported for a list that is older than the latest version seen.
var ErrStaleList = eris.New("list is older than the latest version seen: the platform answered from a stale replica; retrying")

// Sink receives the objects of a kind and their changes, from one goroutine.
type Sink interface {
	// Listed handles a complete list. Changes after its version follow.
	Listed(List) error
	// Watched handles a change or a bookmark. After an error the kind is listed again.
	Watched(WatchEvent) error
	// Broken reports why updates are interrupted. The next call of Listed or
	// Watched means that they have resumed.
	Broken(error)
}

// Holder is a Sink that may already have the values of objects in memory. Without
// it, a VM that starts with a configuration in force would keep every record in
// memory twice while it reads the list.
type Holder interface {
	Sink
	// Held returns the value of an object at a version, or nil. It replaces the
	// value that was read and must not be modified.
	Held(name string, version history.Version) json.RawMessage
}

// follower is the state of one call of Follow.
type follower struct {
	client       *Client
	kind, prefix string
	sink         Sink
	// mirror is nil if only the platform is read.
	mirror Mirror
	// version is the latest version seen. Older lists are discarded: otherwise a
	// response from a stale replica would revert the VM's state.
	version history.Version
	listed  bool
}

// Follow keeps a sink up to date with the objects of a kind whose names start
// with prefix, until ctx ends: it lists, watches from the list's version, and
// lists again when the watch has a gap.
func (c *Client) Follow(ctx context.Context, kind, prefix string, sink Sink) error {
	return c.FollowMirror(ctx, kind, prefix, sink, nil)
}

// FollowMirror is like Follow, but reads from mirror while that has the changes.
func (c *Client) FollowMirror(ctx context.Context, kind, prefix string, sink Sink, mirror Mirror) error {
	f := &follower{client: c, kind: kind, prefix: prefix, sink: sink, mirror: mirror}
	backoff := c.NewBackoff()
	for ctx.Err() == nil {
		if f.readMirror(ctx) {
			continue
		}
		err := f.listAndWatch(ctx, backoff)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errMirrorAvailable) {
			continue
		}
		sink.Broken(err)
		if errors.Is(err, ErrWatchSilent) {
			continue
		}
		if backoff.Wait(ctx) != nil {
			break
		}
	}
	return ctx.Err()
}

// listAndWatch lists if necessary and then watches until the watch ends.
func (f *follower) listAndWatch(ctx context.Context, backoff *Backoff) error {
	if !f.listed {
		if err := f.list(ctx); err != nil {
			return err
		}
	}
	err := f.client.watch(ctx, f.kind, f.prefix, f.version, func(event WatchEvent) error {
		backoff.Reset()
		if f.mirror != nil {
			f.mirror.Answered()
		}
		if err := f.handleEvent(event); err != nil {
			return err
		}
		if event.Bookmark && f.mirror != nil && !f.mirror.Reads() {
			return errMirrorAvailable
		}
		return nil
	})
	if errors.Is(err, ErrCompacted) {
		f.listed = false
	}
	return err
}

func (f *follower) list(ctx context.Context) error {
	list, err := f.client.listEach(ctx, f.kind, f.prefix, f.reuseCachedValue)
	if err != nil {
		return err
	}
	if f.mirror != nil {
		f.mirror.Answered()
	}
	return f.handleList(list)
}

func (f *follower) handleList(list List) error {
	if list.Version < f.version {
		return fmt.Errorf("%w: at version %v, seen %v", ErrStaleList, list.Version, f.version)
	}
	if err := f.sink.Listed(list); err != nil {
		return err
	}
	f.version = list.Version
	f.listed = true
	return nil
}

// reuseCachedValue replaces the object's value by the one that the sink already has, if any.
func (f *follower) reuseCachedValue(object *Object) {
	holder, ok := f.sink.(Holder)
	if !ok {
		return
	}
	if value := holder.Held(object.Name, object.Version); value != nil {
		object.Value = value
	}
}

func (f *follower) handleEvent(event WatchEvent) error {
	if event.Object.Version <= f.version && !event.Bookmark {
		return nil
	}
	if err := f.sink.Watched(event); err != nil {
		f.listed = false
		return err
	}
	f.version = max(f.version, event.Object.Version)
	return nil
}
