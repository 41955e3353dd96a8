package backpressure

import "time"

// Pauses are the servers that want no requests of this VM for a time, by ID. An ID is of one
// process of a server, so a pause ends with the process that asked for it.
type Pauses struct{ servers map[string]*paused }

// paused is a server that asked for a pause.
type paused struct{ until time.Duration }

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

// Until is from when on a server may get requests; 0 where it asked for no pause.
func (p *Pauses) Until(id string) time.Duration {
	if known, ok := p.servers[id]; ok {
		return known.until
	}
	return 0
}
