package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestAnEventIsOverdueByTheStreamsOwnCadence(t *testing.T) {
	g := NewWithT(t)
	const ms = time.Millisecond
	var regular, uneven cadence
	for range 3 {
		regular.note(50 * ms)
	}
	_, known := regular.overdue()
	g.Expect(known).To(BeFalse(), "three events are too few")
	for range 40 {
		regular.note(50 * ms)
		uneven.note(20 * ms)
		uneven.note(80 * ms)
	}
	after, known := regular.overdue()
	g.Expect(known).To(BeTrue())
	g.Expect(after).To(BeNumerically("<", 60*ms))
	after, _ = uneven.overdue()
	g.Expect(after).To(BeNumerically(">", 140*ms), "a longer pause is usual there")
}
