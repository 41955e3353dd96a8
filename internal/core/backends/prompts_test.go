package backends_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// Guards against a capacity that counts servers although no path leads through them: the layers with the
// fewest readers bound the service.
func TestPromptCapacityIsThatOfTheScarcestLayers(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 40), server("s2", "a", "fast", 0, 40), server("s3", "a", "fast", 40, 80),
	}, 1)
	// A fast card reads 105,000/3.2 tokens a second through all layers and twice as many through half of
	// them, for which half of its time is left.
	const prompts = 105_000 / 3.2 / 800
	capacity := f.PromptCapacity(0, service())
	g.Expect(capacity.PromptsPerSecond).To(BeNumerically("~", prompts, 0.01))
	g.Expect(capacity.Part).To(BeNumerically("~", 1))
	g.Expect(capacity.Unloaded).To(BeNumerically("~", 27*time.Millisecond, 2*time.Millisecond), "800 tokens and a step")
	f.Put(0, server("s4", "a", "slow", 40, 80))
	g.Expect(f.PromptCapacity(0, service()).PromptsPerSecond).To(BeNumerically("~", prompts+105_000/8./800, 0.01))
	f.Suspect(0, "s3", time.Second)
	f.Suspect(0, "s4", time.Second)
	g.Expect(f.PromptCapacity(0, service()).PromptsPerSecond).To(BeZero())
}

// Guards against a capacity that ignores how many prompt tokens a server reads in a step.
func TestChunksBoundReading(t *testing.T) {
	g := NewWithT(t)
	engine := service().Engine
	card := routes.Card{Pace: 1, Read: 1}
	unbounded := engine.ReadRate(card, 80)
	g.Expect(unbounded).To(BeNumerically("~", 52_500))
	g.Expect(engine.ReadRate(card, 40)).To(BeNumerically("~", 105_000))
	engine.Chunk = 50 // read in 0.48 ms of a step of 1.48 ms
	g.Expect(engine.ReadRate(card, 80)).To(BeNumerically("~", 33_870, 10))
	before := engine.FirstEvent(card)
	engine.Stride = 8
	g.Expect(engine.FirstEvent(card)-before).To(Equal(8*time.Millisecond), "the pass in which it arrives")
	g.Expect(engine.ReadRate(card, 0)).To(BeZero())
}

// fill sends requests from a VM until none is admitted, and returns how many were.
func fill(f *backends.Fleet) int {
	for n := 0; ; n++ {
		choice, err := f.Path(0, service(), request())
		if err != nil {
			return n
		}
		f.AddLoad(choice.Load(request().Prompt + request().Answer))
	}
}

// newFilledVM returns a VM of several that has this part of the demand and has just published its loads.
func newFilledVM(vms int, part float64) *backends.Fleet {
	f := backends.New()
	for i := range 4 {
		f.Put(0, server(fmt.Sprintf("s%d", i), "a", "fast", i*20, i*20+20))
	}
	f.SetLiveVMs(vms)
	f.SetRemoteUsage(map[string]backends.Usage{}, vms-1)
	f.SetDemand(0, map[string]float64{"llm": part})
	return f
}

// Guards against VMs that together send more than the servers have memory for, before they know each
// other's loads: each filled the servers alone. Their parts of the demand are unequal.
func TestVMsDoNotOvercommitServersTogether(t *testing.T) {
	for _, parts := range [][]float64{{1}, {0.5, 0.5}, {0.9, 0.1}, {0.25, 0.25, 0.25, 0.25}, {0.7, 0.1, 0.1, 0.1}} {
		t.Run(fmt.Sprint(parts), func(t *testing.T) {
			g := NewWithT(t)
			alone, together := fill(newFilledVM(1, 1)), 0
			for _, part := range parts {
				together += fill(newFilledVM(len(parts), part))
			}
			t.Logf("%d requests fit, %d were admitted", alone, together)
			g.Expect(together).To(BeNumerically("<=", alone+len(parts)))
			g.Expect(together).To(BeNumerically(">=", 0.9*float64(alone)), "memory stays unused")
		})
	}
}

// Guards against the first request of each of many VMs being held back, because each expects that all
// others send one as well.
func TestTheFirstRequestOfEachVMIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	for _, part := range []float64{0, 1. / 984, 0.5} {
		f := newFilledVM(984, part)
		choice, err := f.Path(0, service(), request())
		g.Expect(err).NotTo(HaveOccurred())
		f.AddLoad(choice.Load(1000))
		f.PublishUsage()
		f.PublishUsage() // the others publish between this VM's rounds
		_, err = f.Path(0, service(), request())
		g.Expect(err).NotTo(HaveOccurred(), "published loads are known to the others")
	}
}

// Guards against a small deployment that leaves memory unused although each VM knows the loads of the
// others.
func TestUpToDateLoadsFillTheServers(t *testing.T) {
	g := NewWithT(t)
	alone := fill(newFilledVM(1, 1))
	vms := []*backends.Fleet{newFilledVM(3, 1./3), newFilledVM(3, 1./3), newFilledVM(3, 1./3)}
	admitted := 0
	for next := 0; ; next++ {
		f := vms[next%len(vms)]
		choice, err := f.Path(0, service(), request())
		if err != nil {
			break
		}
		f.AddLoad(choice.Load(1000))
		admitted++
		published := make([]map[string]backends.Usage, len(vms))
		for i, f := range vms {
			published[i] = f.PublishUsage()
		}
		for i, f := range vms {
			f.SetRemoteUsage(sumExcept(published, i), len(vms)-1)
		}
	}
	g.Expect(admitted).To(Equal(alone))
}

// Guards against the VMs of all other data centres filling a server at once: they learn its load in every
// fourth round only, and each counted just what it had added since its own last report.
func TestAdditionsElsewhereCountUntilTheOthersAreKnown(t *testing.T) {
	g := NewWithT(t)
	f := newFilledVM(10, 0.1)
	f.SetDataCentre("b") // all servers are elsewhere
	added := fill(f)
	g.Expect(added).To(BeNumerically(">", 0))
	for range 4 {
		f.PublishUsage()
		g.Expect(fill(f)).To(BeZero(), "the others may have added as much")
	}
	f.PublishUsage()
	g.Expect(fill(f)).To(BeNumerically(">", 0), "the sum includes what they had then")
}
