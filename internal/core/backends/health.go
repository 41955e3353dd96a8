package backends

import (
	"math"
	"time"
)

// Limits for the pace that servers report.
const (
	// paceTTL is how long a pace is valid after the server was asked. Slow servers are asked again
	// every second.
	paceTTL = 3 * time.Second
	// minSlowPace is the pace from which on a server counts as slow.
	minSlowPace = 1.3
)

// MarkUnresponsive records that another server gets no response from this one. For a span, placement treats it
// as holding no layers.
func (f *Fleet) MarkUnresponsive(now time.Duration, id string, span time.Duration) {
	if s, ok := f.servers[id]; ok {
		s.unresponsiveUntil = max(s.unresponsiveUntil, now+span)
	}
}

// unresponsiveTTL is how long a server that stopped responding stays unresponsive while its entry
// is missing. It is longer than most outages of the platform.
const unresponsiveTTL = 15 * time.Second

// IsUnresponsive reports whether a server counts as lost: other servers get no response from it, or got
// none before the platform outage in which its entry expired. Most entries that expire in an outage
// come back, but there is no reason to expect that of this one.
func (f *Fleet) IsUnresponsive(now time.Duration, id string) bool {
	s, ok := f.servers[id]
	if !ok {
		return false
	}
	return now < s.unresponsiveUntil || (s.missing.revision > 0 && s.unresponsiveUntil > 0 && now < s.unresponsiveUntil+unresponsiveTTL)
}

// SetPace records the pace that a server reported to this VM: how many times as long as usual it
// takes.
func (f *Fleet) SetPace(now time.Duration, id string, pace float64) {
	if s, ok := f.servers[id]; ok {
		s.sharePace = pace >= minSlowPace || s.pace >= minSlowPace
		s.pace, s.paceUpdatedAt, s.paceReportedAt = pace, now, now
		if s.sharePace {
			f.subsets.paced[id] = s
		}
		f.noteSlow(s)
	}
}

// SetRemotePace records the pace of a server that another VM reported.
func (f *Fleet) SetRemotePace(now time.Duration, id string, pace float64) {
	if s, ok := f.servers[id]; ok {
		s.pace, s.paceUpdatedAt = pace, now
		f.noteSlow(s)
	}
}

func (f *Fleet) noteSlow(s *serverState) {
	if s.pace >= minSlowPace {
		f.subsets.slow[s.ID] = s
	}
}

// PaceAge returns the time since a server's pace was learnt.
func (f *Fleet) PaceAge(now time.Duration, id string) time.Duration {
	s, ok := f.servers[id]
	if !ok || s.paceUpdatedAt == 0 {
		return math.MaxInt64
	}
	return now - s.paceUpdatedAt
}

// currentPace returns the pace, or 1 if it is unknown or out of date.
func (s *serverState) currentPace(now time.Duration) float64 {
	if s.paceUpdatedAt == 0 || now > s.paceUpdatedAt+paceTTL {
		return 1
	}
	return max(s.pace, 1)
}

// SlowServers returns the servers that were slow when last asked, if that is longer ago than age, without
// those that asked for a pause.
func (f *Fleet) SlowServers(now, age time.Duration) []Server {
	var slow []Server
	for id, s := range f.subsets.slow {
		switch {
		case s.currentPace(now) < minSlowPace:
			delete(f.subsets.slow, id)
		case now > s.paceUpdatedAt+age && !f.pauses.Active(now, id):
			slow = append(slow, s.Server)
		}
	}
	return slow
}

// PacesToPublish returns the paces of slow or formerly slow servers that were reported to this VM within a
// span, to be published to the other VMs. Paces learnt from other VMs are not forwarded: a report
// that circulates would keep a server slow for ever.
func (f *Fleet) PacesToPublish(now, span time.Duration) map[string]float64 {
	paces := make(map[string]float64)
	for id, s := range f.subsets.paced {
		if s.sharePace && now < s.paceReportedAt+span {
			paces[id] = s.pace
		} else {
			delete(f.subsets.paced, id)
		}
	}
	return paces
}

// Pace returns how many times as long as usual a server takes, or 1 if that is unknown.
func (f *Fleet) Pace(now time.Duration, id string) float64 {
	if s, ok := f.servers[id]; ok {
		return s.currentPace(now)
	}
	return 1
}
