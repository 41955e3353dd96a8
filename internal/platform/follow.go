package platform

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// ErrStaleList marks a list that is older than what has been seen already.
var ErrStaleList = eris.New("list is older than what has been seen: the platform answered from an old replica; it is asked again")

// Sink takes the state of a kind and its changes, from one goroutine.
type Sink interface {
	// Listed takes a whole list. Changes after its version follow.
	Listed(List) error
	// Watched takes a change or a bookmark. An error has the kind listed again.
	Watched(WatchEvent) error
	// Broken says why nothing comes at the moment. The next Listed or Watched
	// says that it comes again.
	Broken(error)
}

// Holder is a Sink that may hold the values of objects already. Without it a VM
// that starts with a configuration in force would hold every record a second
// time while it takes the list.
type Holder interface {
	Sink
	// Held gives the value of an object's version, or nil. It takes the place of
	// the value that was read. It must not be changed.
	Held(name string, version history.Version) json.RawMessage
}

// follower is where Follow stands.
type follower struct {
	client       *Client
	kind, prefix string
	sink         Sink
	// mirror is nil where the platform alone is read.
	mirror Mirror
	// version is the newest seen. A list that is older is thrown away: a store
	// that answers from an old replica would otherwise take the VM back.
	version history.Version
	listed  bool
}

// Follow keeps a sink up to date with the objects of a kind whose names start
// with prefix, until ctx ends: a list, then a watch from the list's version,
// and a new list when the watch has a gap.
func (c *Client) Follow(ctx context.Context, kind, prefix string, sink Sink) error {
	return c.FollowMirror(ctx, kind, prefix, sink, nil)
}

// FollowMirror is Follow by way of other VMs while they have what is needed.
func (c *Client) FollowMirror(ctx context.Context, kind, prefix string, sink Sink, mirror Mirror) error {
	f := &follower{client: c, kind: kind, prefix: prefix, sink: sink, mirror: mirror}
	backoff := c.NewBackoff()
	for ctx.Err() == nil {
		if f.mirrored(ctx) {
			continue
		}
		err := f.once(ctx, backoff)
		if ctx.Err() != nil {
			break
		}
		if errors.Is(err, errTurnOver) {
			continue
		}
		sink.Broken(err)
		if errors.Is(err, ErrSilent) {
			continue
		}
		if backoff.Wait(ctx) != nil {
			break
		}
	}
	return ctx.Err()
}

// once lists if need be and watches until the watch breaks.
func (f *follower) once(ctx context.Context, backoff *Backoff) error {
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
		if err := f.take(event); err != nil {
			return err
		}
		if event.Bookmark && f.mirror != nil && !f.mirror.Reads() {
			return errTurnOver
		}
		return nil
	})
	if errors.Is(err, ErrCompacted) {
		f.listed = false
	}
	return err
}

func (f *follower) list(ctx context.Context) error {
	list, err := f.client.listEach(ctx, f.kind, f.prefix, f.share)
	if err != nil {
		return err
	}
	if f.mirror != nil {
		f.mirror.Answered()
	}
	return f.takeList(list)
}

func (f *follower) takeList(list List) error {
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

// share replaces a value that the sink holds already by the one that it holds.
func (f *follower) share(object *Object) {
	holder, ok := f.sink.(Holder)
	if !ok {
		return
	}
	if value := holder.Held(object.Name, object.Version); value != nil {
		object.Value = value
	}
}

func (f *follower) take(event WatchEvent) error {
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
