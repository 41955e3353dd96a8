package mirror_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/edge"
)

// departureTime is the time within which every VM in touch with the store must know that a server leaves: 2 s less
// the time of a request that is on its way.
const departureTime = 1850 * time.Millisecond

// silences are the VMs that the store does not answer any more.
var silences = map[string]func(c *cluster, random *rand.Rand) []*vm{
	"one reader": func(c *cluster, _ *rand.Rand) []*vm { return c.readers()[:1] },
	"readers":    func(c *cluster, _ *rand.Rand) []*vm { return c.readers() },
	"readers and first VMs of each data centre": func(c *cluster, _ *rand.Rand) []*vm {
		silent := c.readers()
		for _, dataCentre := range []string{"dc-0", "dc-1", "dc-2"} {
			near := c.ranked(dataCentre)
			for _, first := range near[:min(len(near)-1, 4)] {
				silent = append(silent, c.find(first.Name))
			}
		}
		return silent
	},
	"readers and most others": func(c *cluster, random *rand.Rand) []*vm {
		silent := c.readers()
		for _, v := range c.vms {
			if random.Float64() < 0.7 {
				silent = append(silent, v)
			}
		}
		return silent
	},
}

// Guards against requests to a server that leaves, from VMs that the store answers: they learn of changes from
// other VMs, which the store does not answer any more, and wait for them too long.
func TestDepartureIsKnownInTimeWhateverSourcesAreSilent(t *testing.T) {
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			expectDepartureKnown(t, silence, func(v *vm) { v.store.silent.Store(true) })
		})
	}
}

// Guards against requests to a server that leaves while the VMs from which others learn of changes are killed
// or partitioned from all: the others wait for them too long.
func TestDepartureIsKnownInTimeWhateverSourcesAreLost(t *testing.T) {
	for name, silence := range silences {
		t.Run(name, func(t *testing.T) {
			expectDepartureKnown(t, silence, func(v *vm) {
				v.store.silent.Store(true)
				v.unresponsive.Store(true)
			})
		})
	}
}

// Guards against VMs that follow one another, each in the belief that the other reads the platform, since they know
// different VMs, of which the platform answers some no more.
func TestDepartureIsKnownInTimeWhileVMsKnowDifferentOnes(t *testing.T) {
	expectDepartureKnown(t, func(c *cluster, random *rand.Rand) []*vm {
		views, known := make(map[string]map[string]bool), 0.1+0.8*random.Float64()
		for _, v := range c.vms {
			views[v.Name] = map[string]bool{v.Name: true}
			for _, other := range c.vms {
				if random.Float64() < known {
					views[v.Name][other.Name] = true
				}
			}
		}
		c.views.Store(&views)
		return silences["readers and most others"](c, random)
	}, func(v *vm) { v.store.silent.Store(true) })
}

// expectDepartureKnown plays a departure in deployments of several sizes and expects that all VMs in touch with
// the store know it in time.
func expectDepartureKnown(t *testing.T, chosen func(*cluster, *rand.Rand) []*vm, disturb func(*vm)) {
	for _, size := range []struct {
		sizes []int
		seeds uint64
	}{{[]int{3, 2, 2}, 20}, {[]int{23, 23, 22}, 4}, {[]int{100, 100, 100}, 1}} {
		t.Run(fmt.Sprint(size.sizes), func(t *testing.T) {
			var latest time.Duration
			for seed := range size.seeds {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(seed, 54))
					latest = max(latest, playDeparture(t, size.sizes, random, func(c *cluster) []*vm { return chosen(c, random) }, disturb))
				})
			}
			t.Logf("known after %s", latest)
			NewWithT(t).Expect(latest).To(BeNumerically("<=", departureTime))
		})
	}
}

