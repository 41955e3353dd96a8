package backends

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

const (
	// usualSigns is the time between two signs of life of a server where it isn't told.
	usualSigns = 1200 * time.Millisecond
	// signsMissed is how many of them are missed until the entry of a server that has gone is
	// gone too and all VMs know it.
	signsMissed = 4
)

// Signs takes the time between two signs of life of a server; 0 leaves the usual one.
func (f *Fleet) Signs(every time.Duration) {
	if every > 0 {
		f.signs = every
	}
}

// enter takes the version of a list. The first one of another history is of a platform that
// came back from a copy: entries that it lacks may be written again, and those of servers that
// had left may be as old as the copy.
func (f *Fleet) enter(now time.Duration, listed history.Version) {
	first := f.copied == 0
	if !first && listed.History() <= f.copied.History() {
		return
	}
	f.copied = listed
	if first {
		return
	}
	f.outage, f.restored = false, now
	for id, left := range f.left {
		if left.revision > 0 {
			f.left[id] = departure{at: now, revision: listed, copied: true}
		}
	}
}

// mayBeCopied tells whether an entry may be as old as the copy, though what is known of
// another one is of a former history.
func (f *Fleet) mayBeCopied(entry, other history.Version) bool {
	return entry <= f.copied && other.History() < entry.History()
}

// returnCopied has servers back whose entries were only in the copy, once they would have
// gone if nobody gave signs of life.
func (f *Fleet) returnCopied(now time.Duration) {
	for id, left := range f.left {
		k, ok := f.servers[id]
		if !left.copied || !ok || k.missing > 0 || f.outage || now < max(left.at, f.restored)+signsMissed*f.signs {
			continue
		}
		if len(f.index.addresses[k.Address]) > 1 {
			continue
		}
		delete(f.left, id)
		k.Draining = false
	}
}
