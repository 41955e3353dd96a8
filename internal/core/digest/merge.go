package digest

// MergeResult is the result of a merge.
type MergeResult struct {
	// Changes are the entries that are new to this store.
	Changes []Change
	// Gauges are the gauges that are new to this store.
	Gauges []GaugeUpdate
	// Heartbeats lists the VMs whose Local stream has advanced.
	Heartbeats []string
	// Joined are the origins seen for the first time. Replaced are the origins of
	// earlier processes that they supersede.
	Joined   []Origin
	Replaced []Origin
	// ConflictingIncarnation is an incarnation of this VM's name that is not lower
	// than its own; 0 if none.
	ConflictingIncarnation uint64
}

// GaugeUpdate is a gauge that is new to this store.
type GaugeUpdate struct {
	Key   uint32
	Level uint32
	// Witness is the VM that measured it.
	Witness string
	// HeartbeatsAgo is the age of the measurement in heartbeats of the witness.
	HeartbeatsAgo uint64
}

// Merge applies deltas. Changes that are not newer than the known state are ignored.
func (s *Store) Merge(deltas []Delta) MergeResult {
	var merged MergeResult
	for _, delta := range deltas {
		s.mergeDelta(delta, &merged)
	}
	return merged
}

// ApplyHeartbeats applies heartbeats without other changes, as returned by
// HeartbeatOnly, and returns the VMs that have advanced.
func (s *Store) ApplyHeartbeats(watermarks []Watermark) []string {
	var names []string
	for _, watermark := range watermarks {
		r, ok := s.replicas[watermark.ID]
		if ok && r != s.self && watermark.Version > r.local.version {
			r.local.version = watermark.Version
			names = append(names, r.origin.Name)
		}
	}
	return names
}

func (s *Store) mergeDelta(delta Delta, merged *MergeResult) {
	if delta.ID == s.self.id {
		return
	}
	r, ok := s.replicas[delta.ID]
	if !ok {
		if r = s.addOrigin(delta, merged); r == nil {
			return
		}
	}
	if delta.Stream == Local {
		mergeLocal(r, delta, merged)
		return
	}
	s.mergeState(r, delta, merged)
}

// addOrigin adds a replica for an origin seen for the first time. It returns nil if
// the origin was forgotten, is older than the known process of the VM, or doesn't
// match its ID.
func (s *Store) addOrigin(delta Delta, merged *MergeResult) *replica {
	if delta.Origin.Name == "" || delta.Origin.ID() != delta.ID {
		return nil
	}
	if version, gone := s.forgotten[delta.ID]; gone && delta.Upto <= version {
		return nil
	}
	if delta.Origin.Name == s.self.origin.Name {
		if delta.Origin.Incarnation >= s.self.origin.Incarnation {
			merged.ConflictingIncarnation = max(merged.ConflictingIncarnation, delta.Origin.Incarnation)
		}
		return nil
	}
	if known, ok := s.replicas[s.byName[delta.Origin.Name]]; ok {
		if known.origin.Incarnation >= delta.Origin.Incarnation {
			return nil
		}
		merged.Replaced = append(merged.Replaced, known.origin)
		s.remove(known.id)
	}
	r := newReplica(delta.Origin)
	s.add(r)
	delete(s.forgotten, r.id)
	merged.Joined = append(merged.Joined, r.origin)
	return r
}

func (s *Store) mergeState(r *replica, delta Delta, merged *MergeResult) {
	if delta.Reset && delta.Upto > r.state.version {
		r.deleteMissing(delta, merged)
	}
	for _, entry := range delta.Entries {
		r.applyEntry(&r.state, State, entry, merged)
	}
	// A delta that starts above the watermark leaves a gap. Its entries are applied,
	// but the watermark stays, so that the missing changes are requested again.
	if delta.After <= r.state.version && delta.Upto > r.state.version {
		s.setStateVersion(r, delta.Upto)
	}
	if r.state.version >= delta.PurgedVersion {
		r.state.purgeTombstones(delta.PurgedVersion)
		r.state.purged = max(r.state.purged, delta.PurgedVersion)
	}
}

func (r *replica) deleteMissing(delta Delta, merged *MergeResult) {
	kept := make(map[string]struct{}, len(delta.Entries))
	for _, entry := range delta.Entries {
		kept[entry.Key] = struct{}{}
	}
	for key, entry := range r.state.entries {
		if _, ok := kept[key]; ok || entry.Version > delta.Upto {
			continue
		}
		delete(r.state.entries, key)
		if len(entry.Value) > 0 {
			merged.Changes = append(merged.Changes, Change{Origin: r.origin, Stream: State, Key: key})
		}
	}
}

func mergeLocal(r *replica, delta Delta, merged *MergeResult) {
	for _, entry := range delta.Entries {
		r.applyEntry(&r.local, Local, entry, merged)
	}
	for _, gauge := range delta.Gauges {
		current, ok := r.gauges[gauge.Key]
		if (ok && current.Version >= gauge.Version) || (!ok && len(r.gauges) >= maxGauges) {
			continue
		}
		r.gauges[gauge.Key] = gauge
		r.local.lastChange = max(r.local.lastChange, gauge.Version)
		merged.Gauges = append(merged.Gauges, GaugeUpdate{
			Key: gauge.Key, Level: gauge.Level, Witness: r.origin.Name, HeartbeatsAgo: delta.Upto - min(gauge.Version, delta.Upto),
		})
	}
	if delta.After <= r.local.version && delta.Upto > r.local.version {
		r.local.version = delta.Upto
		merged.Heartbeats = append(merged.Heartbeats, r.origin.Name)
	}
}

func (r *replica) applyEntry(into *streamState, stream Stream, entry Entry, merged *MergeResult) {
	current, ok := into.entries[entry.Key]
	if ok && current.Version >= entry.Version {
		return
	}
	if !ok && entry.Version <= into.version {
		// All changes up to the watermark are known, so the entry was deleted and its
		// tombstone purged. A late copy must not restore it.
		return
	}
	if len(entry.Key)+len(entry.Value) > maxEntrySize || (!ok && len(into.entries) >= maxEntries) {
		return
	}
	into.entries[entry.Key] = entry
	into.lastChange = max(into.lastChange, entry.Version)
	if ok || len(entry.Value) > 0 {
		merged.Changes = append(merged.Changes, Change{Origin: r.origin, Stream: stream, Key: entry.Key, Value: entry.Value})
	}
}
