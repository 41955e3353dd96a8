package configuration

import (
	"fmt"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

var (
	// errOvertaken marks a release that is not needed any more.
	errOvertaken = eris.New("release as new is in force by now: nothing to do")
	// errPageRefused marks a page that can't be part of the release.
	errPageRefused = eris.New("page is refused: the release in force stays")
)

// loading is a release whose pages are being read. At a VM's start the platform
// and other VMs offer the same release at once: with a loader for each, the VM
// would hold the configuration several times. All add to one, and whichever
// source is first brings the release in force. Safe for concurrent use.
type loading struct {
	next   version
	digest string
	base   *config.Set
	store  *store
	// users is the number of readers; Manager.mu guards it.
	users int

	mu     sync.Mutex
	loader *config.Loader
}

// joinLoading gives the loading of a release from the set in force, and starts
// it if need be. leaveLoading must follow.
func (m *Manager) joinLoading(inForce, next version) *loading {
	m.mu.Lock()
	defer m.mu.Unlock()
	digest := next.release.Digest()
	if m.loading == nil || m.loading.digest != digest || m.loading.base != inForce.set {
		m.loading = &loading{
			next: next, digest: digest, base: inForce.set, store: m.store,
			loader: inForce.set.NewLoader(next.release),
		}
	}
	m.loading.users++
	return m.loading
}

// leaveLoading forgets a loading that nobody reads for any more.
func (m *Manager) leaveLoading(l *loading) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.users--
	if l.users == 0 && m.loading == l {
		m.loading = nil
	}
}

// missing lists the content hashes of what no reader has added yet.
func (l *loading) missing() ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	refs, err := l.loader.Missing()
	return hashesOf(refs), err
}

// lacking keeps those hashes that have not been added.
func (l *loading) lacking(hashes []string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(hashes, func(hash string) bool { return !l.loader.IsMissing(hash) })
}

// add decodes a page, unless another reader's release is in force by now.
func (l *loading) add(hash string, value []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overtaken() {
		return errOvertaken
	}
	if err := l.loader.Add(hash, value); err != nil {
		return fmt.Errorf("%w: %w", errPageRefused, err)
	}
	return nil
}

// set makes the release's set.
func (l *loading) set() (*config.Set, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.overtaken() {
		return nil, errOvertaken
	}
	return l.loader.Set()
}

func (l *loading) overtaken() bool {
	inForce, _ := l.store.current()
	return inForce.release.Sequence >= l.next.release.Sequence
}

func hashesOf(refs []api.PageRef) []string {
	hashes := make([]string, 0, len(refs))
	for _, ref := range refs {
		hashes = append(hashes, ref.Hash)
	}
	return hashes
}
