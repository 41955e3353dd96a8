package digest

import (
	"cmp"
	"maps"
	"slices"
)

// maxForgotten limits the remembered forgotten origins. 4096 cover a few days of
// replaced VMs, while all VMs forget an origin within minutes of each other.
const maxForgotten = 4096

// replica is the known state of one origin.
type replica struct {
	origin Origin
	id     ID
	state  streamState
	local  streamState
	gauges map[uint32]Gauge
}

// streamState is the known state of one stream of an origin.
type streamState struct {
	// version is the watermark: every change up to it is known.
	version uint64
	// lastChange is the version of the newest entry or gauge of a Local stream. Later
	// versions are heartbeats.
	lastChange uint64
	// purged is the version of the newest purged tombstone. A VM with a lower
	// watermark gets the whole stream; otherwise it would keep deleted entries.
	purged  uint64
	entries map[string]Entry
}

func newReplica(origin Origin) *replica {
	return &replica{
		origin: origin,
		id:     origin.ID(),
		state:  streamState{entries: make(map[string]Entry)},
		local:  streamState{entries: make(map[string]Entry)},
		gauges: make(map[uint32]Gauge),
	}
}

func (r *replica) streamOf(stream Stream) *streamState {
	if stream == State {
		return &r.state
	}
	return &r.local
}

// Store holds the replicas of all known origins, including this VM's own. It is not
// safe for concurrent use.
type Store struct {
	self     *replica
	replicas map[ID]*replica
	// byName maps each VM to its newest known process.
	byName map[string]ID
	// forgotten maps removed origins to the version of their State. Copies that
	// other VMs still send are ignored unless they are newer.
	forgotten      map[ID]uint64
	forgottenOrder []ID
	// stateHashes holds a hash of the State watermarks of each data centre, so that
	// equal states are detected without sending the watermarks. originHashes holds a
	// hash of its set of origins.
	stateHashes, originHashes map[string]uint64
	// sorted holds the replicas of each data centre, sorted by ID.
	sorted map[string][]*replica
}

// NewStore returns a store with an empty replica for this VM.
func NewStore(self Origin) *Store {
	s := &Store{
		self:        newReplica(self),
		replicas:    make(map[ID]*replica),
		byName:      make(map[string]ID),
		forgotten:   make(map[ID]uint64),
		stateHashes: make(map[string]uint64),

		originHashes: make(map[string]uint64),
		sorted:       make(map[string][]*replica),
	}
	s.add(s.self)
	return s
}

// Self returns this VM's origin.
func (s *Store) Self() Origin { return s.self.origin }

// Put writes an entry of this VM's State and reports whether it changed. An empty
// value deletes it.
func (s *Store) Put(key string, value []byte) bool {
	if current, ok := s.self.state.entries[key]; ok && slices.Equal(current.Value, value) {
		return false
	} else if !ok && len(value) == 0 {
		return false
	}
	s.self.state.entries[key] = Entry{Key: key, Value: value, Version: s.self.state.version + 1}
	s.setStateVersion(s.self, s.self.state.version+1)
	return true
}

// PutLocal writes an entry of this VM's Local stream. It is sent after the next
// Heartbeat.
func (s *Store) PutLocal(key string, value []byte) {
	local := &s.self.local
	if current, ok := local.entries[key]; ok && slices.Equal(current.Value, value) {
		return
	}
	local.entries[key] = Entry{Key: key, Value: value, Version: local.version + 1}
	local.lastChange = local.version + 1
}

// PutGauge writes a gauge. It is sent after the next Heartbeat.
func (s *Store) PutGauge(key, level uint32) {
	if current, ok := s.self.gauges[key]; ok && current.Level == level {
		return
	}
	s.self.gauges[key] = Gauge{Key: key, Level: level, Version: s.self.local.version + 1}
	s.self.local.lastChange = s.self.local.version + 1
}

// DropGauge deletes this VM's gauge when another VM takes over its measurement.
func (s *Store) DropGauge(key uint32) { delete(s.self.gauges, key) }

// Heartbeat increments the version of this VM's Local stream.
func (s *Store) Heartbeat() { s.self.local.version++ }

// SetIncarnation moves this VM's replica to a higher incarnation. It is needed when
// an earlier process with the same name has a higher one, for example after the
// clock was set back.
func (s *Store) SetIncarnation(incarnation uint64) {
	old := s.self
	s.remove(old.id)
	origin := old.origin
	origin.Incarnation = incarnation
	s.self = newReplica(origin)
	s.self.state.entries, s.self.local.entries, s.self.gauges = old.state.entries, old.local.entries, old.gauges
	s.self.local.version, s.self.local.lastChange = old.local.version, old.local.lastChange
	s.self.state.purged = old.state.purged
	s.add(s.self)
	s.setStateVersion(s.self, old.state.version)
}

