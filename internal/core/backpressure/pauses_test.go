package backpressure_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backpressure"
)

// Guards against a pause that is ended early by a shorter one or by an answer to an earlier
// request.
func TestPauseLastsAsLongAsRequested(t *testing.T) {
	g := NewWithT(t)
	p := backpressure.NewPauses()
	g.Expect(p.RequestPause(0, "s1", 3*time.Second)).To(BeTrue())
	g.Expect(p.RequestPause(time.Second, "s1", time.Second)).To(BeFalse(), "it is already paused")
	p.RecordAccepted(2*time.Second, 0, "s1")
	g.Expect(p.Active(2999*time.Millisecond, "s1")).To(BeTrue())
	g.Expect(p.NextSend("s1")).To(Equal(3 * time.Second))
	g.Expect(p.Active(3*time.Second, "s1")).To(BeFalse())
	g.Expect(p.NextSend("s2")).To(BeZero())
	g.Expect(p.RequestPause(4*time.Second, "s1", time.Second)).To(BeTrue())
	g.Expect(p.NextSend("s1")).To(Equal(5 * time.Second))
}

// Guards against sending all requests that waited for the end of a pause at once.
func TestServerIsProbedOneRequestAtATimeAfterPause(t *testing.T) {
	g := NewWithT(t)
	p := backpressure.NewPauses()
	p.RequestPause(0, "s1", time.Second)
	sent := 0
	for now := time.Duration(0); now < 2*time.Second; now += 10 * time.Millisecond {
		if p.NextSend("s1") <= now {
			p.RecordSent(now, "s1")
			sent++
		}
	}
	g.Expect(sent).To(BeNumerically("~", 5, 1))
	p.RecordAccepted(2*time.Second, 500*time.Millisecond, "s1")
	g.Expect(p.NextSend("s1")).To(BeNumerically(">", 1900*time.Millisecond), "it was sent before the end of the pause")
	p.RecordAccepted(2*time.Second, 1100*time.Millisecond, "s1")
	g.Expect(p.NextSend("s1")).To(BeZero())
}

// Guards against keeping the state of servers that no longer exist forever.
func TestExpiredPausesAreRemoved(t *testing.T) {
	g := NewWithT(t)
	p := backpressure.NewPauses()
	p.RequestPause(0, "s1", time.Second)
	p.RequestPause(0, "s2", 10*time.Minute)
	p.RemoveExpired(2 * time.Minute)
	g.Expect(p.NextSend("s1")).To(BeZero())
	g.Expect(p.SendTimes(2*time.Minute, func(string) bool { return true })).To(Equal([]time.Duration{10 * time.Minute}))
}
