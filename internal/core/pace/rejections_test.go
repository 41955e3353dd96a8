package pace_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/pace"
)

// Guards against VMs that go on sending streams to servers that reject many of them for lack of memory:
// more than half of all attempts were rejected.
func TestRejectionsLowerTheRunningLimit(t *testing.T) {
	g := NewWithT(t)
	l := new(pace.Limiter)
	l.SetModel(pace.Capacity{PromptsPerSecond: 1e6, Part: 1}) // the starting limit doesn't bind
	const target = 500 * time.Millisecond
	now := time.Second
	var streams []*pace.Stream
	for range 100 {
		streams = append(streams, l.Sent(now, target))
	}
	for range 4 {
		l.Rejected(now)
	}
	g.Expect(l.Admits(now, target)).To(BeTrue(), "4 in 100 are tolerated")
	for range 2 {
		l.Rejected(now)
	}
	g.Expect(l.State().RunningLimit).To(BeNumerically("~", 85, 1))
	g.Expect(l.Binding(now, target)).To(Equal(pace.Running))
	for range 20 {
		l.Rejected(now)
	}
	g.Expect(l.State().RunningLimit).To(BeNumerically("~", 85, 1), "once in a window")

	for range 20 { // room for streams
		l.Ended(now, streams[0])
		streams = streams[1:]
	}
	for range 20 {
		now += 100 * time.Millisecond
		for l.Admits(now, target) {
			streams = append(streams, l.Sent(now, target))
		}
		l.ObserveGap(now, streams[0], 40*time.Millisecond, 250*time.Millisecond)
	}
	g.Expect(l.State().RunningLimit).To(BeNumerically(">", 100), "it grows again within seconds")
	g.Expect(l.State().RunningLimit).To(BeNumerically("<", 200), "but not at once")
}

// Guards against a single rejection, as after the loss of a server, holding back other streams.
func TestFewRejectionsLeaveTheLimitAlone(t *testing.T) {
	g := NewWithT(t)
	l := new(pace.Limiter)
	for i := range 10 {
		l.Sent(time.Duration(i)*100*time.Millisecond, 500*time.Millisecond)
	}
	l.Rejected(time.Second)
	l.Rejected(time.Second)
	g.Expect(l.State().RunningLimit).To(BeZero())
}
