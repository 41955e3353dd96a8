package backends

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/routes"
)

const (
	// BusyFraction is the fraction of a server's memory or slots that must be in use, as far as this VM
	// knows, for a rejection to be explained by it. Below, something unknown holds the server up.
	BusyFraction = 0.5
	// explainedFullTime is how long a server counts as full after a rejection that is explained: a
	// request ends there every few milliseconds, and the VMs know its load.
	explainedFullTime = 50 * time.Millisecond
)

// RecordNoMemory records that a server rejected a request for lack of memory. If the known usage
// explains that, the server counts as full for a moment only, otherwise as after MarkFull.
func (f *Fleet) RecordNoMemory(now time.Duration, id string, engine *routes.Engine) {
	if f.MemoryUtilisation(engine, id) < BusyFraction {
		f.MarkFull(now, id)
		return
	}
	s := f.servers[id]
	s.fullUntil = max(s.fullUntil, now+explainedFullTime)
}
