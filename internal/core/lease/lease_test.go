package lease_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Guards against accepting a damaged record with a huge epoch: no later epoch could
// exceed it, and every holder would be fenced permanently.
func TestImplausibleEpochs(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lease.Plausible(5, 6)).To(BeTrue())
	g.Expect(lease.Plausible(5, 1005)).To(BeTrue())
	g.Expect(lease.Plausible(5, 1006)).To(BeFalse())
	g.Expect(lease.Plausible(0, 70_000)).To(BeTrue(), "a VM that has just started knows no epoch")
	g.Expect(lease.Plausible(0, 1<<48)).To(BeFalse())
}

// Guards against a takeover from a healthy owner right after an outage of the platform:
// a standby reads the same version before and after the outage, and counts the outage
// as time in which the owner did not renew.
func TestFailedReadRestartsTheLeaseTimeout(t *testing.T) {
	g := NewWithT(t)
	var observer lease.Observer
	observer.Read(time.Second, 7)
	observer.Read(3*time.Second, 7)
	g.Expect(observer.UnchangedFor(3 * time.Second)).To(Equal(2 * time.Second))
	observer.Failed()
	g.Expect(observer.UnchangedFor(60 * time.Second)).To(BeZero())
	observer.Read(60*time.Second, 7)
	g.Expect(observer.UnchangedFor(60 * time.Second)).To(BeZero())
	observer.Read(61*time.Second, 8)
	g.Expect(observer.UnchangedFor(61 * time.Second)).To(BeZero())
}

// Guards against a ranking by the number of VMs or by names alone: the loss of one VM
// would move roles between other VMs, or one VM would hold most roles.
func TestRankSpreadsRolesAndMovesOnlyThoseOfALostVM(t *testing.T) {
	g := NewWithT(t)
	var vms []lease.VM
	for i := range 9 {
		vms = append(vms, lease.VM{Name: fmt.Sprintf("vm-%d", i), DataCentre: []string{"salt-lake", "rajarhat", "howrah"}[i%3]})
	}
	first := make(map[string]int)
	for i := range 300 {
		role := fmt.Sprintf("role-%d", i)
		ranked := lease.Rank(role, "howrah", vms)
		first[ranked[0].Name]++
		g.Expect(ranked[0].DataCentre).To(Equal("howrah"))
		without := lease.Rank(role, "howrah", append(append([]lease.VM{}, vms[:2]...), vms[3:]...))
		if ranked[0].Name != "vm-2" {
			g.Expect(without[0]).To(Equal(ranked[0]))
		}
		g.Expect(lease.Position(ranked, ranked[4].Name)).To(Equal(4))
	}
	g.Expect(first).To(HaveLen(3))
	for name, roles := range first {
		g.Expect(roles).To(BeNumerically(">", 60), name)
	}
}
