package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Guards against late responses without a logged cause: four of ten were late, and only
// requests that failed or were retried had a log line.
func TestLateResponseHasACause(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		firstEvent, capacityWait, gap, write time.Duration
		sends, moves                         int
		choice                               backends.Choice
		cause                                string
	}{
		"in time":                       {firstEvent: 599 * ms, gap: 299 * ms, capacityWait: 400 * ms, sends: 3, moves: 1},
		"no capacity":                   {firstEvent: 700 * ms, capacityWait: 310 * ms, sends: 1, cause: lateCapacity},
		"short wait, but a slow server": {firstEvent: 700 * ms, capacityWait: 200 * ms, sends: 1, cause: lateFirstEvent},
		"no free slot":                  {firstEvent: 700 * ms, sends: 1, choice: backends.Choice{First: backends.Server{Slots: 192}, RequestsOnFirst: 192}, cause: lateSlot},
		"one free slot":                 {firstEvent: 700 * ms, sends: 1, choice: backends.Choice{First: backends.Server{Slots: 192}, RequestsOnFirst: 191}, cause: lateFirstEvent},
		"a gap between events":          {firstEvent: 50 * ms, gap: 310 * ms, sends: 1, cause: lateGap},
		"a slow caller":                 {firstEvent: 50 * ms, gap: 310 * ms, write: 200 * ms, sends: 1, cause: lateCaller},
		"a failed attempt":              {firstEvent: 50 * ms, gap: 900 * ms, sends: 2, moves: 1, cause: lateRetry},
		"a move off a failed server":    {firstEvent: 50 * ms, gap: 900 * ms, sends: 1, moves: 1, cause: lateMove},
	} {
		t.Run(name, func(t *testing.T) {
			x := &exchange{route: routes.Route{TargetLatency: 600 * ms, TargetGap: 300 * ms}, attemptHistory: attemptHistory{sends: c.sends}}
			x.timing.firstEvent, x.timing.capacityWait, x.timing.longestGap, x.timing.longestWrite = c.firstEvent, c.capacityWait, c.gap, c.write
			x.timing.moves = c.moves
			NewWithT(t).Expect(lateCause(x, c.choice)).To(Equal(c.cause))
		})
	}
}
