package vmlimits_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/vmlimits"
)

var allLimits = vmlimits.Limits{Cores: 0.4, LinkMbps: 20, MemoryMB: 200, Descriptors: 1000}

// load is the usage of the resources as fractions of allLimits.
type load struct{ processor, link, memory, descriptors float64 }

// vm feeds a monitor with samples of a VM under a load.
type vm struct {
	*vmlimits.Monitor
	now    time.Duration
	sample vmlimits.Sample
}

func newVM(limits vmlimits.Limits) *vm {
	return &vm{Monitor: vmlimits.New(limits), now: time.Hour, sample: vmlimits.Sample{ProcessorTime: time.Minute, Forwarded: 1 << 30}}
}

// step takes one sample after a time under a load.
func (v *vm) step(after, delay time.Duration, l load) vmlimits.State {
	v.now += after
	v.sample.ProcessorTime += time.Duration(l.processor * allLimits.Cores * float64(after))
	v.sample.Forwarded += int64(l.link * allLimits.LinkMbps / 8 * 1e6 * after.Seconds())
	v.sample.MemoryMB = l.memory * allLimits.MemoryMB
	v.sample.Descriptors = int(l.descriptors * float64(allLimits.Descriptors))
	v.sample.TimerDelay = delay
	v.Observe(v.now, v.sample)
	return v.State(v.now)
}

// run takes samples in time for a time, and returns the last state.
func (v *vm) run(length time.Duration, l load) (state vmlimits.State) {
	for range length / vmlimits.SampleInterval {
		state = v.step(vmlimits.SampleInterval, time.Millisecond, l)
	}
	return state
}

// Guards against a resource at its limit that is not noticed, or taken for another.
func TestEachResourceAboveItsLimitSaturates(t *testing.T) {
	for resource, l := range map[vmlimits.Resource]load{
		vmlimits.Processor:   {processor: 0.95, link: 0.3},
		vmlimits.Link:        {link: 1, memory: 0.3},
		vmlimits.Memory:      {memory: 0.95, processor: 0.3},
		vmlimits.Descriptors: {descriptors: 0.95, link: 0.3},
	} {
		t.Run(string(resource), func(t *testing.T) {
			g := NewWithT(t)
			v := newVM(allLimits)
			g.Expect(v.run(time.Second, load{0.5, 0.5, 0.5, 0.5}).Saturated).To(BeFalse())
			state := v.run(600*time.Millisecond, l)
			g.Expect(state.Saturated).To(BeTrue())
			g.Expect(state.Resource).To(Equal(resource))
			g.Expect(state.Usage.Of(resource)).To(BeNumerically("~", 0.97, 0.04))
		})
	}
}

// Guards against refusals of a VM that has no limits, or none of the resource that is used.
func TestResourceWithoutLimitIsNeverSaturated(t *testing.T) {
	g := NewWithT(t)
	g.Expect(vmlimits.Limits{}.Any()).To(BeFalse())
	g.Expect(newVM(vmlimits.Limits{}).run(5*time.Second, load{9, 9, 9, 9})).To(Equal(vmlimits.State{Usage: vmlimits.Usage{TimerDelay: time.Millisecond}}))
	g.Expect(newVM(vmlimits.Limits{MemoryMB: 200}).run(5*time.Second, load{9, 9, 0.5, 9}).Saturated).To(BeFalse())
}

// Guards against refusals because of a short burst, such as one garbage collection.
func TestShortBurstDoesNotSaturate(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	for range 5 {
		g.Expect(v.run(800*time.Millisecond, load{processor: 0.3}).Saturated).To(BeFalse())
		g.Expect(v.run(200*time.Millisecond, load{processor: 1}).Saturated).To(BeFalse())
	}
	v = newVM(allLimits)
	for range 20 { // a quota that is used up in the first half of each period of 200 ms
		g.Expect(v.step(100*time.Millisecond, 0, load{processor: 1.5}).Saturated).To(BeFalse())
		g.Expect(v.step(100*time.Millisecond, 0, load{processor: 0.1}).Saturated).To(BeFalse())
	}
}

// Guards against a VM that alternates between refusing and accepting while its usage is near the limit.
func TestSaturationEndsBelowThreeQuarters(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	begun := v.run(time.Second, load{link: 1})
	g.Expect(begun.Saturated).To(BeTrue())
	g.Expect(v.run(3*time.Second, load{link: 0.8})).To(And(HaveField("Saturated", true), HaveField("Since", begun.Since)))
	g.Expect(v.run(300*time.Millisecond, load{link: 0.7}).Saturated).To(BeFalse())
	g.Expect(v.run(3*time.Second, load{link: 0.85}).Saturated).To(BeFalse())
}

// Guards against a VM that leaves the balancer's rotation at once, or never.
func TestVMLeavesRotationAfterTwiceTheTime(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	for !v.run(100*time.Millisecond, load{memory: 0.95}).Saturated {
		g.Expect(v.now).To(BeNumerically("<", time.Hour+time.Second))
	}
	g.Expect(v.State(v.now).Leaves).To(BeFalse())
	g.Expect(v.run(300*time.Millisecond, load{memory: 0.95}).Leaves).To(BeFalse())
	g.Expect(v.run(100*time.Millisecond, load{memory: 0.95}).Leaves).To(BeTrue())
	g.Expect(v.run(4900*time.Millisecond, load{memory: 0.7})).To(And(HaveField("Saturated", false), HaveField("Leaves", true)))
	g.Expect(v.run(200*time.Millisecond, load{memory: 0.7}).Leaves).To(BeFalse())
}

