package gossip_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

// startThreeVMs starts three VMs in one data centre that know each other.
func startThreeVMs(t *testing.T) (*cluster, []*vm) {
	c := newCluster(t)
	a := c.start("vm-1", "bornova", 1)
	b := c.start("vm-2", "bornova", 1, a)
	d := c.start("vm-3", "bornova", 1, a)
	c.rounds(8, a, b, d)
	for _, v := range c.vms {
		c.Expect(v.directory.Members()).To(HaveLen(3), v.name)
	}
	return c, []*vm{a, b, d}
}

// The platform's list of VMs is stale: it still has a dead VM and lacks a new
// one. Membership must not depend on that list alone.
func TestStaleContactsNeitherKeepDeadVMNorHideNewVM(t *testing.T) {
	c, vms := startThreeVMs(t)
	dead := vms[2]
	dead.kill()
	fresh := c.start("vm-4", "bornova", 1, dead, vms[0])
	c.rounds(20, vms[0], vms[1], fresh)
	for _, v := range []*vm{vms[0], vms[1], fresh} {
		_, listed := v.directory.Member(dead.name)
		c.Expect(listed).To(BeFalse(), v.name)
		_, listed = v.directory.Member(fresh.name)
		c.Expect(listed).To(BeTrue(), v.name)
	}
	c.Expect(vms[0].state(dead.name)).To(Equal(fleet.Gone))
}

// An urgent entry, such as a server that is leaving, must be pushed at once. If it
// waited for the next rounds, the other VMs would learn of it seconds later.
func TestUrgentEntryIsPushedWithoutRound(t *testing.T) {
	c, vms := startThreeVMs(t)
	vms[0].Put("s/runner-1", []byte("leaving"), true)
	for _, v := range vms[1:] {
		c.Eventually(func() string { return v.entry("vm-1 on runner-1") }).Should(Equal("leaving"))
	}
}

// A request body that crashed servers through one VM must not be retried from
// scratch by another VM that has not received the finding yet: Confirm fetches
// it first. A VM that can't be reached is reported as missing, a dead one is not.
func TestConfirmExchangesStateAndReportsUnreachableVMs(t *testing.T) {
	c, vms := startThreeVMs(t)
	remote := c.start("vm-4", "gaziemir", 1, vms[0])
	c.rounds(10, append(vms, remote)...)
	vms[0].Put("s/runner-1", []byte("here"), false)
	remote.Put("s/runner-2", []byte("there"), false)
	c.Expect(vms[1].Confirm(t.Context())).To(BeEmpty())
	c.Expect(vms[1].entry("vm-1 on runner-1")).To(Equal("here"))
	c.Expect(vms[1].entry("vm-4 on runner-2")).To(Equal("there"))
	remote.listener.cutOff()
	vms[2].kill()
	c.Expect(vms[0].Confirm(t.Context())).To(Equal([]string{"vm-4"}))
	remote.listener.restore()
	c.Expect(vms[0].Confirm(t.Context())).To(BeEmpty())
}

// VMs that start together and contact one address a round know each other only
// after some rounds; until then their urgent entries would be pushed to nobody.
func TestVMsStartingTogetherMeetWithoutRound(t *testing.T) {
	c := newCluster(t)
	a := c.start("vm-1", "bornova", 1)
	b := c.start("vm-2", "karsiyaka", 1)
	d := c.start("vm-3", "gaziemir", 1, a, b)
	d.Meet(t.Context())
	d.Wait()
	d.Put("s/runner-1", []byte("crashed"), true)
	for _, v := range []*vm{a, b} {
		c.Eventually(func() string { return v.entry("vm-3 on runner-1") }, "10s").Should(Equal("crashed"))
	}
}

