package promise_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/promise"
)

// play counts starts at a rate for a span and returns the time after it.
func play(m *promise.Meter, now, span time.Duration, perSecond int) time.Duration {
	for end := now + span; now < end; now += time.Second / time.Duration(perSecond) {
		m.Started(now, 0)
	}
	return now
}

// Guards against refusing requests since a service with little load starts few: only while others
// wait do the starts show what its servers can do.
func TestRateIsCertainOnlyAfterRequestsWaited(t *testing.T) {
	g := NewWithT(t)
	var m promise.Meter
	g.Expect(m.Rate(t0, 0)).To(Equal(promise.Rate{PerSecond: 1, Upper: 1, Certain: false}))
	now := play(&m, t0, 2*time.Second, 5)
	rate := m.Rate(now, 0)
	g.Expect(rate.Certain).To(BeFalse())
	g.Expect(rate.PerSecond).To(BeNumerically("~", 5, 0.6), "the recent starts")

	m.SetWaiting(now, true)
	now = play(&m, now, 250*ms, 40)
	g.Expect(m.Rate(now, 0).Certain).To(BeFalse())
	now = play(&m, now, 750*ms, 40)
	rate = m.Rate(now, 0)
	g.Expect(rate.Certain).To(BeTrue())
	g.Expect(rate.PerSecond).To(BeNumerically("~", 40, 2), "without the starts before")
	g.Expect(rate.Upper).To(BeNumerically(">", rate.PerSecond))

	m.SetWaiting(now, false)
	now = play(&m, now, time.Second, 5)
	g.Expect(m.Rate(now, 0).PerSecond).To(BeNumerically("~", 40, 2), "without the starts since")
	g.Expect(m.Rate(now+2*time.Second, 0).Certain).To(BeFalse())
}

// Guards against a service whose servers hang for a moment and which then refuses everything.
func TestRateIsAtLeastOnePerSecond(t *testing.T) {
	g := NewWithT(t)
	var m promise.Meter
	m.SetWaiting(t0, true)
	g.Expect(m.Rate(t0+10*time.Second, 0)).To(Equal(promise.Rate{PerSecond: 1, Upper: 1, Certain: true}))
	m.SetWaiting(t0, false) // a time before the last one changes nothing
	g.Expect(m.Rate(t0+10*time.Second, 0).Certain).To(BeTrue())
}

// Guards against promises to less urgent callers of starts that more urgent ones take.
func TestLessUrgentRequestsGetTheRateThatMoreUrgentOnesLeave(t *testing.T) {
	g := NewWithT(t)
	var m promise.Meter
	m.SetWaiting(t0, true)
	now := t0
	for i := range 40 {
		m.Started(now, i%4/3) // three of four are urgent
		now += 50 * ms
	}
	g.Expect(m.Rate(now, 0).PerSecond).To(BeNumerically("~", 20, 1))
	g.Expect(m.Rate(now, 1).PerSecond).To(BeNumerically("~", 5, 0.5))
	g.Expect(m.Rate(now, 2).PerSecond).To(BeZero())
	g.Expect(m.Rate(now, 100).PerSecond).To(BeZero())

	c := promise.New()
	_, ok := c.Promise(now, llm, refused(1), m.Rate(now, 2).PerSecond, 0.5)
	g.Expect(ok).To(BeFalse())
	g.Expect(c.Forecast(now, llm, 1, 0)).To(BeNumerically(">", now+time.Hour))
}
