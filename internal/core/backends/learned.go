package backends

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// A server rejects requests for lack of memory before this VM expects it if responses get longer than
// estimated or other VMs' requests aren't known yet. Then less of its memory counts as usable.
const (
	// minExplained is the fraction of a server's memory that must be in use, as far as this VM knows,
	// for a rejection to be explained by it. Below, something unknown holds the memory.
	minExplained = 0.5
	// learnedDecrease is the factor by which the usable fraction falls below the one in use at a
	// rejection, and learnedRecovery by how much it rises again per second.
	learnedDecrease = 0.95
	learnedRecovery = 0.05
	// explainedFullTime is how long a server counts as full after a rejection that is explained: with
	// less usable memory it gets no more than it can hold, and a request ends there every few
	// milliseconds.
	explainedFullTime = 50 * time.Millisecond
)

// learnedLimit is the fraction of a server's memory that may be reserved, as learned at the given time
// from rejections. The zero value allows overcommitFactor.
type learnedLimit struct {
	fraction float64
	at       time.Duration
}

func (l learnedLimit) usable(now time.Duration) float64 {
	if l.fraction == 0 {
		return overcommitFactor
	}
	return min(l.fraction+learnedRecovery*(now-l.at).Seconds(), overcommitFactor)
}

// RecordNoMemory records that a server rejected a request for lack of memory, as MarkFull does. If the
// known usage explains it, the server counts as full for a moment only, and less of its memory counts as
// usable from now on.
func (f *Fleet) RecordNoMemory(now time.Duration, id string, engine *routes.Engine) {
	used := f.MemoryUtilisation(engine, id)
	if used < minExplained {
		f.MarkFull(now, id)
		return
	}
	s := f.servers[id]
	s.learned = learnedLimit{fraction: max(learnedDecrease*min(used, s.learned.usable(now)), minExplained), at: now}
	s.fullUntil = max(s.fullUntil, now+explainedFullTime)
}
