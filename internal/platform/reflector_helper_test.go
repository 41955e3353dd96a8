package platform_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// errCacheFull is returned when there are more objects than the cache may keep.
var errCacheFull = errors.New("cache of platform objects is full")

// reflector keeps a bounded cache of the objects of a kind, filled by Follow. Its
// state never reverts to an earlier version.
type reflector struct {
	client *platform.Client
	kind   string
	prefix string
	limit  int

	mu         sync.RWMutex
	objects    map[string]platform.Object
	version    history.Version
	synced     bool
	err        error
	staleLists int
}

// newReflector returns a reflector of the objects of a kind whose names start
// with prefix. It keeps at most limit objects.
func newReflector(c *platform.Client, kind, prefix string, limit int) *reflector {
	return &reflector{
		client:  c,
		kind:    kind,
		prefix:  prefix,
		limit:   limit,
		objects: make(map[string]platform.Object),
	}
}

// Run keeps the cache up to date until ctx ends.
func (r *reflector) Run(ctx context.Context) error {
	return r.client.Follow(ctx, r.kind, r.prefix, (*reflectorSink)(r))
}

// reflectorSink is the Sink of a reflector.
type reflectorSink reflector

// Listed implements Sink.
func (r *reflectorSink) Listed(list platform.List) error {
	if len(list.Items) > r.limit {
		return fmt.Errorf("%w: %d objects of kind %s, limit %d", errCacheFull, len(list.Items), r.kind, r.limit)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.objects = make(map[string]platform.Object, len(list.Items))
	for _, object := range list.Items {
		r.objects[object.Name] = object
	}
	r.version = list.Version
	r.synced = true
	r.err = nil
	return nil
}

// Watched implements Sink.
func (r *reflectorSink) Watched(event platform.WatchEvent) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = nil
	r.version = max(r.version, event.Object.Version)
	if event.Bookmark {
		return nil
	}
	_, known := r.objects[event.Object.Name]
	switch {
	case event.Deleted:
		delete(r.objects, event.Object.Name)
	case !known && len(r.objects) >= r.limit:
		r.synced = false
		return fmt.Errorf("%w: kind %s, limit %d", errCacheFull, r.kind, r.limit)
	default:
		r.objects[event.Object.Name] = event.Object
	}
	return nil
}

// Broken implements Sink.
func (r *reflectorSink) Broken(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.err = err
	if errors.Is(err, platform.ErrStaleList) {
		r.staleLists++
	}
}

// Synced reports whether the cache is complete: it has been listed and has no gap.
func (r *reflector) Synced() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.synced
}

// Err returns why the cache is not being kept up to date, or nil if it is.
func (r *reflector) Err() error {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.err
}

// StaleLists returns the number of lists discarded because they were older than the cache.
func (r *reflector) StaleLists() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.staleLists
}

// Get returns an object of the cache.
func (r *reflector) Get(name string) (platform.Object, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	object, ok := r.objects[name]
	return object, ok
}

// Objects returns the objects of the cache, sorted by name.
func (r *reflector) Objects() []platform.Object {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return slices.SortedFunc(maps.Values(r.objects), func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
}