// PurgeTombstones removes the tombstones of this VM's State up to a version, here
// and, with the next exchange, on the other VMs.
func (s *Store) PurgeTombstones(upto uint64) {
	before := s.self.state.purged
	if s.self.state.purgeTombstones(upto); s.self.state.purged > before {
		s.setStateVersion(s.self, s.self.state.version+1)
	}
}

func (s *streamState) purgeTombstones(upto uint64) {
	for key, entry := range s.entries {
		if len(entry.Value) == 0 && entry.Version <= upto {
			delete(s.entries, key)
			s.purged = max(s.purged, entry.Version)
		}
	}
}

// Version returns the version of one of this VM's streams.
func (s *Store) Version(stream Stream) uint64 { return s.self.streamOf(stream).version }

// Forget removes the replica of a VM that is gone. Copies of that process from other
// VMs are ignored unless its State has advanced, which proves that the process is
// alive and was only partitioned.
func (s *Store) Forget(name string) {
	id, ok := s.byName[name]
	if !ok || id == s.self.id {
		return
	}
	s.forgotten[id] = s.replicas[id].state.version
	s.forgottenOrder = append(s.forgottenOrder, id)
	if len(s.forgottenOrder) > maxForgotten {
		delete(s.forgotten, s.forgottenOrder[0])
		s.forgottenOrder = s.forgottenOrder[1:]
	}
	s.remove(id)
}

// Origins returns all origins sorted by name.
func (s *Store) Origins() []Origin {
	origins := make([]Origin, 0, len(s.replicas))
	for _, r := range s.replicas {
		origins = append(origins, r.origin)
	}
	slices.SortFunc(origins, func(a, b Origin) int { return cmp.Compare(a.Name, b.Name) })
	return origins
}

// DataCentres returns the data centres with at least one origin, sorted.
func (s *Store) DataCentres() []string { return slices.Sorted(maps.Keys(s.sorted)) }

// StateHash returns a hash of the State watermarks of a data centre.
func (s *Store) StateHash(dataCentre string) uint64 { return s.stateHashes[dataCentre] }

// Entry returns the value of an entry of a VM's newest process.
func (s *Store) Entry(name string, stream Stream, key string) ([]byte, bool) {
	r, ok := s.replicas[s.byName[name]]
	if !ok {
		return nil, false
	}
	entry, ok := r.streamOf(stream).entries[key]
	return entry.Value, ok && len(entry.Value) > 0
}

// Changes returns all State entries of a VM's newest process, sorted by key.
func (s *Store) Changes(name string) []Change {
	r, ok := s.replicas[s.byName[name]]
	if !ok {
		return nil
	}
	var changes []Change
	for _, key := range slices.Sorted(maps.Keys(r.state.entries)) {
		if value := r.state.entries[key].Value; len(value) > 0 {
			changes = append(changes, Change{Origin: r.origin, Stream: State, Key: key, Value: value})
		}
	}
	return changes
}

// DataCentre returns the data centre of a VM; empty if the VM is unknown.
func (s *Store) DataCentre(name string) string {
	if r, ok := s.replicas[s.byName[name]]; ok {
		return r.origin.DataCentre
	}
	return ""
}

func (s *Store) add(r *replica) {
	s.replicas[r.id] = r
	s.byName[r.origin.Name] = r.id
	s.stateHashes[r.origin.DataCentre] ^= watermarkHash(r.id, r.state.version)
	s.originHashes[r.origin.DataCentre] ^= watermarkHash(r.id, 0)
	here := s.sorted[r.origin.DataCentre]
	i, _ := slices.BinarySearchFunc(here, r.id, compareReplicaID)
	s.sorted[r.origin.DataCentre] = slices.Insert(here, i, r)
}

func (s *Store) remove(id ID) {
	r := s.replicas[id]
	delete(s.replicas, id)
	delete(s.byName, r.origin.Name)
	s.stateHashes[r.origin.DataCentre] ^= watermarkHash(id, r.state.version)
	s.originHashes[r.origin.DataCentre] ^= watermarkHash(id, 0)
	here := s.sorted[r.origin.DataCentre]
	if i, found := slices.BinarySearchFunc(here, id, compareReplicaID); found {
		s.sorted[r.origin.DataCentre] = slices.Delete(here, i, i+1)
	}
	if len(s.sorted[r.origin.DataCentre]) == 0 {
		delete(s.stateHashes, r.origin.DataCentre)
		delete(s.originHashes, r.origin.DataCentre)
		delete(s.sorted, r.origin.DataCentre)
	}
}

func compareReplicaID(r *replica, id ID) int { return cmp.Compare(r.id, id) }

func (s *Store) setStateVersion(r *replica, version uint64) {
	s.stateHashes[r.origin.DataCentre] ^= watermarkHash(r.id, r.state.version) ^ watermarkHash(r.id, version)
	r.state.version = version
}