// Guards against a backlog that builds up each time a VM accepts requests again, while the balancer
// still prefers it.
func TestRelapseSaturatesAtOnce(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	v.run(time.Second, load{processor: 1})
	for range 5 {
		g.Expect(v.run(400*time.Millisecond, load{processor: 0.1}).Saturated).To(BeFalse())
		g.Expect(v.run(200*time.Millisecond, load{processor: 1}).Saturated).To(BeTrue())
	}
	g.Expect(v.run(6*time.Second, load{processor: 0.1}).Saturated).To(BeFalse())
	g.Expect(v.run(200*time.Millisecond, load{processor: 1}).Saturated).To(BeFalse(), "long after")
}

// Guards against refusals by a process that was frozen or got no processor time: what piled up
// meanwhile is done as fast as possible afterwards.
func TestStalledProcessDoesNotRefuseWhenItRunsAgain(t *testing.T) {
	for name, stall := range map[string]time.Duration{"300 ms": 300 * time.Millisecond, "700 ms": 700 * time.Millisecond, "a minute": time.Minute} {
		for before, l := range map[string]load{"idle": {}, "saturated": {processor: 1, link: 1}} {
			t.Run(name+" "+before, func(t *testing.T) {
				g := NewWithT(t)
				v := newVM(allLimits)
				v.run(2*time.Second, l)
				v.step(stall, stall-vmlimits.SampleInterval, load{processor: 0.01})
				if stall < 350*time.Millisecond {
					v.step(stall, stallDelay, load{processor: 0.01})
				}
				for range 5 {
					g.Expect(v.State(v.now).Saturated).To(BeFalse())
					v.run(vmlimits.SampleInterval, load{processor: 1, link: 2})
				}
				g.Expect(v.run(time.Second, load{processor: 0.4}).Saturated).To(BeFalse())
				g.Expect(v.run(time.Second, load{processor: 1}).Saturated).To(BeTrue(), "a lasting load saturates")
			})
		}
	}
}

// stallDelay is a timer delay that shows a stall.
const stallDelay = 250 * time.Millisecond

// Guards against an overloaded VM that never refuses: its own work makes its timers late.
func TestLateTimersOfBusyProcessDoNotEndSaturation(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	v.run(time.Second, load{processor: 0.5})
	for range 4 {
		v.step(400*time.Millisecond, 300*time.Millisecond, load{processor: 1})
	}
	g.Expect(v.State(v.now).Saturated).To(BeTrue())
}

// Guards against refusals that last since the measurement has stopped.
func TestSaturationEndsWithoutSamples(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	g.Expect(v.State(v.now).Saturated).To(BeFalse())
	g.Expect(v.run(time.Second, load{memory: 1}).Saturated).To(BeTrue())
	g.Expect(v.State(v.now + 999*time.Millisecond).Saturated).To(BeTrue())
	g.Expect(v.State(v.now + time.Second)).To(Equal(vmlimits.State{}))
	g.Expect(v.step(5*time.Second, 0, load{memory: 1}).Saturated).To(BeFalse(), "begins anew")
	g.Expect(v.run(time.Second, load{memory: 1}).Saturated).To(BeTrue())
}

// Guards against saturation by a wrong measurement: counters that go back, unknown values, a clock that
// doesn't advance.
func TestWrongSamplesDoNotSaturate(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	v.run(time.Second, load{0.3, 0.3, 0.3, 0.3})
	wrong := vmlimits.Sample{ProcessorTime: -1, Forwarded: -1, MemoryMB: -1, Descriptors: -1}
	for _, memory := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		wrong.MemoryMB = memory
		for range 10 {
			v.now += vmlimits.SampleInterval
			v.Observe(v.now, wrong)
			g.Expect(v.State(v.now).Saturated).To(BeFalse())
		}
	}
	g.Expect(v.State(v.now).Usage).To(Equal(vmlimits.Usage{}))
	g.Expect(v.run(time.Second, load{0.3, 0.3, 0.3, 0.3}).Saturated).To(BeFalse())
	for range 10 {
		v.sample.Forwarded += 1 << 30
		v.Observe(v.now, v.sample)
		v.Observe(v.now-time.Second, v.sample)
		g.Expect(v.State(v.now).Saturated).To(BeFalse())
	}
	v.sample.ProcessorTime, v.sample.Forwarded = 0, 0
	g.Expect(v.run(time.Second, load{0.3, 0.3, 0.3, 0.3}).Saturated).To(BeFalse())
	g.Expect(v.run(time.Second, load{processor: 1}).Saturated).To(BeTrue())
}

// Guards against limits that change without a restart and have no effect.
func TestChangedLimitsApply(t *testing.T) {
	g := NewWithT(t)
	v := newVM(allLimits)
	g.Expect(v.run(time.Second, load{memory: 0.95}).Saturated).To(BeTrue())
	v.SetLimits(vmlimits.Limits{MemoryMB: 400})
	g.Expect(v.run(100*time.Millisecond, load{memory: 0.95}).Saturated).To(BeFalse())
}

// Guards against so many VMs out of rotation that the balancer uses all of them again, and against
// large VMs that leave it.
func TestOnlyTheSmallestThirdLeavesRotation(t *testing.T) {
	g := NewWithT(t)
	for vms := range 100 {
		leaving := 0
		for rank := range vms {
			if vmlimits.MayLeave(rank, vms) {
				leaving++
				g.Expect(vmlimits.MayLeave(rank+1, vms)).To(BeTrue())
			}
		}
		g.Expect(leaving).To(Equal(vms / 3))
	}
}