// Both sides of a partition change their entries, then the partition heals and old
// messages arrive late. No VM may revert to the state before the partition, as
// it would if the merge took the last message for the newest.
func TestHealedPartitionConvergesWithoutReverting(t *testing.T) {
	c, vms := startThreeVMs(t)
	vms[0].Put("s/runner-1", []byte("before"), true)
	for _, v := range vms[1:] {
		c.Eventually(func() string { return v.entry("vm-1 on runner-1") }).Should(Equal("before"))
	}
	isolated := vms[2]
	isolated.listener.cutOff()
	vms[0].listener.cutOff()
	vms[1].listener.cutOff()
	vms[0].Put("s/runner-1", []byte("after"), true)
	isolated.Put("s/runner-2", []byte("after"), true)
	c.rounds(20, vms...)
	c.Expect(isolated.state("vm-1")).To(Equal(fleet.Gone))
	for _, v := range vms {
		v.listener.restore()
	}
	c.rounds(25, vms...)
	c.Expect(isolated.entry("vm-1 on runner-1")).To(Equal("after"))
	c.Expect(vms[1].entry("vm-3 on runner-2")).To(Equal("after"))
	c.Expect(isolated.state("vm-1")).To(Equal(fleet.Live))
	for _, v := range vms {
		c.Expect(v.directory.Members()).To(HaveLen(3), v.name)
	}
}

// A VM that was paused for a minute must not take its own pause for missed
// heartbeats of the others and declare them all gone.
func TestPausedVMDoesNotDeclareOthersGone(t *testing.T) {
	c, vms := startThreeVMs(t)
	c.now.Add(int64(time.Minute))
	vms[0].Round(t.Context())
	vms[0].Wait()
	c.Expect(vms[0].directory.Members()).To(HaveLen(3))
}

// A replaced VM whose machine has a clock that is behind starts with a lower
// incarnation than its predecessor. The other VMs must not ignore it.
func TestNewProcessWithLowerIncarnationIsAccepted(t *testing.T) {
	c, vms := startThreeVMs(t)
	old := c.start("vm-4", "bornova", 100, vms[0])
	old.Put("s/runner-1", []byte("old"), true)
	c.rounds(8, append(vms, old)...)
	c.Expect(vms[0].entry("vm-4 on runner-1")).To(Equal("old"))
	old.kill()
	fresh := c.start("vm-4", "bornova", 7, vms[0])
	fresh.Put("s/runner-1", []byte("new"), true)
	c.rounds(12, append(vms, fresh)...)
	for _, v := range vms {
		c.Expect(v.entry("vm-4 on runner-1")).To(Equal("new"), v.name)
		member, _ := v.directory.Member("vm-4")
		c.Expect(member.Address).To(Equal(fresh.listener.Addr().String()))
	}
}

// Heartbeats take more rounds to spread the more VMs there are. With a fixed
// timeout, the VMs of a large data centre would suspect each other all the time
// and flood the gossip, although nothing fails.
func TestManyVMsDoNotSuspectEachOther(t *testing.T) {
	c := newCluster(t)
	for i := range 24 {
		c.start(fmt.Sprintf("vm-%02d", i), "bornova", 1, c.vms[:min(i, 3)]...)
	}
	c.rounds(15, c.vms...)
	for range 40 {
		c.rounds(1, c.vms...)
		for _, v := range c.vms {
			for _, other := range v.VMs() {
				c.Expect(other.State).To(Equal(fleet.Live), "%s of %s", v.name, other.Name)
			}
		}
	}
}

func TestPlannedStopMarksVMGoneAtOnce(t *testing.T) {
	c, vms := startThreeVMs(t)
	vms[2].Leave()
	c.Eventually(func() fleet.State {
		vms[0].Round(t.Context())
		return vms[0].state("vm-3")
	}).Should(Equal(fleet.Leaving))
	vms[2].Left(t.Context())
	for _, v := range vms[:2] {
		c.Expect(v.state("vm-3")).To(Equal(fleet.Gone), v.name)
	}
}

// State entries must reach the VMs of other data centres. If only the streams of
// the own data centre were exchanged, VMs would know nothing of remote servers.
func TestStateCrossesDataCentresAndLocalStreamsDoNot(t *testing.T) {
	c := newCluster(t)
	a := c.start("vm-1", "bornova", 1)
	b := c.start("vm-2", "gaziemir", 1, a)
	remote := c.start("vm-3", "gaziemir", 1, b)
	c.rounds(10, a, b, remote)
	a.Put("s/runner-1", []byte("silent"), true)
	c.Eventually(func() string { return remote.entry("vm-1 on runner-1") }).Should(Equal("silent"))
	a.SetRelease(7)
	c.rounds(10, a, b, remote)
	member, _ := remote.directory.Member("vm-1")
	c.Expect(member.Release).To(BeEquivalentTo(7))
}
