package config

import (
	"cmp"
	"maps"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// View tracks the operators' records in the platform as observed by this VM. It
// stores only the differences from the set in force.
type View struct {
	seen    map[api.Kind]uint64
	changes map[string]Change
	// peak is the highest number of changes since the map was allocated.
	peak int
}

const (
	// shrinkMinPeak is the peak below which the map is not shrunk.
	shrinkMinPeak = 64
	// shrinkFactor is the factor by which the number of changes must have fallen
	// below the peak before the map is shrunk. Shrinking copies the remaining
	// changes, and the factor keeps the amortized cost of a change bounded.
	shrinkFactor = 4
)

// NewView returns a view without any observed records.
func NewView() *View {
	return &View{seen: map[api.Kind]uint64{}, changes: map[string]Change{}}
}

// Seen returns, by kind, the platform's version up to which records have been observed.
func (v *View) Seen() map[api.Kind]uint64 { return maps.Clone(v.seen) }

// ApplyList applies a full list of a kind, taken at a version of the platform. It
// returns false and changes nothing if something newer has been observed: a
// delayed list must not undo later watch events.
func (v *View) ApplyList(kind api.Kind, version uint64, items []Change, inForce *Set) bool {
	if version < v.seen[kind] {
		return false
	}
	v.seen[kind] = version
	maps.DeleteFunc(v.changes, func(_ string, c Change) bool { return c.Kind == kind })
	listed := make(map[string]bool, len(items))
	for _, item := range items {
		listed[item.Name] = true
		v.put(item, inForce)
	}
	for record := range inForce.Records(kind) {
		if !listed[record.Name] {
			v.put(Change{Kind: kind, Name: record.Name, Version: version}, inForce)
		}
	}
	return true
}

// ApplyEvent applies a watch event. It returns false and changes nothing if the event
// or something newer of the kind has been observed: events are repeated after a
// reconnection. Within one watch they arrive in order.
func (v *View) ApplyEvent(change Change, inForce *Set) bool {
	if change.Version <= v.seen[change.Kind] {
		return false
	}
	v.seen[change.Kind] = change.Version
	v.put(change, inForce)
	return true
}

// ApplyBookmark applies a bookmark event: the platform's confirmation that all events
// of a kind up to a version have been sent. Without bookmarks, a kind without
// writes would leave a VM's view older than another VM's release, and the VM
// could never accept changes.
func (v *View) ApplyBookmark(kind api.Kind, version uint64) {
	v.seen[kind] = max(v.seen[kind], version)
}

// put records a change, or drops it if the set in force already has it.
func (v *View) put(change Change, inForce *Set) {
	if change.matches(inForce.Record(change.Kind, change.Name)) {
		delete(v.changes, change.Key())
		v.shrink()
		return
	}
	v.peak = max(v.peak, len(v.changes)+1)
	v.changes[change.Key()] = change
}

// shrink reallocates the map after most changes have been accepted. Go maps never
// shrink: after a first release of tens of thousands of records, the VM would
// keep the memory for all of them in an empty map.
func (v *View) shrink() {
	if v.peak < shrinkMinPeak || len(v.changes) > v.peak/shrinkFactor {
		return
	}
	oversized := v.changes
	v.changes = make(map[string]Change, len(oversized))
	maps.Copy(v.changes, oversized)
	v.peak = len(oversized)
}

// matches reports whether the record in force is the result of the change.
func (c Change) matches(record *Record) bool {
	if len(c.Raw) == 0 || record == nil {
		return len(c.Raw) == 0 && record == nil
	}
	return record.Version == c.Version
}

// Rebase updates the view when another set comes in force, so that it stores the
// differences from the latest set. The cost is proportional to what differs
// between the two sets.
func (v *View) Rebase(former, latest *Set) {
	for _, d := range former.Compare(latest) {
		change, changed := v.changes[api.Key(d.Kind, d.Name)]
		if !changed {
			change = Change{Kind: d.Kind, Name: d.Name, Version: v.seen[d.Kind]}
			if d.Before != nil {
				change.Version = d.Before.Version
				change.Raw = d.Before.Raw
			}
		}
		v.put(change, latest)
	}
}

// Changes returns the differences between the platform's records and those in
// force, in the order in which they were written.
func (v *View) Changes() []Change {
	return slices.SortedFunc(maps.Values(v.changes), func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key(), b.Key()))
	})
}
