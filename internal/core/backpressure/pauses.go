package backpressure

import (
	"slices"
	"time"
)

const (
	// trialEvery is the time between two requests to a server whose pause is over, until it
	// takes one: all that waited for the end would come at once.
	trialEvery = 200 * time.Millisecond
	// pauseKept is how long a pause is remembered after its end while no request tries the
	// server.
	pauseKept = time.Minute
)

// Pauses are the servers that want no requests of this VM for a time, by ID. An ID is of one
// process of a server, so a pause ends with the process that asked for it.
type Pauses struct{ servers map[string]*paused }

// paused is a server that asked for a pause and has taken no request since.
type paused struct {
	// until is the end of the pause, and trial when the next request may try the server.
	until, trial time.Duration
}

// NewPauses makes pauses of no server.
func NewPauses() *Pauses { return &Pauses{servers: make(map[string]*paused)} }

// Ask takes a server's word that it wants no requests for a span from now on. A shorter one
// doesn't end what it asked for before. It returns whether that is news.
func (p *Pauses) Ask(now time.Duration, id string, span time.Duration) bool {
	known, ok := p.servers[id]
	if !ok {
		known = &paused{}
		p.servers[id] = known
	}
	news := now >= known.until
	known.until = max(known.until, now+span)
	return news
}

// Active tells whether a server wants no requests now.
func (p *Pauses) Active(now time.Duration, id string) bool {
	known, ok := p.servers[id]
	return ok && now < known.until
}

// Until is from when on a server may get the next request; 0 where it may get any.
func (p *Pauses) Until(id string) time.Duration {
	if known, ok := p.servers[id]; ok {
		return max(known.until, known.trial)
	}
	return 0
}

// Sent counts a request that is sent to a server.
func (p *Pauses) Sent(now time.Duration, id string) {
	if known, ok := p.servers[id]; ok && now >= known.until {
		known.trial = now + trialEvery
	}
}

// Took says that a server runs a request that was sent to it at a moment. One that was sent
// before its pause ended says nothing of now.
func (p *Pauses) Took(now, sent time.Duration, id string) {
	if known, ok := p.servers[id]; ok && now >= known.until && sent >= known.until {
		delete(p.servers, id)
	}
}

// Ends are the moments after now at which a server that is of interest may get a request, in
// order.
func (p *Pauses) Ends(now time.Duration, of func(id string) bool) []time.Duration {
	var ends []time.Duration
	for id := range p.servers {
		if until := p.Until(id); until > now && of(id) {
			ends = append(ends, until)
		}
	}
	slices.Sort(ends)
	return slices.Compact(ends)
}

// Tidy forgets the pauses that ended long ago.
func (p *Pauses) Tidy(now time.Duration) {
	for id, known := range p.servers {
		if now > known.until+pauseKept {
			delete(p.servers, id)
		}
	}
}
