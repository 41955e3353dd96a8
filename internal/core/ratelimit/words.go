// Package ratelimit keeps to the request rates that backend servers set for all VMs
// together. VMs tell one another the rates that they hear of; which of them send to a
// limited server, and how much, each finds by itself from who lives. The package does no I/O
// and reads no clock; its methods must not be called at the same time.
package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Unlimited is the rate of a server that sets none.
var Unlimited = math.Inf(1)

// endTold is how long VMs are told that a server sets no rate any more.
const endTold = 5 * time.Second

// Word is what a server said of its rate.
type Word struct {
	// PerSecond is the requests a second that it takes from all VMs together.
	PerSecond float64
	// At is when that held, by this VM's clock.
	At time.Duration
}

// Limited tells whether the server sets a rate.
func (w Word) Limited() bool { return !math.IsInf(w.PerSecond, 1) }

// Limits are the rates of the servers that set one, and this VM's shares of them.
type Limits struct {
	servers map[string]*server
	// self is this VM, and vms are all that live. Without them limited servers get nothing.
	self string
	vms  []lease.VM
}

// server is what is known of one server.
type server struct {
	word       Word
	dataCentre string
	// endTold is until when others are told that the limit has ended.
	endTold time.Duration
	// share is this VM's part of the rate. bucket is nil where it is 0.
	share  float64
	bucket *rate.Limiter
}

// New makes limits that know of no server and of no VM.
func New() *Limits { return &Limits{servers: make(map[string]*server)} }

// Said takes a server's own answer to a request that was sent at a moment and answered now.
// perSecond is Unlimited where the answer sets no rate. It returns whether that is news.
//
// An answer to a request that was sent before the last rate was heard may have been made
// before it, so it does not end the limit.
func (l *Limits) Said(now, sent time.Duration, id, dataCentre string, perSecond float64) bool {
	word := Word{PerSecond: perSecond, At: now}
	if !word.Limited() {
		word.At = sent
	}
	return l.take(now, id, dataCentre, word)
}

// Heard takes another VM's word. A VM that has an older one than this is told again.
func (l *Limits) Heard(now time.Duration, id, dataCentre string, word Word) {
	if known, ok := l.servers[id]; ok && word.At < known.word.At && word.Limited() && !known.word.Limited() {
		known.endTold = now + endTold
		return
	}
	l.take(now, id, dataCentre, word)
}

func (l *Limits) take(now time.Duration, id, dataCentre string, word Word) (news bool) {
	known, ok := l.servers[id]
	switch {
	case !ok && !word.Limited():
		return false
	case !ok:
		known = &server{word: Word{PerSecond: Unlimited}, dataCentre: dataCentre}
		l.servers[id] = known
	case word.At < known.word.At:
		return false
	}
	news = known.word.PerSecond != word.PerSecond
	known.word = word
	if news && !word.Limited() {
		known.endTold = now + endTold
	}
	if news {
		l.divide(now, id, known)
	}
	return news
}

// Forget drops a server that is gone.
func (l *Limits) Forget(id string) { delete(l.servers, id) }

// Words are the rates and the ends of limits that other VMs are to be told.
func (l *Limits) Words(now time.Duration) map[string]Word {
	words := make(map[string]Word)
	for id, known := range l.servers {
		if known.word.Limited() || now < known.endTold {
			words[id] = known.word
		}
	}
	return words
}

// Word is what is known of a server's rate.
func (l *Limits) Word(id string) Word {
	if known, ok := l.servers[id]; ok {
		return known.word
	}
	return Word{PerSecond: Unlimited}
}
