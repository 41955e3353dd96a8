package edge

import (
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// The figures of reading servers' entries.
const (
	// entryReaders is how many VMs of a data centre always read the newest entries: one
	// may be cut off and one stopping. Where a data centre has no more VMs, all read.
	entryReaders = 3
	// readerTrust is how old a reader's last sign may be for another VM to do with older
	// entries. If the readers fall silent just when a server leaves, a call of 0.7 s may
	// begin 0.7 s later and half a second of gathering follow: the departure is known
	// within 1.9 s. Servers that leave go on for 2 s or more.
	readerTrust = 700 * time.Millisecond
)

// readers decides whether this VM may read servers' entries that are seconds old.
//
// What can go wrong: each VM watches all entries, and every call is paid for. Servers'
// entries change all day, so the calls grow with the VMs times the changes: 82 VMs made
// 12,000 calls in a minute, a tenth of all that the day earned. Old answers cost a
// tenth. What must be known at once is that a server leaves, and the readers tell that
// to all VMs; a VM that hears no reader reads the newest entries by itself.
type readers struct {
	self string
	// near lists the VMs of the data centre that live, this one included.
	near func() []string
	now  func() time.Duration

	mu    sync.Mutex
	heard time.Duration
	ever  bool
}

// reading tells whether this VM is one of those that read the newest entries.
func (r *readers) reading() bool {
	return lease.Position(rank("entries", r.near()), r.self) < entryReaders
}

// hear takes the word of a VM that reads the newest entries.
func (r *readers) hear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard, r.ever = r.now(), true
}

// relaxed tells whether old entries will do for now.
func (r *readers) relaxed() bool {
	r.mu.Lock()
	fresh := r.ever && r.now()-r.heard < readerTrust
	r.mu.Unlock()
	return fresh && !r.reading()
}
