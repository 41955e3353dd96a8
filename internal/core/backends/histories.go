package backends

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

const (
	// defaultHeartbeatInterval is the time between two heartbeats of a server if it isn't
	// configured.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after which the entry of a server that is gone
	// has expired and all VMs know it.
	missedHeartbeats = 4
)

// SetHeartbeatInterval sets the time between two heartbeats of a server. 0 keeps the current value.
func (f *Fleet) SetHeartbeatInterval(every time.Duration) {
	if every > 0 {
		f.heartbeatInterval = every
	}
}

// noteListVersion records the version of a list. If it is the first list of a later history, the
// platform was restored from a backup: entries that are missing may be written again, and entries
// of servers that had left may be as old as the backup.
func (f *Fleet) noteListVersion(now time.Duration, listed history.Version) {
	first := f.restoreVersion == 0
	if !first && listed.History() <= f.restoreVersion.History() {
		return
	}
	f.restoreVersion = listed
	if first {
		return
	}
	f.platform = platformState{confirmedAt: now, returnedAt: now, expiriesFrom: now}
	for id, departure := range f.departed {
		if departure.revision > 0 {
			f.departed[id] = departureRecord{at: now, revision: listed, beforeRestore: true}
		}
	}
}

// mayPredateRestore reports whether an entry may be as old as the backup although the other version
// is from a former history.
func (f *Fleet) mayPredateRestore(entry, other history.Version) bool {
	return entry <= f.restoreVersion && other.History() < entry.History()
}

// reinstateAfterRestore makes servers available again whose entries are only known from the backup,
// once the entries would have expired without heartbeats.
func (f *Fleet) reinstateAfterRestore(now time.Duration) {
	for id, departure := range f.departed {
		s, ok := f.servers[id]
		if !departure.beforeRestore || !ok || s.missing.revision > 0 || f.platform.down || now < max(departure.at, f.platform.returnedAt)+missedHeartbeats*f.heartbeatInterval {
			continue
		}
		if len(f.index.byAddress[s.Address]) > 1 {
			continue
		}
		delete(f.departed, id)
		s.Draining = false
	}
}
