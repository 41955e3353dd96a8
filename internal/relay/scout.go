package relay

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// The figures of asking a silent path's servers.
const (
	// soonestScout bounds from below the silence after which a path's servers are asked:
	// shorter ones are the VM's own doing as often as not.
	soonestScout = 80 * time.Millisecond
	// scoutTimeout is how long a server may take to answer. It answers in a millisecond or
	// two, whatever it works on.
	scoutTimeout = 60 * time.Millisecond
	// scoutAge is how old an answer may be that tells whether a server lives.
	scoutAge = 100 * time.Millisecond
	// scoutsPerSecond and scoutBurst bound the questions of one VM; each is paid for.
	scoutsPerSecond = 20
	scoutBurst      = 60
	// standstill is how late the VM's own timer may be for a silence to be the path's.
	standstill = 30 * time.Millisecond
	// witnessPart is the part of a path's servers that must answer for the others to be to
	// blame.
	witnessPart = 0.5
)

// scouts asks the servers of silent paths whether they live.
type scouts struct {
	limiter *rate.Limiter
}

func newScouts() *scouts {
	return &scouts{limiter: rate.NewLimiter(scoutsPerSecond, scoutBurst)}
}

// verdict is what was found of a path's servers.
type verdict struct {
	// lost are the servers that refuse connections or don't answer.
	lost []string
	// asked and answered count servers.
	asked, answered int
}

// scout asks a path's servers at once, and says which of them don't answer. It blames
// nobody unless most of the others do: else it is this VM's own way to them, or a whole
// data centre is cut off. Nor does it blame a silent one through which other streams flow
// meanwhile: a packet was lost.
//
// What can go wrong: a server inside a path dies. The first server says so in its report, but
// reports are made anew only several times a second, and they are asked for after a silence
// that is longer than a caller's target for a pause; so each stream that moves is late. One
// notices as many answers late by a move as streams that moved.
func (h *Handler) scout(ctx context.Context, path chain.Path) verdict {
	asks := make(map[string]*reported, len(path))
	for _, part := range path {
		if h.reports.recent(part.Address, scoutAge) || h.scouts.limiter.Allow() {
			asks[part.ID] = h.reports.ask(part.Address, scoutAge)
		}
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, scoutTimeout)
	defer cancel()
	found := verdict{asked: len(asks)}
	for id, ask := range asks {
		select {
		case <-ask.ready:
		case <-ctx.Done():
		}
		switch {
		case !ask.done():
			if !h.watches.flow(id, asked) {
				found.lost = append(found.lost, id)
			}
		case ask.err == nil:
			found.answered++
			h.Dispatcher.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Paced(now, id, ask.report.Pace) })
		case refusedConnection(ask.err):
			found.lost = append(found.lost, id)
		}
	}
	if float64(found.answered) < witnessPart*float64(found.asked) {
		found.lost = nil
	}
	return found
}

// overdue looks after a stream whose next event is overdue by its own cadence: the servers
// of its path are asked once in each silence, and the stream moves off those that don't
// answer. It returns false where that is not due.
func (w *watchdog) overdue() bool {
	w.mu.Lock()
	due := w.scoutAt
	w.scoutAt = time.Time{}
	path, heard := w.o.choice.Path, w.heard
	if !due.IsZero() && time.Since(due) >= standstill {
		// A VM that stood still finds all its streams silent; what came meanwhile is read
		// first.
		w.scoutAfter(soonestScout)
		w.mu.Unlock()
		return true
	}
	w.mu.Unlock()
	if due.IsZero() {
		return false
	}
	found := w.h.scout(w.o.ctx, path)
	if w.o.ctx.Err() != nil || w.heardSince(heard) {
		return true
	}
	w.again(max(w.h.Patience-time.Since(heard), 0))
	for _, id := range found.lost {
		telemetry.RelayScouted.Log(w.h.Log, "request", w.x.call.ID, "first", path[0].ID, "blamed", id,
			"asked", found.asked, "answered", found.answered, "silentMs", time.Since(heard).Milliseconds())
		w.h.Lost(id, false)
	}
	return true
}

// scoutAfter has the path's servers asked after a span. It must be called with the lock held.
func (w *watchdog) scoutAfter(span time.Duration) {
	w.scoutAt = time.Now().Add(span)
	w.lookAfter(span)
}

// heardSince tells whether an event came after a moment.
func (w *watchdog) heardSince(moment time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heard.After(moment)
}
