package backends

import (
	"math"
	"time"
)

// The figures of what is seen of servers.
const (
	// paceKept is how long a pace counts after the server was asked: slow servers are
	// asked again every second.
	paceKept = 3 * time.Second
	// slowFrom is the pace from which on a server counts as slow.
	slowFrom = 1.3
)

// Dark says that another server waits for this one in vain. For a span it holds no
// layers as far as placement is concerned.
func (f *Fleet) Dark(now time.Duration, id string, span time.Duration) {
	if k, ok := f.servers[id]; ok {
		k.darkUntil = max(k.darkUntil, now+span)
	}
}

// doubtKept is how long a server that fell silent is in doubt while its entry is
// missing: longer than most outages of the platform.
const doubtKept = 15 * time.Second

// IsDark tells whether a server counts as lost: others wait for it in vain, or did so
// before the platform's outage in which its entry lapsed. Of the entries that lapse in
// an outage most come back; this one has no reason to.
func (f *Fleet) IsDark(now time.Duration, id string) bool {
	k, ok := f.servers[id]
	if !ok {
		return false
	}
	return now < k.darkUntil || (k.missing > 0 && k.darkUntil > 0 && now < k.darkUntil+doubtKept)
}

// Paced notes how many times as long as usual a server takes, by its own word to this
// VM.
func (f *Fleet) Paced(now time.Duration, id string, pace float64) {
	if k, ok := f.servers[id]; ok {
		k.paceNews = pace >= slowFrom || k.pace >= slowFrom
		k.pace, k.pacedAt, k.askedAt = pace, now, now
	}
}

// HeardPace notes the same by another VM's word.
func (f *Fleet) HeardPace(now time.Duration, id string, pace float64) {
	if k, ok := f.servers[id]; ok {
		k.pace, k.pacedAt = pace, now
	}
}

// PaceAge is how long ago a server's pace was learnt.
func (f *Fleet) PaceAge(now time.Duration, id string) time.Duration {
	k, ok := f.servers[id]
	if !ok || k.pacedAt == 0 {
		return math.MaxInt64
	}
	return now - k.pacedAt
}

// paceAt is how many times as long as usual a server takes now, 1 when nothing is
// known of it.
func (k *known) paceAt(now time.Duration) float64 {
	if k.pacedAt == 0 || now > k.pacedAt+paceKept {
		return 1
	}
	return max(k.pace, 1)
}

// Slow lists the servers that were slow when last asked, longer ago than age, those that asked
// for a pause left out.
func (f *Fleet) Slow(now, age time.Duration) []Server {
	var slow []Server
	for _, k := range f.servers {
		if k.paceAt(now) >= slowFrom && now > k.pacedAt+age && !f.pauses.Active(now, k.ID) {
			slow = append(slow, k.Server)
		}
	}
	return slow
}

// Paces are the paces that this VM was told within a span, of servers that are slow or
// were before: news for the other VMs. What others told it is not passed on: a word
// that goes round would keep a server slow for ever.
func (f *Fleet) Paces(now, span time.Duration) map[string]float64 {
	paces := make(map[string]float64)
	for id, k := range f.servers {
		if k.paceNews && now < k.askedAt+span {
			paces[id] = k.pace
		}
	}
	return paces
}

// Pace is how many times as long as usual a server takes, 1 when nothing is known of
// it.
func (f *Fleet) Pace(now time.Duration, id string) float64 {
	if k, ok := f.servers[id]; ok {
		return k.paceAt(now)
	}
	return 1
}
