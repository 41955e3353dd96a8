package edge

import (
	"time"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// missingEntryLog logs the servers that are used although their entries are missing. The zero value knows
// of none.
type missingEntryLog struct {
	// since is when each of them was first seen.
	since map[string]time.Duration
}

// update logs what changed since the last call.
func (m *missingEntryLog) update(log logr.Logger, now time.Duration, fleet *backends.Fleet) {
	missing := fleet.MissingEntries(now)
	if len(missing) == 0 && len(m.since) == 0 {
		return
	}
	since := make(map[string]time.Duration, len(missing))
	for _, entry := range missing {
		at, known := m.since[entry.ID]
		if !known {
			at = now
			telemetry.EntryMissing.Log(log, "server", entry.ID, "revision", entry.Revision.String(), "forMs", entry.Left.Milliseconds())
		}
		since[entry.ID] = at
	}
	for id, at := range m.since {
		if _, still := since[id]; still {
			continue
		}
		outcome := "removed"
		if server, ok := fleet.Server(id); ok && !server.Draining {
			outcome = "returned"
		}
		telemetry.EntryDecided.Log(log, "server", id, "outcome", outcome, "afterMs", (now - at).Milliseconds())
	}
	m.since = since
}
