// Package mirror replicates the objects of a kind between the VMs of a data centre, a
// few of which read the platform. Each copy carries the age of its proof: the time since
// the platform last confirmed to some VM that the copy was the newest. The age grows
// with every hop from VM to VM, so that VMs that only fetch from one another soon treat
// their copies as stale.
package mirror

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// maxChanges bounds the retained changes. The servers of a fleet change a few hundred
// times a minute under heavy churn, and VMs ask several times a second; a VM that asks
// for older changes gets all objects.
const maxChanges = 512

// Log holds the known objects of a kind and their recent changes to serve them to other
// VMs, and passes them on to a sink. It is a platform.Sink; other VMs' requests may read
// it concurrently.
type Log struct {
	sink platform.Sink
	now  func() time.Duration

	mu      sync.Mutex
	objects map[string]platform.Object
	// changes are the most recent changes in version order, all after floor.
	changes []platform.WatchEvent
	floor   history.Version
	// version is the version up to which all changes are known; 0 before the first list.
	version history.Version
	proof   Proof
	// lastPlatformAnswer is when the platform itself last answered this VM.
	lastPlatformAnswer time.Duration
	// unavailable is true when neither the platform nor any other VM asked has a valid
	// answer for this VM.
	unavailable bool
	// changed is closed and replaced at the next change of the log.
	changed chan struct{}
}

// Proof shows how current a copy is.
type Proof struct {
	// VerifiedAt is when the platform last confirmed that the copy is the newest; 0 for
	// never.
	VerifiedAt time.Duration
	// RecoveredAt is when the platform answered again after an outage; 0 for never.
	RecoveredAt time.Duration
}

var _ platform.Sink = (*Log)(nil)

// NewLog returns an empty log. now returns the time since the start of the VM, including
// time suspended.
func NewLog(sink platform.Sink, now func() time.Duration) *Log {
	return &Log{sink: sink, now: now, objects: make(map[string]platform.Object), changed: make(chan struct{})}
}

// Listed implements platform.Sink.
func (l *Log) Listed(list platform.List) error {
	l.mu.Lock()
	clear(l.objects)
	for _, object := range list.Items {
		l.objects[object.Name] = object
	}
	l.changes, l.floor, l.version = nil, list.Version, list.Version
	l.notifyWaiters()
	l.mu.Unlock()
	return l.sink.Listed(list)
}

// Watched implements platform.Sink.
func (l *Log) Watched(event platform.WatchEvent) error {
	l.mu.Lock()
	l.version = max(l.version, event.Object.Version)
	if !event.Bookmark {
		l.apply(event)
	}
	l.mu.Unlock()
	return l.sink.Watched(event)
}

func (l *Log) apply(event platform.WatchEvent) {
	if event.Deleted {
		delete(l.objects, event.Object.Name)
		event.Object.Value = nil
	} else {
		l.objects[event.Object.Name] = event.Object
	}
	l.changes = append(l.changes, event)
	if len(l.changes) > maxChanges {
		l.floor = l.changes[0].Object.Version
		l.changes = l.changes[1:]
	}
	l.notifyWaiters()
}

// Broken implements platform.Sink. It wakes the requests that wait here, so that the VMs
// that sent them ask elsewhere at once.
func (l *Log) Broken(err error) {
	if !errors.Is(err, platform.ErrCompacted) {
		l.mu.Lock()
		l.unavailable = true
		l.notifyWaiters()
		l.mu.Unlock()
	}
	l.sink.Broken(err)
}

// recordPlatformAnswer records that the platform itself has answered this VM.
func (l *Log) recordPlatformAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastPlatformAnswer = l.now()
	l.proof.VerifiedAt = l.lastPlatformAnswer
	if l.unavailable {
		l.unavailable, l.proof.RecoveredAt = false, l.proof.VerifiedAt
	}
}

// readsPlatform reports whether the platform itself answered this VM within maxProofAge.
func (l *Log) readsPlatform() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastPlatformAnswer > 0 && !l.unavailable && l.now()-l.lastPlatformAnswer < maxProofAge
}

// mergeProof merges the proof of another VM. It returns true after a platform outage
// that this VM did not notice: objects that were missing since then may reappear.
func (l *Log) mergeProof(proof Proof) (missedOutage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proof.VerifiedAt = max(l.proof.VerifiedAt, proof.VerifiedAt)
	l.unavailable = false
	// Each VM observes the same recovery of the platform at a slightly different time.
	missedOutage = proof.RecoveredAt > l.proof.RecoveredAt+recoveryTolerance
	l.proof.RecoveredAt = max(l.proof.RecoveredAt, proof.RecoveredAt)
	return missedOutage
}

// recoveryTolerance is by how much VMs may differ on when the platform recovered: they
// retry every 0.2 to 0.4 s.
const recoveryTolerance = time.Second

// notifyWaiters wakes the waiting requests. l.mu must be held.
func (l *Log) notifyWaiters() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// changeSet is the answer to a VM that knows everything up to a version.
type changeSet struct {
	page  platform.Page
	proof Proof
	// unavailable is true when the log's data is not valid any more.
	unavailable bool
	// changed is closed when there may be more changes.
	changed <-chan struct{}
}

// changesSince returns the changes after a version, or all objects if those changes are
// no longer retained.
func (l *Log) changesSince(known history.Version) changeSet {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := changeSet{page: platform.Page{Version: l.version}, proof: l.proof, unavailable: l.unavailable, changed: l.changed}
	if l.version == 0 {
		return result
	}
	if known >= l.floor && known > 0 {
		for _, event := range l.changes {
			if event.Object.Version > known {
				result.page.Events = append(result.page.Events, event)
			}
		}
		return result
	}
	result.page.Whole = true
	for _, object := range slices.SortedFunc(maps.Values(l.objects), func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) }) {
		result.page.Events = append(result.page.Events, platform.WatchEvent{Object: object})
	}
	return result
}

// ready reports whether there is something to send at once.
func (c changeSet) ready() bool { return c.unavailable || c.page.Whole || len(c.page.Events) > 0 }
