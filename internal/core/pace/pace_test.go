package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/pace"
)

// Guards against a limit that doesn't follow from the figures of the configuration: 80 prompts a second
// in half of 500 ms are 20, of which this VM has a quarter.
func TestInitialLimit(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	l.SetModel(pace.Capacity{PromptsPerSecond: 80, Part: 0.25})
	for range 5 {
		g.Expect(l.Admits(0, target)).To(BeTrue())
		l.Sent(0, target)
	}
	g.Expect(l.Binding(0, target)).To(Equal(pace.Starting))
	g.Expect(l.State().Starting).To(Equal(5))
	g.Expect(l.State().StartingLimit).To(BeNumerically("~", 5))
}

// Guards against a VM that may send nothing because its part of the demand is small or unknown.
func TestLeastLimit(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	g.Expect(l.Admits(0, target)).To(BeTrue())
	l.SetModel(pace.Capacity{PromptsPerSecond: 10, Part: 0.001})
	g.Expect(l.Admits(0, target)).To(BeTrue())
	s := l.Sent(0, target)
	g.Expect(l.Admits(0, target)).To(BeFalse())
	l.Ended(ms, s)
	g.Expect(l.Admits(ms, target)).To(BeTrue())
}

// Guards against streams that are counted twice or never released, which would use up a limit for good.
func TestUsageReturnsToZero(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	begun, ended, overdue, untargeted := l.Sent(0, target), l.Sent(0, target), l.Sent(0, target), l.Sent(0, 0)
	l.Begun(ms, begun)
	l.Begun(2*ms, begun)
	l.Ended(2*ms, ended)
	l.Ended(3*ms, ended)
	l.Begun(3*ms, ended)
	g.Expect(l.State().Starting).To(Equal(1), "one of those with a target")
	g.Expect(l.State().Running).To(Equal(3))
	l.Begun(2*target, overdue)
	for _, s := range []*pace.Stream{begun, overdue, untargeted} {
		l.Ended(2*target, s)
	}
	g.Expect(l.State().Starting).To(BeZero())
	g.Expect(l.State().Running).To(BeZero())
	g.Expect(l.Admits(2*target, target)).To(BeTrue())
}

// Guards against a stalled stream that holds the only place of a small limit until its caller gives up.
func TestStalledStreamGivesUpItsPlace(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	l.SetModel(pace.Capacity{PromptsPerSecond: 4, Part: 1})
	l.Sent(0, target)
	g.Expect(l.Admits(target-ms, target)).To(BeFalse())
	g.Expect(l.Admits(target, target)).To(BeTrue())
}

// Guards against more streams than the servers can generate tokens for in time: the gaps of all of them
// become late.
func TestLateGapsLimitRunningStreams(t *testing.T) {
	const gapTarget = 100 * ms
	g := NewWithT(t)
	l := &pace.Limiter{}
	l.SetModel(pace.Capacity{PromptsPerSecond: 1000, Part: 1})
	var streams []*pace.Stream
	for range 20 {
		s := l.Sent(0, target)
		l.Begun(50*ms, s)
		streams = append(streams, s)
	}
	g.Expect(l.State().RunningLimit).To(BeZero(), "none before a gap is late")
	observe := func(now, gap time.Duration) {
		for _, s := range streams {
			l.ObserveGap(now, s, gap, gapTarget)
		}
	}
	observe(time.Second, 50*ms)
	g.Expect(l.Admits(time.Second, target)).To(BeTrue())
	observe(2*time.Second, 300*ms)
	g.Expect(l.Binding(2*time.Second, target)).To(Equal(pace.Running))
	g.Expect(l.State().Lowered).To(Equal(pace.Running))
	g.Expect(l.State().RunningLimit).To(BeNumerically("~", 13, 1), "two thirds of 20")
	lowered := l.State().RunningLimit
	for now := 3 * time.Second; now < 5*time.Second; now += 250 * ms {
		l.Admits(now, target)
		observe(now, 30*ms)
	}
	g.Expect(l.State().RunningLimit).To(BeNumerically(">", lowered+5), "grows again while gaps are short")
}

// Guards against limits that change although they don't hold anything back: a late first event on an idle
// VM would limit the next burst.
func TestUnusedLimitStays(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	l.SetModel(pace.Capacity{PromptsPerSecond: 80, Part: 1})
	for now := time.Duration(0); now < 10*time.Second; now += 500 * ms {
		g.Expect(l.Admits(now, target)).To(BeTrue())
		s := l.Sent(now, target)
		l.Begun(now+400*ms, s)
		l.Ended(now+450*ms, s)
	}
	g.Expect(l.State().StartingLimit).To(BeNumerically("~", 20))
}

// Guards against a limit that doesn't fall any more after few streams: observations are forgotten after
// two seconds, and each further one was forgotten as well.
func TestLimitFallsAfterAQuietTime(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	l.SetModel(pace.Capacity{PromptsPerSecond: 80, Part: 1})
	quiet := l.Sent(0, target)
	l.Begun(50*ms, quiet)
	for now := 10 * time.Second; now < 12*time.Second; now += 10 * ms {
		if l.Admits(now, target) {
			l.Sent(now, target)
		}
	}
	g.Expect(l.State().Decreases).To(BeNumerically(">", 0))
	g.Expect(l.State().StartingLimit).To(BeNumerically("<", 16))
}

// Guards against a set point below what idle servers take, at which the limit would fall to its minimum.
func TestSlowServersWithoutLoadKeepTheLimit(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	l.SetModel(pace.Capacity{PromptsPerSecond: 16, Part: 1, Unloaded: 300 * ms})
	for now := time.Duration(0); now < 10*time.Second; now += 350 * ms {
		var streams []*pace.Stream
		for l.Admits(now, target) && len(streams) < 4 {
			streams = append(streams, l.Sent(now, target))
		}
		g.Expect(streams).To(HaveLen(4))
		for _, s := range streams {
			l.Begun(now+320*ms, s)
			l.Ended(now+340*ms, s)
		}
	}
}

// Guards against a forecast that doesn't follow the limits.
func TestRate(t *testing.T) {
	g := NewWithT(t)
	l := &pace.Limiter{}
	g.Expect(l.Rate(0)).To(BeZero())
	l.SetModel(pace.Capacity{PromptsPerSecond: 80, Part: 0.25})
	g.Expect(l.Rate(0)).To(BeNumerically("~", 20))
	g.Expect(l.LatestStart(target)).To(Equal(target), "unknown before the first event")
	g.Expect(l.Admits(0, target)).To(BeTrue())
	s := l.Sent(0, target)
	l.Begun(100*ms, s)
	g.Expect(l.Rate(100*ms)).To(BeNumerically("~", 10*l.State().StartingLimit), "as many at a time for 100 ms")
	g.Expect(l.State().StartingLimit).To(BeNumerically("~", 5.5, 0.5))
	g.Expect(l.LatestStart(target)).To(Equal(300 * ms))
}
