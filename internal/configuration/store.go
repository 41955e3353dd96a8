package configuration

import (
	"sync"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// version is a release with its set.
type version struct {
	release api.Release
	// value is the release's JSON as it stands in the platform.
	value []byte
	set   *config.Set
	// digest is the release's, set when it comes in force.
	digest string
}

// store is what is in force on this VM. It never goes back. Safe for concurrent use.
type store struct {
	// apply is called under the lock, so that sets reach the VM's duties in order.
	apply func(*config.Set)

	mu      sync.Mutex
	inForce version
	// former are the releases in force before, oldest first; at most keptVersions.
	former []version
	// changed is closed and replaced when another release comes in force.
	changed chan struct{}
}

func newStore(apply func(*config.Set)) *store {
	return &store{apply: apply, inForce: version{set: config.Empty()}, changed: make(chan struct{})}
}

// current is what is in force, and a channel that is closed when that changes.
func (s *store) current() (version, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inForce, s.changed
}

// adopt brings a release in force unless one as new is. Pages are read without
// the lock, so a newer release may have overtaken this one: without the second
// look the VM would go back.
func (s *store) adopt(next version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.release.Sequence <= s.inForce.release.Sequence {
		return false
	}
	next.digest = next.release.Digest()
	s.remember(s.inForce, next)
	s.inForce = next
	s.apply(next.set)
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}
