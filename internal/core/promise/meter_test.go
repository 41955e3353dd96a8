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
		m.Started(now)
	}
	return now
}

// Guards against refusing requests since a service with little load starts few: only while others
// wait do the starts show what its servers can do.
func TestRateIsCertainOnlyAfterRequestsWaited(t *testing.T) {
	g := NewWithT(t)
	var m promise.Meter
	g.Expect(m.Rate(t0)).To(Equal(promise.Rate{PerSecond: 1, Upper: 1, Certain: false}))
	now := play(&m, t0, 2*time.Second, 5)
	rate := m.Rate(now)
	g.Expect(rate.Certain).To(BeFalse())
	g.Expect(rate.PerSecond).To(BeNumerically("~", 5, 0.6), "the recent starts")

	m.SetWaiting(now, true)
	now = play(&m, now, 250*ms, 40)
	g.Expect(m.Rate(now).Certain).To(BeFalse())
	now = play(&m, now, 750*ms, 40)
	rate = m.Rate(now)
	g.Expect(rate.Certain).To(BeTrue())
	g.Expect(rate.PerSecond).To(BeNumerically("~", 40, 2), "without the starts before")
	g.Expect(rate.Upper).To(BeNumerically(">", rate.PerSecond))

	m.SetWaiting(now, false)
	now = play(&m, now, time.Second, 5)
	g.Expect(m.Rate(now).PerSecond).To(BeNumerically("~", 40, 2), "without the starts since")
	g.Expect(m.Rate(now + 2*time.Second).Certain).To(BeFalse())
}

// Guards against a service whose servers hang for a moment and which then refuses everything.
func TestRateIsAtLeastOnePerSecond(t *testing.T) {
	g := NewWithT(t)
	var m promise.Meter
	m.SetWaiting(t0, true)
	g.Expect(m.Rate(t0 + 10*time.Second)).To(Equal(promise.Rate{PerSecond: 1, Upper: 1, Certain: true}))
	m.SetWaiting(t0, false) // a time before the last one changes nothing
	g.Expect(m.Rate(t0 + 10*time.Second).Certain).To(BeTrue())
}
