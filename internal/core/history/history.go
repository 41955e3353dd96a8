// Package history orders the writes of a store that may lose its last ones: when it comes back
// from a copy, it begins a new history and gives revisions out again.
package history

import "fmt"

// Version is a revision of one history of a store. Versions of a later history are above all
// those of former ones, so they are compared as they are. 0 is none.
type Version uint64

// The bits of a version: the number of the history above its revision.
const (
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxHistory   = 1<<(64-revisionBits) - 1
)

// RangeError says that a version can't be formed.
type RangeError struct{ History, Revision uint64 }

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of history %d is beyond revision %d or history %d: the store counts differently than its protocol says", e.Revision, e.History, uint64(maxRevision), maxHistory)
}

// At is a revision of the history with a number; 0 is that of a store which names none.
func At(number, revision uint64) (Version, error) {
	if number > maxHistory || revision > maxRevision {
		return 0, &RangeError{History: number, Revision: revision}
	}
	return Version(number<<revisionBits | revision), nil
}

// History is the number of the history.
func (v Version) History() uint64 { return uint64(v >> revisionBits) }

// Revision is the revision within its history.
func (v Version) Revision() uint64 { return uint64(v & maxRevision) }

// String is the revision, after the number of its history where it has one.
func (v Version) String() string {
	if v.History() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d.%d", v.History(), v.Revision())
}