// playDeparture disturbs some VMs, removes a server's entry up to half a second later and returns when the last
// VM in touch with the store knows it.
func playDeparture(t *testing.T, sizes []int, random *rand.Rand, chosen func(*cluster) []*vm, disturb func(*vm)) time.Duration {
	c := newClusterOf(t, newStore("s1", "s2"), sizes, edge.StoreOptions(edge.Settings{ResyncTime: 3 * time.Second})...)
	time.Sleep(5*time.Second + time.Duration(random.IntN(2000))*time.Millisecond)
	disturbed := make(map[string]bool)
	for _, v := range chosen(c) {
		disturb(v)
		disturbed[v.Name] = true
	}
	c.store.wake()
	time.Sleep(time.Duration(random.IntN(500)) * time.Millisecond)
	c.store.set("s1", true)
	removed := time.Now()
	for _, v := range c.vms {
		for !disturbed[v.Name] && v.known.has("s1")() && time.Since(removed) < 10*departureTime {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(removed)
}

// outageTime is how long an outage of the store lasts, and recoveryTime within which all VMs must know after it
// what changed meanwhile.
const (
	outageTime   = 6 * time.Second
	recoveryTime = 2 * time.Second
)

// Guards against VMs that go on waiting, after the store's return, for calls that were sent during its outage
// and are never answered.
func TestChangesAreKnownSoonAfterAnOutage(t *testing.T) {
	for _, size := range []struct {
		sizes []int
		seeds uint64
	}{{[]int{3, 2, 2}, 20}, {[]int{23, 23, 22}, 4}, {[]int{100, 100, 100}, 1}} {
		t.Run(fmt.Sprint(size.sizes), func(t *testing.T) {
			var latest time.Duration
			for seed := range size.seeds {
				synctest.Test(t, func(t *testing.T) {
					latest = max(latest, playOutage(t, size.sizes, rand.New(rand.NewPCG(seed, 54))))
				})
			}
			t.Logf("known after %s", latest)
			NewWithT(t).Expect(latest).To(BeNumerically("<=", recoveryTime))
		})
	}
}

// calls returns the number of calls of the store by all VMs.
func (c *cluster) calls() (calls int64) {
	for _, v := range c.vms {
		calls += v.store.lists.Load() + v.store.watches.Load()
	}
	return calls
}

// asked returns the number of requests that each VM got from others.
func (c *cluster) asked() []int64 {
	counts := make([]int64, len(c.vms))
	for i, v := range c.vms {
		counts[i] = v.asked.Load()
	}
	return counts
}

func maxAdded(before, after []int64) (most int64) {
	for i := range before {
		most = max(most, after[i]-before[i])
	}
	return most
}

// playOutage lets the store fall silent, removes a server's entry meanwhile and returns how long after the
// store's return the last VM knows it.
func playOutage(t *testing.T, sizes []int, random *rand.Rand) time.Duration {
	c := newClusterOf(t, newStore("s1", "s2"), sizes, edge.StoreOptions(edge.Settings{ResyncTime: 3 * time.Second})...)
	time.Sleep(5*time.Second + time.Duration(random.IntN(2000))*time.Millisecond)
	setSilent := func(silent bool) {
		for _, v := range c.vms {
			v.store.silent.Store(silent)
		}
		c.store.wake()
	}
	setSilent(true)
	calls := c.calls()
	asked := c.asked()
	time.Sleep(outageTime)
	t.Logf("%d calls of the store in an outage of %s, %d requests at the VM that got most", c.calls()-calls, outageTime, maxAdded(asked, c.asked()))
	c.store.set("s1", true)
	time.Sleep(time.Millisecond) // the waiting watches look at the change and stay without an answer
	setSilent(false)
	back := time.Now()
	for _, v := range c.vms {
		for v.known.has("s1")() && time.Since(back) < 10*recoveryTime {
			time.Sleep(10 * time.Millisecond)
		}
	}
	return time.Since(back)
}

// Guards against calls of the store that grow with the number of VMs, and against messages between VMs that grow
// faster than it, while nothing changes.
func TestQuietCallsAndMessagesAreBounded(t *testing.T) {
	const quiet = 20 * time.Second
	for _, sizes := range [][]int{{3, 2, 2}, {23, 23, 22}, {100, 100, 100}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOf(t, newStore("s1"), sizes, edge.StoreOptions(edge.Settings{ResyncTime: 3 * time.Second})...)
				time.Sleep(5 * time.Second)
				calls, messages := c.calls(), c.messages()
				time.Sleep(quiet)
				callsPerSecond := float64(c.calls()-calls) / quiet.Seconds()
				messagesPerVM := float64(c.messages()-messages) / quiet.Seconds() / float64(len(c.vms))
				t.Logf("%.2f calls of the store a second, %.2f messages a second by each VM", callsPerSecond, messagesPerVM)
				NewWithT(t).Expect(callsPerSecond).To(BeNumerically("<=", 3))
				NewWithT(t).Expect(messagesPerVM).To(BeNumerically("<=", 2))
			})
		})
	}
}

// messages returns the number of requests of all VMs to others.
func (c *cluster) messages() (messages int64) {
	for _, v := range c.vms {
		messages += v.fetches.Load()
	}
	return messages
}
