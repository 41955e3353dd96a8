package backpressure

import (
	"slices"
	"time"
)

const (
	// probeInterval is the time between two requests to a server whose pause has ended, until it
	// accepts one: otherwise all requests that waited for the end would arrive at once.
	probeInterval = 200 * time.Millisecond
	// pauseRetention is how long a pause is kept after its end if no request probes the server.
	pauseRetention = time.Minute
)

// Pauses tracks, by ID, the servers that have asked this VM to send no requests for some time.
// An ID belongs to one process of a server, so a pause ends with the process that asked for it.
type Pauses struct{ servers map[string]*pauseState }

// pauseState is a server that asked for a pause and has accepted no request since.
type pauseState struct {
	// until is the end of the pause, and nextProbe when the next request may probe the server.
	until, nextProbe time.Duration
}

// NewPauses returns an empty set of pauses.
func NewPauses() *Pauses { return &Pauses{servers: make(map[string]*pauseState)} }

// RequestPause records that a server wants no requests for the given time from now on. It never shortens
// an earlier pause. It reports whether the server was not paused before.
func (p *Pauses) RequestPause(now time.Duration, id string, span time.Duration) bool {
	known, ok := p.servers[id]
	if !ok {
		known = &pauseState{}
		p.servers[id] = known
	}
	started := now >= known.until
	known.until = max(known.until, now+span)
	return started
}

// Active reports whether a server is paused now.
func (p *Pauses) Active(now time.Duration, id string) bool {
	known, ok := p.servers[id]
	return ok && now < known.until
}

// NextSend returns the time from which a server may get the next request, or 0 if there is no
// restriction.
func (p *Pauses) NextSend(id string) time.Duration {
	if known, ok := p.servers[id]; ok {
		return max(known.until, known.nextProbe)
	}
	return 0
}

// RecordSent records that a request was sent to a server.
func (p *Pauses) RecordSent(now time.Duration, id string) {
	if known, ok := p.servers[id]; ok && now >= known.until {
		known.nextProbe = now + probeInterval
	}
}

// RecordAccepted records that a server accepted a request that was sent at the given time. Requests sent
// before the end of the pause are ignored: they say nothing about the present.
func (p *Pauses) RecordAccepted(now, sent time.Duration, id string) {
	if known, ok := p.servers[id]; ok && now >= known.until && sent >= known.until {
		delete(p.servers, id)
	}
}

// SendTimes returns the times after now, sorted, at which one of the servers selected by match may
// get a request.
func (p *Pauses) SendTimes(now time.Duration, match func(id string) bool) []time.Duration {
	var ends []time.Duration
	for id := range p.servers {
		if until := p.NextSend(id); until > now && match(id) {
			ends = append(ends, until)
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// RemoveExpired removes pauses that ended more than pauseRetention ago.
func (p *Pauses) RemoveExpired(now time.Duration) {
	for id, known := range p.servers {
		if now > known.until+pauseRetention {
			delete(p.servers, id)
		}
	}
}
