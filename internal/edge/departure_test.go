package edge_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/edge"
)

// drainTime is how long after the store confirmed that a server leaves it may get requests.
const drainTime = 2 * time.Second

// departureRig is a set of VMs of several data centres with one store, and a server that leaves.
type departureRig struct {
	*WithT
	store *memoryStore
	vms   []*rig
	// lastArrival is when the last request arrived at the leaving server, in Unix nanoseconds.
	lastArrival atomic.Int64
}

func newDepartureRig(t *testing.T, vms int) *departureRig {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	d := &departureRig{WithT: NewWithT(t), store: store}
	for i := range vms {
		seed := ""
		if i > 0 {
			seed = d.vms[0].settings.PeerAddress
		}
		dataCentre := string(rune('a' + i%3))
		d.vms = append(d.vms, newVM(t, fmt.Sprint("vm-", i+1), store, seed, firstStart, func(s *edge.Settings) {
			s.DataCentre, s.ConfigApplyTime, s.MaxProofAge = dataCentre, 2*time.Second, 20*time.Second
		}))
	}
	d.vms[0].server("stays", ok)
	d.vms[0].server("leaves", func(w http.ResponseWriter, request *http.Request) {
		d.lastArrival.Store(time.Now().UnixNano())
		ok(w, request)
	})
	for _, vm := range d.vms {
		vm.Eventually(func() int { return vm.status("/plain/a", "r1") }, "10s").Should(Equal(http.StatusOK))
	}
	// The VMs find one another, and each source has what the others need.
	time.Sleep(4 * time.Second)
	return d
}

// entryReaders returns the VMs that read the server entries for the others.
func (d *departureRig) entryReaders() []*rig {
	var all []lease.VM
	for _, vm := range d.vms {
		all = append(all, lease.VM{Name: vm.settings.VM, DataCentre: vm.settings.DataCentre})
	}
	ranked := lease.Rank("entries", "", all)
	readers := []*rig{d.find(ranked[0].Name)}
	for _, vm := range ranked {
		if vm.DataCentre != ranked[0].DataCentre {
			return append(readers, d.find(vm.Name))
		}
	}
	return readers
}

func (d *departureRig) find(name string) *rig {
	for _, vm := range d.vms {
		if vm.settings.VM == name {
			return vm
		}
	}
	return nil
}

// expectNoLateArrival removes the entry of the leaving server and expects that no request of the given VMs
// arrives there later than drainTime after that.
func (d *departureRig) expectNoLateArrival(vms []*rig) {
	d.store.remove("servers", "leaves")
	removed := time.Now()
	var sending sync.WaitGroup
	for _, vm := range vms {
		sending.Go(func() {
			for i := 0; time.Since(removed) < drainTime+time.Second; i++ {
				vm.status("/plain/a", fmt.Sprint(vm.settings.VM, "-", i))
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	sending.Wait()
	after := time.Unix(0, d.lastArrival.Load()).Sub(removed)
	vms[0].t.Logf("last request %s after the removal", after)
	d.Expect(after).To(BeNumerically("<=", drainTime))
}

// Guards against requests to a server whose removal is taken for an expiry during an outage of the store that
// had ended seconds before, as nothing had changed since and so no watch had been answered.
func TestServerRemovedAfterAnOutageGetsNoLateRequests(t *testing.T) {
	t.Parallel()
	d := newDepartureRig(t, 3)
	for _, vm := range d.vms {
		vm.storeConn.setSilent(true)
	}
	time.Sleep(6 * time.Second)
	for _, vm := range d.vms {
		vm.storeConn.setSilent(false)
	}
	// VMs are in touch from 3 s after the outage on.
	time.Sleep(3300 * time.Millisecond)
	d.expectNoLateArrival(d.vms)
}

// Guards against requests to a server whose removal is taken for an expiry during an outage, although only a
// waiting watch had been cut off, which is no outage.
func TestServerRemovedAfterAWatchWasCutOffGetsNoLateRequests(t *testing.T) {
	t.Parallel()
	d := newDepartureRig(t, 1)
	d.vms[0].storeConn.cutOff <- struct{}{}
	time.Sleep(500 * time.Millisecond)
	d.expectNoLateArrival(d.vms)
}

// Guards against VMs in touch with the store that trust those that read the entries for them for longer than a
// leaving server may get requests: the store answers neither of the two readers any more.
func TestDepartureIsKnownInTimeWithSilentReaders(t *testing.T) {
	t.Parallel()
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 54))
			d := newDepartureRig(t, 7)
			readers := d.entryReaders()
			var inTouch []*rig
			for _, vm := range d.vms {
				if vm == readers[0] || vm == readers[1] {
					vm.storeConn.setSilent(true)
				} else {
					inTouch = append(inTouch, vm)
				}
			}
			time.Sleep(time.Duration(90+random.IntN(360)) * time.Millisecond)
			d.expectNoLateArrival(inTouch)
		})
	}
}

// Guards against a server that announced its departure to a VM that doesn't read the entries, and goes on
// getting requests of the other VMs while the store is away.
func TestAnnouncedDepartureReachesOtherVMsWithoutTheStore(t *testing.T) {
	t.Parallel()
	d := newDepartureRig(t, 4)
	var leaving, arrived atomic.Int32
	announcing := d.vms[0].server("announces", func(w http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.Header.Get("X-Request-Id"), "first-") && leaving.Load() == 1 {
			w.Header().Set("Server-Leaving", "1")
		} else {
			arrived.Add(1)
		}
		ok(w, request)
	})
	defer announcing.Close()
	readers := d.entryReaders()
	var hears *rig
	for _, vm := range d.vms {
		if vm != readers[0] && vm != readers[1] {
			hears = vm
		}
	}
	d.Eventually(func() int32 {
		arrived.Store(0)
		for _, vm := range d.vms {
			vm.status("/plain/a", "r")
		}
		return arrived.Load()
	}, "10s").Should(BeNumerically(">", 0))
	for _, vm := range d.vms {
		vm.storeConn.setSilent(true)
	}
	leaving.Store(1)
	for i := range 30 {
		hears.status("/plain/a", fmt.Sprint("first-", i))
	}
	time.Sleep(drainTime)
	arrived.Store(0)
	for i := range 60 {
		for _, vm := range d.vms {
			vm.status("/plain/a", fmt.Sprint("later-", i))
		}
	}
	d.Expect(arrived.Load()).To(BeZero())
}
