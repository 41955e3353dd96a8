// Package digest holds the state that VMs gossip. Each VM writes only its own
// entries, each change with a higher version, and the others keep the highest
// version they have received. Merges are therefore idempotent and commutative:
// messages can be repeated, reordered or late, for example after a partition, and
// never revert newer state.
//
// Each VM's state has two streams. State changes rarely and is sent to all data
// centres. Local changes constantly (heartbeats, loads, account usage) and stays
// within the data centre.
package digest

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ID identifies one process of a VM.
type ID uint64

// Origin is the process that writes a replicated state.
type Origin struct {
	// Name and DataCentre are those of the VM.
	Name       string
	DataCentre string
	// Incarnation increases with each process of the VM.
	Incarnation uint64
}

// ID returns the hash that identifies the origin in messages.
func (o Origin) ID() ID {
	text := binary.LittleEndian.AppendUint64([]byte(o.Name+"\x00"+o.DataCentre+"\x00"), o.Incarnation)
	return ID(xxhash.Sum64(text))
}

// Stream is one of the two streams of an origin.
type Stream uint8

// The streams.
const (
	State Stream = iota
	Local
)

// Entry is a key and its value in an origin's stream.
type Entry struct {
	Key string
	// Value is empty if the entry is a tombstone.
	Value []byte
	// Version is the version of the stream at which the entry was written.
	Version uint64
}

// Gauge is a small number that changes constantly, such as a backend server's load.
// Gauges are separate from entries because there are hundreds of them.
type Gauge struct {
	// Key is the KeyHash of the measured object.
	Key     uint32
	Level   uint32
	Version uint64
}

// Watermark is the version up to which an origin's stream is completely known.
type Watermark struct {
	ID      ID
	Version uint64
}

// Delta contains the changes in an origin's stream after a version.
type Delta struct {
	ID     ID
	Stream Stream
	// Origin introduces the origin to a receiver that doesn't know the ID. It is
	// set in deltas of State from version 0.
	Origin Origin
	// After and Upto: the delta contains every change with After < version <= Upto.
	After, Upto uint64
	// Reset is set if the delta is the whole stream: entries missing from it were
	// deleted.
	Reset bool
	// PurgedVersion is the version of the newest tombstone of State that the origin
	// has purged.
	PurgedVersion uint64
	Entries       []Entry
	Gauges        []Gauge
}

// Change is an entry that a merge has changed.
type Change struct {
	Origin Origin
	Stream Stream
	// Key and Value are the entry; an empty value means that it was deleted.
	Key   string
	Value []byte
}

// KeyHash returns the hash that identifies a gauge by the name of the measured
// object. A collision mixes up two gauges, which is acceptable: gauges are hints,
// not proof.
func KeyHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

func watermarkHash(id ID, version uint64) uint64 {
	var text [16]byte
	binary.LittleEndian.PutUint64(text[:8], uint64(id))
	binary.LittleEndian.PutUint64(text[8:], version)
	return xxhash.Sum64(text[:])
}
