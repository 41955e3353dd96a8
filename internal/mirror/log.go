// Package mirror lets a VM learn the objects of a kind from other VMs of its data
// centre, a few of which read the platform. What a VM knows has the age of its proof:
// since when the platform showed to somebody that it was the newest. The age grows on
// its way from VM to VM, so that VMs which only hear of one another soon believe none.
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

// changesKept bounds the changes that are remembered. Servers of a fleet change a few
// hundred times a minute when much goes on, and VMs ask several times a second; one that
// asks for older changes gets all objects.
const changesKept = 512

// Log keeps what is known of the objects of a kind, to be told to other VMs, and passes
// it on to a sink. It is a platform.Sink, safe for concurrent use by those who ask.
type Log struct {
	sink platform.Sink
	now  func() time.Duration

	mu      sync.Mutex
	objects map[string]platform.Object
	// changes are the newest ones, in order of version; all after floor.
	changes []platform.WatchEvent
	floor   history.Version
	// version is up to which everything is known; 0 before the first list.
	version history.Version
	proof   Proof
	// own is when the platform itself last answered this VM.
	own time.Duration
	// lost says that the platform doesn't answer this VM, nor any other that it asked.
	lost bool
	// news is closed at the next change of anything.
	news chan struct{}
}

// Proof is how far what is known may be believed.
type Proof struct {
	// At is when the platform showed that it is the newest. 0 is never.
	At time.Duration
	// Back is when the platform answered again after an outage. 0 is never.
	Back time.Duration
}

var _ platform.Sink = (*Log)(nil)

// NewLog makes a log that knows nothing. now is the time since the start of the VM,
// suspension included.
func NewLog(sink platform.Sink, now func() time.Duration) *Log {
	return &Log{sink: sink, now: now, objects: make(map[string]platform.Object), news: make(chan struct{})}
}

// Listed implements platform.Sink.
func (l *Log) Listed(list platform.List) error {
	l.mu.Lock()
	clear(l.objects)
	for _, object := range list.Items {
		l.objects[object.Name] = object
	}
	l.changes, l.floor, l.version = nil, list.Version, list.Version
	l.tell()
	l.mu.Unlock()
	return l.sink.Listed(list)
}

// Watched implements platform.Sink.
func (l *Log) Watched(event platform.WatchEvent) error {
	l.mu.Lock()
	l.version = max(l.version, event.Object.Version)
	if !event.Bookmark {
		l.change(event)
	}
	l.mu.Unlock()
	return l.sink.Watched(event)
}

func (l *Log) change(event platform.WatchEvent) {
	if event.Deleted {
		delete(l.objects, event.Object.Name)
		event.Object.Value = nil
	} else {
		l.objects[event.Object.Name] = event.Object
	}
	l.changes = append(l.changes, event)
	if len(l.changes) > changesKept {
		l.floor = l.changes[0].Object.Version
		l.changes = l.changes[1:]
	}
	l.tell()
}

// Broken implements platform.Sink. Who waits here learns it at once and asks elsewhere.
func (l *Log) Broken(err error) {
	if !errors.Is(err, platform.ErrCompacted) {
		l.mu.Lock()
		l.lost = true
		l.tell()
		l.mu.Unlock()
	}
	l.sink.Broken(err)
}

// answered says that the platform itself has answered this VM.
func (l *Log) answered() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own = l.now()
	l.proof.At = l.own
	if l.lost {
		l.lost, l.proof.Back = false, l.proof.At
	}
}

// reading tells whether the platform itself answered this VM a moment ago.
func (l *Log) reading() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own > 0 && !l.lost && l.now()-l.own < believed
}

// learnt takes the proof of another VM. It returns true when the platform was away,
// which this VM had not noticed: what is missing since may come back.
func (l *Log) learnt(proof Proof) (missedOutage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proof.At = max(l.proof.At, proof.At)
	l.lost = false
	// The same return of the platform shows a little earlier or later on each VM.
	missedOutage = proof.Back > l.proof.Back+sameReturn
	l.proof.Back = max(l.proof.Back, proof.Back)
	return missedOutage
}

// sameReturn is by how much VMs may differ on when the platform was back: they try again
// every 0.2 to 0.4 s.
const sameReturn = time.Second

// tell wakes those who wait. It must be called with the lock held.
func (l *Log) tell() {
	close(l.news)
	l.news = make(chan struct{})
}

// answer is what is told to a VM that knows everything up to a version.
type answer struct {
	page  platform.Page
	proof Proof
	// lost says that nothing may be believed any more.
	lost bool
	// news is closed when there may be more to tell.
	news <-chan struct{}
}

// since tells what has changed after a version, or all objects where the changes aren't
// known any more.
func (l *Log) since(known history.Version) answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := answer{page: platform.Page{Version: l.version}, proof: l.proof, lost: l.lost, news: l.news}
	if l.version == 0 {
		return told
	}
	if known >= l.floor && known > 0 {
		for _, event := range l.changes {
			if event.Object.Version > known {
				told.page.Events = append(told.page.Events, event)
			}
		}
		return told
	}
	told.page.Whole = true
	for _, object := range slices.SortedFunc(maps.Values(l.objects), func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) }) {
		told.page.Events = append(told.page.Events, platform.WatchEvent{Object: object})
	}
	return told
}

// settled tells whether there is something to tell at once.
func (a answer) settled() bool { return a.lost || a.page.Whole || len(a.page.Events) > 0 }
