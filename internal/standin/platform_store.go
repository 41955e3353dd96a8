package standin

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// historyLimit bounds the changes of a kind that a watch can go back to.
const historyLimit = 4096

// condition is what must hold for a write to take effect.
type condition struct {
	// absent: the object must not exist.
	absent bool
	// version, if not empty, is the version that the object must have.
	version string
}

func (c condition) holds(current platform.Object, exists bool) bool {
	if c.absent && exists {
		return false
	}
	return c.version == "" || (exists && c.version == current.Version.String())
}

// shelf is the objects of one kind with their latest changes.
type shelf struct {
	objects map[string]platform.Object
	// history is in order of version. Changes up to compacted are gone from it.
	history   []platform.WatchEvent
	compacted history.Version
	// changed is closed and replaced at each change of the kind, so that a
	// change wakes only the watches of its own kind.
	changed chan struct{}
}

// store holds the objects. Versions grow over all kinds.
type store struct {
	mu      sync.Mutex
	version history.Version
	shelves map[string]*shelf
}

func newStore() *store { return &store{shelves: make(map[string]*shelf)} }

// shelf must be called with the lock held.
func (s *store) shelf(kind string) *shelf {
	k, ok := s.shelves[kind]
	if !ok {
		k = &shelf{objects: make(map[string]platform.Object), changed: make(chan struct{})}
		s.shelves[kind] = k
	}
	return k
}

func (s *store) get(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.shelf(kind).objects[name]
	return object, ok
}

func (s *store) list(kind, prefix string) platform.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version, Items: []platform.Object{}}
	for _, object := range s.shelf(kind).objects {
		if strings.HasPrefix(object.Name, prefix) {
			list.Items = append(list.Items, object)
		}
	}
	slices.SortFunc(list.Items, func(a, b platform.Object) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// put writes an object if the condition holds, and returns the one in force.
func (s *store) put(object platform.Object, only condition) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.shelf(object.Kind)
	current, exists := k.objects[object.Name]
	if !only.holds(current, exists) {
		return current, false
	}
	s.version++
	object.Version = s.version
	k.objects[object.Name] = object
	k.record(platform.WatchEvent{Object: object})
	return object, true
}

func (s *store) remove(kind, name string, only condition) (current platform.Object, existed, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.shelf(kind)
	current, existed = k.objects[name]
	if !existed || !only.holds(current, existed) {
		return current, existed, false
	}
	s.version++
	delete(k.objects, name)
	current.Version = s.version
	k.record(platform.WatchEvent{Object: current, Deleted: true})
	return current, true, true
}

func (k *shelf) record(event platform.WatchEvent) {
	k.history = append(k.history, event)
	if len(k.history) > historyLimit {
		k.compact(historyLimit / 2)
	}
	close(k.changed)
	k.changed = make(chan struct{})
}

// compact forgets the oldest changes beyond the newest keep.
func (k *shelf) compact(keep int) {
	if len(k.history) <= keep {
		return
	}
	cut := len(k.history) - keep
	k.compacted = k.history[cut-1].Object.Version
	k.history = slices.Clone(k.history[cut:])
}

// changes are what happened to a kind after a version.
type changes struct {
	events    []platform.WatchEvent
	version   history.Version
	compacted bool
	// more is closed at the kind's next change.
	more <-chan struct{}
}

func (s *store) since(kind, prefix string, from history.Version) changes {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.shelf(kind)
	result := changes{version: s.version, compacted: from < k.compacted, more: k.changed}
	first, _ := slices.BinarySearchFunc(k.history, from+1, func(e platform.WatchEvent, version history.Version) int {
		return cmp.Compare(e.Object.Version, version)
	})
	for _, event := range k.history[first:] {
		if strings.HasPrefix(event.Object.Name, prefix) {
			result.events = append(result.events, event)
		}
	}
	return result
}

// compactAll forgets all changes of all kinds.
func (s *store) compactAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.shelves {
		k.compact(0)
	}
}

// snapshot copies the objects, for answers from an old replica.
func (s *store) snapshot() *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := &store{version: s.version, shelves: make(map[string]*shelf)}
	for kind, k := range s.shelves {
		old.shelves[kind] = &shelf{objects: maps.Clone(k.objects), changed: make(chan struct{})}
	}
	return old
}
