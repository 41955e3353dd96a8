package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Symptom: four of ten answers are late, and nothing says why. Cause: only requests that
// failed or were tried again have a line.
func TestALateAnswerHasACause(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		first, room, gap, write time.Duration
		sends, moves            int
		choice                  backends.Choice
		cause                   string
	}{
		"in time":                       {first: 599 * ms, gap: 299 * ms, room: 400 * ms, sends: 3, moves: 1},
		"no room":                       {first: 700 * ms, room: 310 * ms, sends: 1, cause: lateRoom},
		"some wait, but a slow server":  {first: 700 * ms, room: 200 * ms, sends: 1, cause: lateFirst},
		"no slot of the first server":   {first: 700 * ms, sends: 1, choice: backends.Choice{First: backends.Server{Slots: 192}, Taken: 192}, cause: lateSlot},
		"a slot was left":               {first: 700 * ms, sends: 1, choice: backends.Choice{First: backends.Server{Slots: 192}, Taken: 191}, cause: lateFirst},
		"a pause of the servers":        {first: 50 * ms, gap: 310 * ms, sends: 1, cause: latePause},
		"a caller that reads slowly":    {first: 50 * ms, gap: 310 * ms, write: 200 * ms, sends: 1, cause: lateCaller},
		"an attempt that failed":        {first: 50 * ms, gap: 900 * ms, sends: 2, moves: 1, cause: lateRepeat},
		"a server that died on the way": {first: 50 * ms, gap: 900 * ms, sends: 1, moves: 1, cause: lateMove},
	} {
		t.Run(name, func(t *testing.T) {
			x := &exchange{route: routes.Route{Target: 600 * ms, Gap: 300 * ms}, sends: c.sends}
			x.timing.first, x.timing.room, x.timing.gap, x.timing.write = c.first, c.room, c.gap, c.write
			x.timing.moves.Store(int32(c.moves))
			NewWithT(t).Expect(lateCause(x, c.choice)).To(Equal(c.cause))
		})
	}
}
