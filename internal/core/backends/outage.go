package backends

import (
	"math"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Expiry of entries. Entries expire while servers can't write to the platform. According to the platform, a live
// server rewrites its entry about 2 s after the outage.
const (
	// minExpiryHeartbeats is how many heartbeat intervals an outage lasts at least before an entry expires. An
	// entry expires after three without a heartbeat, and the last heartbeat may be one and a half old when
	// the outage begins.
	minExpiryHeartbeats = 1.5
	// expiryWindow is how long after an outage the removal of an entry may be due to it: a live server writes
	// within its heartbeat interval. A later removal means that the server is gone.
	expiryWindow = 1800 * time.Millisecond
	// ExpiryGrace is how long after an outage an entry may be missing before its server counts as gone.
	ExpiryGrace = 2200 * time.Millisecond
	// defaultDepartureTime is how long a server with a missing entry may be used if it isn't configured.
	defaultDepartureTime = 1850 * time.Millisecond
)

// platformState is what this VM knows of the platform's availability.
type platformState struct {
	down bool
	// confirmedAt is when the platform last confirmed that the known entries are the newest.
	confirmedAt time.Duration
	// returnedAt is when the platform became available again after the last outage, and expiriesFrom the same
	// after the last one in which entries may have expired. 0 without an outage.
	returnedAt, expiriesFrom time.Duration
}

// SetDepartureTime sets for how long at most a server may be chosen after this VM learned that its entry is
// missing. 0 keeps the current value.
func (f *Fleet) SetDepartureTime(within time.Duration) {
	if within > 0 {
		f.departureTime = within
	}
}

// SetPlatformDown records that the platform doesn't answer this VM, nor another VM that it learns from.
func (f *Fleet) SetPlatformDown() { f.platform.down = true }

// ConfirmPlatform records that the platform confirmed at a time, to this VM or to the one that it learns from,
// that the known entries are the newest. returnedAt is when the platform became available again after the last
// outage known there; 0 without one.
func (f *Fleet) ConfirmPlatform(confirmedAt, returnedAt time.Duration) {
	p := &f.platform
	if returnedAt > max(p.returnedAt, p.confirmedAt) {
		p.returnedAt = returnedAt
		if (returnedAt - p.confirmedAt).Seconds() >= minExpiryHeartbeats*f.heartbeatInterval.Seconds() {
			p.expiriesFrom = returnedAt
		}
	}
	p.down, p.confirmedAt = false, max(p.confirmedAt, confirmedAt)
}

// mayHaveExpired reports whether an entry that is found missing now may have expired in an outage.
func (p *platformState) mayHaveExpired(now time.Duration) bool {
	return p.down || p.expiriesFrom > 0 && now < p.expiriesFrom+expiryWindow
}

// missingState is since when the entry of a server is missing, and at which revision it was found so.
type missingState struct {
	revision history.Version
	since    time.Duration
}

// usedUntil is until when a server with a missing entry may get requests.
func (f *Fleet) usedUntil(s *serverState) time.Duration {
	p := f.platform
	if p.down {
		return math.MaxInt64
	}
	return min(p.expiriesFrom+ExpiryGrace, max(s.missing.since, p.expiriesFrom)+f.departureTime)
}

// isExpired reports whether the entry of a server has been missing for too long.
func (f *Fleet) isExpired(now time.Duration, s *serverState) bool {
	return s.missing.revision > 0 && now >= f.usedUntil(s)
}

// removeExpired deletes the servers whose missing entries didn't come back in time.
func (f *Fleet) removeExpired(now time.Duration) {
	for id, s := range f.subsets.missing {
		if f.isExpired(now, s) {
			f.dropServer(now, Departure{ID: id, Revision: s.missing.revision})
		}
	}
}

// MissingEntry is a server that is used although its entry is missing.
type MissingEntry struct {
	ID string
	// Revision is the platform revision at which the entry was missing.
	Revision history.Version
	// Left is for how long the server is still used; negative while the platform is unavailable, since the
	// time then counts from its return.
	Left time.Duration
}

// MissingEntries returns the servers that are used although their entries are missing, ordered by ID.
func (f *Fleet) MissingEntries(now time.Duration) []MissingEntry {
	var list []MissingEntry
	for id, s := range f.subsets.missing {
		missing := MissingEntry{ID: id, Revision: s.missing.revision, Left: -1}
		if !f.platform.down {
			missing.Left = max(f.usedUntil(s)-now, 0)
		}
		list = append(list, missing)
	}
	slices.SortFunc(list, func(a, b MissingEntry) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// IsEntryMissing reports whether a server is used although its entry is missing.
func (f *Fleet) IsEntryMissing(id string) bool {
	_, missing := f.subsets.missing[id]
	return missing
}
