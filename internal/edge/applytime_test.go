package edge_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/edge"
)

// newConfiguredVMs starts VMs of one data centre that allow 2 s for a change, and waits until they
// have discovered one another and serve the first configuration.
func newConfiguredVMs(t *testing.T, store *memoryStore, count int) []*rig {
	store.set("config", "main", table(1))
	vms := newVMs(t, store, count, func(s *edge.Settings) { s.ConfigApplyTime, s.MaxProofAge = 2*time.Second, 3*time.Second })
	vms[0].server("s1", ok)
	for _, vm := range vms {
		vm.Eventually(func() int { return vm.status("/plain/a", "r1") }, "10s").Should(Equal(http.StatusOK))
	}
	time.Sleep(2 * time.Second)
	return vms
}

// expectApplied waits until each VM serves a route that was added with a change, and expects that
// it does within the allowed time.
func expectApplied(g *WithT, vms []*rig, written time.Time) {
	left := vms
	for len(left) > 0 && time.Since(written) < 10*time.Second {
		var late []*rig
		for _, vm := range left {
			if vm.status("/added/a", "r2") != http.StatusOK {
				late = append(late, vm)
			}
		}
		left = late
		time.Sleep(5 * time.Millisecond)
	}
	g.Expect(left).To(BeEmpty())
	took := time.Since(written)
	vms[0].t.Logf("in force on all after %s", took)
	g.Expect(took).To(BeNumerically("<=", vms[0].settings.ConfigApplyTime))
}

// readerOf returns the VM that reads for the others, which all know one another.
func readerOf(vms []*rig) *rig {
	var ranked []lease.VM
	for _, vm := range vms {
		ranked = append(ranked, lease.VM{Name: vm.settings.VM, DataCentre: vm.settings.DataCentre})
	}
	first := lease.Rank("tally", vms[0].settings.DataCentre, ranked)[0]
	return vms[slices.IndexFunc(vms, func(vm *rig) bool { return vm.settings.VM == first.Name })]
}

// changed returns a configuration with one more route.
func changed(version uint64) tableValue {
	newer := table(version)
	newer.Routes = append(newer.Routes, route("/added/", routes.Repeatable, false))
	return newer
}

// Guards against VMs that wait for seconds after a failed read and learn nothing from others
// meanwhile.
func TestChangeIsInForceInTimeAfterFailedReads(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	vms := newConfiguredVMs(t, store, 24)
	reader := readerOf(vms)
	for _, vm := range vms {
		vm.storeConn.cut.Store(true)
	}
	time.Sleep(2 * time.Second)
	var others []*rig
	for _, vm := range vms {
		if vm != reader {
			vm.storeConn.cut.Store(false)
			others = append(others, vm)
		}
	}
	store.set("config", "main", changed(2))
	expectApplied(g, others, time.Now())
}

// Guards against followers that wait too long for a reader to whose reads the platform gives no
// answer any more.
func TestChangeIsInForceInTimeWithASilentReader(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	vms := newConfiguredVMs(t, store, 24)
	reader := readerOf(vms)
	last := reader.storeConn.reads.Load()
	g.Eventually(reader.storeConn.reads.Load, "3s", "5ms").ShouldNot(Equal(last))
	// The worst moment for a change is just after a read.
	reader.storeConn.silent.Store(true)
	store.set("config", "main", changed(2))
	written := time.Now()
	var others []*rig
	for _, vm := range vms {
		if vm != reader {
			others = append(others, vm)
		}
	}
	expectApplied(g, others, written)
}

// Guards against VMs that hear of a newer configuration from another data centre and go on with
// their own until their next read.
func TestNewerConfigurationOfAnotherDataCentreIsFetched(t *testing.T) {
	g := NewWithT(t)
	store := newMemoryStore()
	store.set("config", "main", table(1))
	slowReads := func(s *edge.Settings) { s.ConfigApplyTime, s.MaxProofAge = 24*time.Second, 30*time.Second }
	first := newVM(t, "vm-1", store, "", slowReads)
	first.server("s1", ok)
	first.Eventually(func() int { return first.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	time.Sleep(3 * time.Second) // so that the VMs' reads are seconds apart
	second := newVM(t, "vm-2", store, first.settings.PeerAddress, slowReads, func(s *edge.Settings) { s.DataCentre = "b" })
	second.Eventually(func() int { return second.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	time.Sleep(time.Second)
	store.set("config", "main", changed(2))
	served := func(vm *rig) func() int { return func() int { return vm.status("/added/a", "r2") } }
	g.Eventually(func() bool { return served(first)() == http.StatusOK || served(second)() == http.StatusOK }, "12s", "20ms").Should(BeTrue())
	for _, vm := range []*rig{first, second} {
		g.Eventually(served(vm), "1500ms", "20ms").Should(Equal(http.StatusOK))
	}
}

// Guards against VMs that refuse keys because the one that reads for them is cut off from the
// platform, where keys are trusted for less time than a change may take.
func TestKeysStayTrustedWhenTheReaderIsCutOff(t *testing.T) {
	store := newMemoryStore()
	store.set("config", "main", table(1))
	vms := newVMs(t, store, 3, func(s *edge.Settings) { s.ConfigApplyTime, s.MaxProofAge = 6*time.Second, 2600*time.Millisecond })
	vms[0].server("s1", ok)
	for _, vm := range vms {
		vm.Eventually(func() int { return vm.status("/plain/a", "r1") }, "5s").Should(Equal(http.StatusOK))
	}
	time.Sleep(2 * time.Second)
	reader := readerOf(vms)
	reader.storeConn.cut.Store(true)
	for _, vm := range vms {
		if vm != reader {
			vm.Consistently(func() int { return vm.status("/plain/a", "r2") }, "3s", "20ms").Should(Equal(http.StatusOK))
		}
	}
}
