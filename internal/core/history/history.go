// Package history orders the writes of a store that may lose its most recent ones: when it is
// restored from a backup, it begins a new history and reuses revision numbers.
package history

import "fmt"

// Version is a revision of one history of a store. Any version of a later history is greater than
// those of former histories, so versions are compared as integers. 0 means none.
type Version uint64

// Layout of a version: the history's number in the high bits, its revision in the low bits.
const (
	revisionBits = 48
	maxRevision  = 1<<revisionBits - 1
	maxHistory   = 1<<(64-revisionBits) - 1
)

// RangeError is returned if a history or revision is too large for a version.
type RangeError struct{ History, Revision uint64 }

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("revision %d of history %d is beyond revision %d or history %d: the store counts differently than its protocol says", e.Revision, e.History, uint64(maxRevision), maxHistory)
}

// NewVersion returns the version for a revision of a history. 0 is the history of a store that doesn't
// report one.
func NewVersion(number, revision uint64) (Version, error) {
	if number > maxHistory || revision > maxRevision {
		return 0, &RangeError{History: number, Revision: revision}
	}
	return Version(number<<revisionBits | revision), nil
}

// History returns the number of the history.
func (v Version) History() uint64 { return uint64(v >> revisionBits) }

// Revision returns the revision within its history.
func (v Version) Revision() uint64 { return uint64(v & maxRevision) }

// String returns the revision, preceded by its history if that isn't 0.
func (v Version) String() string {
	if v.History() == 0 {
		return fmt.Sprint(v.Revision())
	}
	return fmt.Sprintf("%d.%d", v.History(), v.Revision())
}
