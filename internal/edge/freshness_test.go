package edge_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/edge"
)

func ok(w http.ResponseWriter, request *http.Request) {
	sign(w, request)
	_, _ = io.WriteString(w, "done")
}

// Guards against accepting a revoked key: the store doesn't answer this VM while the
// operator revokes the key, and the VM relies on a configuration without recent proof that
// it is the newest.
func TestKeysAreRejectedWithoutRecentProof(t *testing.T) {
	r := newRig(t, table(1))
	r.server("s1", ok)
	r.Eventually(func() int { return r.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	r.store.setDown(true)
	var response *http.Response
	r.Eventually(func() int {
		var err error
		response, err = r.call("/plain/a", "r2")
		r.Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		return response.StatusCode
	}, 2*r.settings.KeyTrust).Should(Equal(http.StatusServiceUnavailable))
	r.Expect(response.Header.Get("Retry-After")).NotTo(BeEmpty())
	r.Expect(r.ready()).To(Equal(http.StatusServiceUnavailable))
	r.store.setDown(false)
	r.Eventually(func() int { return r.status("/plain/a", "r3") }, "3s").Should(Equal(http.StatusOK))
}

// Guards against refusing every request with a key as configuration_unproven on a VM that
// callers reach: the platform rejects this VM for longer than a key is trusted, while the
// other VMs still read it and could be queried.
func TestVMCutOffFromPlatformLearnsConfigurationFromPeers(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	first := newVM(t, "vm-1", store, "")
	first.Eventually(first.ready, "5s").Should(Equal(http.StatusOK))
	second := newVM(t, "vm-2", store, first.settings.Peers)
	second.storeConn.cut.Store(true)
	second.Eventually(second.ready, "5s").Should(Equal(http.StatusOK), "it learns its first configuration from the other VM")
	second.server("s1", ok)
	second.Eventually(func() int { return second.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	second.Consistently(func() int { return second.status("/plain/a", "r2") }, 2*second.settings.KeyTrust, "100ms").Should(Equal(http.StatusOK))

	newer := table(2)
	newer.Keys = map[string]routes.Account{"other": {Name: "other"}}
	store.set("config", "main", newer)
	second.Eventually(func() int { return second.status("/plain/a", "r3") }, "4s").Should(Equal(http.StatusUnauthorized))

	// No VM reaches the platform now, so the proofs of all VMs expire.
	first.storeConn.cut.Store(true)
	second.Eventually(second.ready, 3*second.settings.KeyTrust).Should(Equal(http.StatusServiceUnavailable))
}

// Guards against refusing keys although the platform was unavailable for less time than
// keys are trusted, or not at all. A VM reads the configuration every 1.8 s and another
// one learns from it every second, so the age of the second one's proof can add up to 2.8
// s. Keys are trusted for 2.6 s here, and the two intervals meet in every phase within
// nine seconds.
func TestProofAgeDoesNotAddUpOverHops(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	slowReads := func(s *edge.Settings) { s.ApplyWithin, s.KeyTrust = 4*time.Second, 2600*time.Millisecond }
	vms := newVMs(t, store, 2, slowReads)
	vms[0].server("s1", ok)
	g := NewWithT(t)
	for _, vm := range vms {
		g.Eventually(func() int { return vm.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	}
	time.Sleep(2 * time.Second) // until the VMs have discovered one another and one of them reads for both
	g.Consistently(func() []int {
		return []int{vms[0].status("/plain/a", "r2"), vms[1].status("/plain/a", "r2")}
	}, "9s", "50ms").Should(HaveEach(http.StatusOK))
}

func TestNewConfigurationIsAppliedAndNotReverted(t *testing.T) {
	r := newRig(t, table(5))
	r.server("s1", ok)
	r.Eventually(func() int { return r.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	newer := table(6)
	newer.Keys = map[string]routes.Account{"other": {Name: "other"}}
	r.store.set("config", "main", newer)
	r.Eventually(func() int { return r.status("/plain/a", "r2") }, "2s").Should(Equal(http.StatusUnauthorized))
	// An older version that the store returns late is ignored.
	r.store.set("config", "main", table(5))
	r.Consistently(func() int { return r.status("/plain/a", "r3") }, "1200ms", "100ms").Should(Equal(http.StatusUnauthorized))
}

// Guards against sending requests to a server that is draining or whose entry was removed,
// because the list is read late or not at all.
func TestDrainingOrRemovedServerGetsNoRequests(t *testing.T) {
	r := newRig(t, table(1))
	first := r.server("s1", ok)
	r.Eventually(func() int { return r.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	r.store.set("servers", "s1", backends.Server{Service: "app", Address: first.Listener.Addr().String(), DataCentre: "a", Draining: true})
	r.Eventually(func() int { return r.status("/plain/a", "r2") }, "2s").Should(Equal(http.StatusServiceUnavailable))
	r.server("s2", ok)
	r.Eventually(func() int { return r.status("/plain/a", "r3") }, "2s").Should(Equal(http.StatusOK))
	r.store.remove("servers", "s2")
	r.Eventually(func() int { return r.status("/plain/a", "r4") }, "2s").Should(Equal(http.StatusServiceUnavailable))
}

// Guards against refusing all requests for seconds after a store outage: entries expire
// during the outage, since servers can't write either, and are missing from the first
// list.
func TestEntriesExpiredDuringStoreOutageAreKeptBriefly(t *testing.T) {
	r := newRig(t, table(1))
	r.server("s1", ok)
	r.Eventually(func() int { return r.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	r.store.setDown(true)
	r.Eventually(r.store.failures, "2s").Should(BeNumerically(">", 1))
	r.store.remove("servers", "s1")
	r.store.setDown(false)
	r.Consistently(func() int { return r.status("/plain/a", "r2") }, "1500ms", "100ms").Should(Equal(http.StatusOK))
	r.Eventually(func() int { return r.status("/plain/a", "r3") }, "4s").Should(Equal(http.StatusServiceUnavailable))
}

// Guards against 3,100 platform calls in an outage of eight seconds: without a proof every
// VM of a data centre polled the platform twice a second, though one is enough. Five VMs
// made 33 reads in 4.5 s that way, and 24 with the longer retry intervals. All VMs must
// still have the configuration soon after the outage.
func TestFewVMsPollThePlatformDuringAnOutage(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	store.set("config", "main", table(1))
	vms := newVMs(t, store, 5)
	vms[0].server("s1", ok)
	for _, vm := range vms {
		g.Eventually(func() int { return vm.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	}
	store.setDown(true)
	for _, vm := range vms {
		g.Eventually(vm.ready, 2*vm.settings.KeyTrust).Should(Equal(http.StatusServiceUnavailable))
	}
	for _, vm := range vms {
		vm.storeConn.reads.Store(0)
	}
	time.Sleep(4500 * time.Millisecond)
	total := int64(0)
	for _, vm := range vms {
		total += vm.storeConn.reads.Load()
	}
	t.Logf("reads while the platform was away: %d", total)
	g.Expect(total).To(BeNumerically("<", 29))
	store.setDown(false)
	for _, vm := range vms {
		g.Eventually(vm.ready, "2s").Should(Equal(http.StatusOK))
	}
}

// Guards against platform calls that grow with the number of VMs because each VM reads the
// configuration. One VM reads for its data centre; a change is still in force on all VMs
// in time, and another VM takes over when the reader stops.
func TestOneVMReadsConfigurationPerDataCentre(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	vms := newVMs(t, store, 3)
	reads := func() (total int, reader *rig) {
		for _, vm := range vms {
			if n := int(vm.storeConn.reads.Swap(0)); n > 0 {
				total, reader = total+n, vm
			}
		}
		return total, reader
	}
	g := NewWithT(t)
	for _, vm := range vms {
		g.Eventually(vm.ready, "5s").Should(Equal(http.StatusOK))
	}
	var reader *rig
	g.Eventually(func() bool {
		reads()
		time.Sleep(time.Second)
		var total int
		total, reader = reads()
		return total <= 3 && reader != nil
	}, "10s").Should(BeTrue(), "only one VM reads, twice a second")

	vms[0].server("s1", ok)
	for _, vm := range vms {
		g.Eventually(func() int { return vm.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	}
	newer := table(2)
	newer.Keys = map[string]routes.Account{"other": {Name: "other"}}
	store.set("config", "main", newer)
	for _, vm := range vms {
		g.Eventually(func() int { return vm.status("/plain/a", "r2") }, "1s").Should(Equal(http.StatusUnauthorized))
	}
	reader.stop()
	store.set("config", "main", table(3))
	for _, vm := range vms {
		if vm != reader {
			g.Eventually(func() int { return vm.status("/plain/a", "r3") }, "3s").Should(Equal(http.StatusOK))
		}
	}
}

// Guards against platform calls that grow with the number of VMs because each VM watches
// the server entries. Two VMs watch them and the others learn from these; all learn of a
// draining server when one of the two has stopped.
func TestTwoVMsWatchEntriesAndAllLearnDepartures(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	store.set("config", "main", table(1))
	vms := newVMs(t, store, 5)
	server := vms[0].server("s1", ok)
	for _, vm := range vms {
		g.Eventually(func() int { return vm.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	}
	var readers []*rig
	g.Eventually(func() int {
		for _, vm := range vms {
			vm.storeConn.watches.Store(0)
		}
		time.Sleep(1100 * time.Millisecond)
		readers = nil
		for _, vm := range vms {
			if vm.storeConn.watches.Load() > 0 {
				readers = append(readers, vm)
			}
		}
		return len(readers)
	}, "15s").Should(Equal(2))
	readers[0].stop()
	store.set("servers", "s1", backends.Server{Service: "app", Address: server.Listener.Addr().String(), DataCentre: "a", Draining: true})
	for _, vm := range vms {
		if vm != readers[0] {
			g.Eventually(func() int { return vm.status("/plain/a", "r2") }, "2s").Should(Equal(http.StatusServiceUnavailable))
		}
	}
}
