package digest

import (
	"cmp"
	"slices"
)

// Limits on the memory that one origin can use on other VMs.
const (
	maxEntries   = 4096
	maxGauges    = 4096
	maxEntrySize = 16 << 10
	// deltaOverhead and entryOverhead estimate the encoded size in bytes without
	// keys and values.
	deltaOverhead = 24
	entryOverhead = 10
	gaugeSize     = 8
)

// recentWindow is the Window of RecentChanges. In a data centre of hundreds of VMs a
// heartbeat takes about twenty versions to reach the last VM.
const recentWindow = 32

// Watermarks returns the watermarks of a stream for all origins of a data centre,
// sorted by ID.
func (s *Store) Watermarks(dataCentre string, stream Stream) []Watermark {
	watermarks := make([]Watermark, 0, len(s.sorted[dataCentre]))
	for _, r := range s.sorted[dataCentre] {
		watermarks = append(watermarks, Watermark{ID: r.id, Version: r.streamOf(stream).version})
	}
	return watermarks
}

// OriginsHash returns a hash of the set of origins of a data centre. Two VMs with
// the same hash can exchange watermarks without IDs.
func (s *Store) OriginsHash(dataCentre string) uint64 { return s.originHashes[dataCentre] }

// RecentChanges lists the origins of a data centre whose Local streams had a change other
// than a heartbeat within the last versions.
type RecentChanges struct {
	// Window is the number of versions; 0 if nothing is known.
	Window uint64
	// Positions are the origins, as positions in the order of Watermarks, and VersionsAgo
	// how many versions ago each changed.
	Positions, VersionsAgo []uint32
}

// RecentChanges returns the recent changes of a data centre.
func (s *Store) RecentChanges(dataCentre string) RecentChanges {
	recent := RecentChanges{Window: recentWindow}
	for i, r := range s.sorted[dataCentre] {
		if r.local.lastChange > 0 && r.local.lastChange+recentWindow > r.local.version {
			recent.Positions = append(recent.Positions, uint32(i))
			recent.VersionsAgo = append(recent.VersionsAgo, uint32(r.local.version-min(r.local.lastChange, r.local.version)))
		}
	}
	return recent
}

// NewerHeartbeats returns those of another VM's watermarks that exceed this store's by
// heartbeats only.
func (s *Store) NewerHeartbeats(watermarks []Watermark, recent RecentChanges) []Watermark {
	if len(recent.Positions) != len(recent.VersionsAgo) {
		return nil // malformed: the heartbeats come with the deltas
	}
	versionsAgo := make(map[uint32]uint64, len(recent.Positions))
	for i, position := range recent.Positions {
		versionsAgo[position] = uint64(recent.VersionsAgo[i])
	}
	var heartbeats []Watermark
	for i, watermark := range watermarks {
		r, known := s.replicas[watermark.ID]
		if !known || watermark.Version <= r.local.version {
			continue
		}
		unchangedFor, listed := versionsAgo[uint32(i)]
		if !listed {
			unchangedFor = recent.Window
		}
		if watermark.Version-r.local.version <= unchangedFor {
			heartbeats = append(heartbeats, watermark)
		}
	}
	return heartbeats
}

// Deltas returns the changes of a data centre that a VM with the given watermarks
// lacks, sorted by ID, up to about budget bytes. The rest is sent in a later
// exchange.
func (s *Store) Deltas(dataCentre string, stream Stream, known []Watermark, budget int) []Delta {
	known = sortedByID(known)
	var deltas []Delta
	for _, r := range s.sorted[dataCentre] {
		after, found := uint64(0), false
		for len(known) > 0 && known[0].ID <= r.id {
			after, found = known[0].Version, known[0].ID == r.id
			known = known[1:]
		}
		if !found {
			after = 0
		}
		if r.streamOf(stream).version <= after && (found || stream == Local) {
			continue
		}
		if budget <= 0 {
			break
		}
		delta, size := r.delta(stream, after, budget)
		deltas = append(deltas, delta)
		budget -= size
	}
	return deltas
}

