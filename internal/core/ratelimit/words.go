// Package ratelimit keeps to the request rates that backend servers set for all VMs
// together. It does no I/O and reads no clock; its methods must not be called at the same
// time.
package ratelimit

import (
	"math"
	"time"
)

// Unlimited is the rate of a server that sets none.
var Unlimited = math.Inf(1)

// Word is what a server said of its rate.
type Word struct {
	// PerSecond is the requests a second that it takes from all VMs together.
	PerSecond float64
	// At is when that held, by this VM's clock.
	At time.Duration
}

// Limited tells whether the server sets a rate.
func (w Word) Limited() bool { return !math.IsInf(w.PerSecond, 1) }

// Limits are the rates of the servers that are known.
type Limits struct {
	servers map[string]*server
}

// server is what is known of one server.
type server struct {
	word Word
}

// New makes limits that know of no server.
func New() *Limits { return &Limits{servers: make(map[string]*server)} }

// Said takes a server's own answer to a request that was sent at a moment and answered now.
// perSecond is Unlimited where the answer sets no rate. It returns whether that is news.
//
// An answer to a request that was sent before the last rate was heard may have been made
// before it, so it does not end the limit.
func (l *Limits) Said(now, sent time.Duration, id string, perSecond float64) bool {
	word := Word{PerSecond: perSecond, At: now}
	if !word.Limited() {
		word.At = sent
	}
	known, ok := l.servers[id]
	if !ok && !word.Limited() || ok && word.At < known.word.At {
		return false
	}
	return l.take(id, word)
}

func (l *Limits) take(id string, word Word) (news bool) {
	known, ok := l.servers[id]
	if !ok {
		known = &server{word: Word{PerSecond: Unlimited}}
		l.servers[id] = known
	}
	news = known.word.PerSecond != word.PerSecond
	known.word = word
	return news
}

// Forget drops a server that is gone.
func (l *Limits) Forget(id string) { delete(l.servers, id) }

// Word is what is known of a server's rate.
func (l *Limits) Word(id string) Word {
	if known, ok := l.servers[id]; ok {
		return known.word
	}
	return Word{PerSecond: Unlimited}
}
