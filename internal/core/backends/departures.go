package backends

import (
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Departure reports that a server is leaving or has left.
type Departure struct {
	ID string `json:"id"`
	// Revision is the platform revision at which the server's entry was missing. An entry that is
	// written later shows that the server is alive and was only cut off. 0 means that the server
	// drains or was replaced by another process; it never comes back.
	Revision history.Version `json:"revision,omitempty"`
}

// departureRecord is what is kept of a server that left.
type departureRecord struct {
	at       time.Duration
	revision history.Version
	// beforeRestore is set if the entry was removed in a former history of the platform. If it is
	// present again, it came from the backup that the current history was restored from.
	beforeRestore bool
	// listed is set if the entries show the departure, so that all VMs learn of it from them.
	listed bool
}

// newDeparture is a departure that this VM found.
type newDeparture struct {
	Departure
	// announced is set if the server itself said so to this VM.
	announced bool
}

// departureTTL is how long a departure is remembered. It is longer than any answer of the platform
// may be out of date.
const departureTTL = 10 * time.Minute

// mayReturn reports whether a server that left may be used again: its entry was written after the
// departure, and no other process is at its address, since a heartbeat that was delayed for long
// looks like a return, too.
func (f *Fleet) mayReturn(now time.Duration, server Server) bool {
	departure, ok := f.departed[server.ID]
	if !ok {
		return true
	}
	if departure.revision == 0 || server.Revision <= departure.revision {
		return false
	}
	for _, s := range f.index.byAddress[server.Address] {
		if s.ID != server.ID {
			f.recordListed(now, Departure{ID: server.ID})
			return false
		}
	}
	delete(f.departed, server.ID)
	return true
}

// Remove records that the entry of a name is missing, or no longer describes a server, as of a
// revision. Every process under that name is gone.
func (f *Fleet) Remove(now time.Duration, name string, revision history.Version) {
	for _, s := range slices.Clone(f.index.byName[name]) {
		if s.Revision <= revision {
			f.entryRemoved(now, s.ID, revision)
		}
	}
}

func (f *Fleet) entryRemoved(now time.Duration, id string, revision history.Version) {
	s := f.servers[id]
	if f.platform.mayHaveExpired(now) {
		s.missing = missingState{revision: revision, since: now}
		f.subsets.missing[id] = s
		return
	}
	f.dropServer(now, Departure{ID: id, Revision: revision})
}

func (f *Fleet) dropServer(now time.Duration, departure Departure) {
	f.deleteServer(departure.ID)
	f.recordListed(now, departure)
}

// MarkLeaving records that a server announced its own departure. Its process never returns from
// that, whatever its entry says. It reports whether that is new.
func (f *Fleet) MarkLeaving(now time.Duration, id string) bool {
	previous, known := f.departed[id]
	f.recordDeparture(now, newDeparture{Departure{ID: id}, true})
	if s, ok := f.servers[id]; ok {
		s.Draining = true
	}
	return !known || previous.revision > 0
}

// recordListed records a departure that the entries show.
func (f *Fleet) recordListed(now time.Duration, departure Departure) {
	f.recordDeparture(now, newDeparture{Departure: departure})
}

// recordDeparture records that a server leaves or has left. A departure with revision 0 stays
// final.
func (f *Fleet) recordDeparture(now time.Duration, departure newDeparture) {
	previous, ok := f.departed[departure.ID]
	if !ok {
		f.newDepartures = append(f.newDepartures, departure)
	}
	if ok && previous.revision == 0 {
		departure.Revision = 0
	}
	f.departed[departure.ID] = departureRecord{at: now, revision: departure.Revision, listed: previous.listed || !departure.announced}
}

// TakeDepartures returns the departures found since the last call that other VMs are to be told of. firstHand says
// whether this VM learnt the entries from the platform itself. Otherwise other VMs learn from the same source what
// the entries show, and only what servers announced to this VM is returned.
func (f *Fleet) TakeDepartures(firstHand bool) []Departure {
	var departures []Departure
	for _, departure := range f.newDepartures {
		if firstHand || departure.announced && !f.departed[departure.ID].listed {
			departures = append(departures, departure.Departure)
		}
	}
	f.newDepartures = nil
	return departures
}

// ApplyDeparture applies another VM's report of a departure, unless this VM has read a newer entry of the
// server.
func (f *Fleet) ApplyDeparture(now time.Duration, departure Departure) {
	beforeRestore := departure.Revision > 0 && departure.Revision.History() < f.restoreVersion.History()
	if beforeRestore {
		departure.Revision = f.restoreVersion
	}
	s, ok := f.servers[departure.ID]
	if ok && departure.Revision > 0 && s.Revision > departure.Revision {
		return
	}
	if previous, known := f.departed[departure.ID]; !known || departure.Revision == 0 || departure.Revision > previous.revision && previous.revision > 0 {
		f.departed[departure.ID] = departureRecord{at: now, revision: departure.Revision, beforeRestore: beforeRestore}
	}
	if ok {
		s.Draining = true
	}
}