// sortedByID returns watermarks sorted by ID. Those of a well-formed message are already.
func sortedByID(watermarks []Watermark) []Watermark {
	compare := func(a, b Watermark) int { return cmp.Compare(a.ID, b.ID) }
	if slices.IsSortedFunc(watermarks, compare) {
		return watermarks
	}
	return slices.SortedFunc(slices.Values(watermarks), compare)
}

// HeartbeatOnly returns the origins of which a VM with the given watermarks lacks
// only heartbeats, with their current versions. Deltas for them would cost ten times
// the bytes.
func (s *Store) HeartbeatOnly(dataCentre string, known []Watermark) map[ID]uint64 {
	versions := make(map[ID]uint64)
	for _, watermark := range known {
		r, ok := s.replicas[watermark.ID]
		if ok && r.origin.DataCentre == dataCentre && r.local.version > watermark.Version && !r.changedSince(watermark.Version) {
			versions[watermark.ID] = r.local.version
		}
	}
	return versions
}

func (r *replica) changedSince(after uint64) bool {
	if r.local.lastChange <= after {
		return false
	}
	for _, entry := range r.local.entries {
		if entry.Version > after && entry.Version <= r.local.version {
			return true
		}
	}
	for _, gauge := range r.gauges {
		if gauge.Version > after && gauge.Version <= r.local.version {
			return true
		}
	}
	return false
}

// EntryDelta returns single entries of a VM's State, to be pushed at once. It moves
// no watermark, so a VM that lacks earlier changes still requests them.
func (s *Store) EntryDelta(name string, keys ...string) (Delta, bool) {
	r, ok := s.replicas[s.byName[name]]
	if !ok {
		return Delta{}, false
	}
	delta := Delta{ID: r.id, Origin: r.origin, Stream: State, After: r.state.version, Upto: r.state.version}
	for _, key := range keys {
		if entry, ok := r.state.entries[key]; ok {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	return delta, len(delta.Entries) > 0
}

func (r *replica) delta(stream Stream, after uint64, budget int) (Delta, int) {
	current := r.streamOf(stream)
	delta := Delta{ID: r.id, Stream: stream, After: after, Upto: current.version}
	size := deltaOverhead
	if stream == State {
		delta.PurgedVersion = current.purged
	}
	if stream == State && after == 0 {
		delta.Origin = r.origin
		size += len(r.origin.Name) + len(r.origin.DataCentre)
	}
	if after < current.purged {
		delta.After, delta.Reset = 0, true
		// A reset must be complete, because the receiver deletes entries missing
		// from it.
		budget = maxEntries * maxEntrySize
	}
	for _, entry := range current.since(delta.After) {
		if size > budget && entry.Version > delta.After+1 && entry.Version != delta.lastVersion() {
			delta.Upto = entry.Version - 1
			return delta, size
		}
		delta.Entries = append(delta.Entries, entry)
		size += entryOverhead + len(entry.Key) + len(entry.Value)
	}
	if stream == Local {
		delta.Gauges = r.gaugesSince(after)
		size += gaugeSize * len(delta.Gauges)
	}
	return delta, size
}

func (d *Delta) lastVersion() uint64 {
	if len(d.Entries) == 0 {
		return 0
	}
	return d.Entries[len(d.Entries)-1].Version
}

// since returns the entries changed after a version, up to the watermark.
func (s *streamState) since(after uint64) []Entry {
	var entries []Entry
	for _, entry := range s.entries {
		if entry.Version > after && entry.Version <= s.version {
			entries = append(entries, entry)
		}
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return entries
}

func (r *replica) gaugesSince(after uint64) []Gauge {
	var gauges []Gauge
	for _, gauge := range r.gauges {
		if gauge.Version > after && gauge.Version <= r.local.version {
			gauges = append(gauges, gauge)
		}
	}
	slices.SortFunc(gauges, func(a, b Gauge) int { return cmp.Compare(a.Key, b.Key) })
	return gauges
}
