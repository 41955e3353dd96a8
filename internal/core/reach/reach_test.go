package reach_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/reach"
)

// loseAll makes the connects to servers fail after they had succeeded.
func loseAll(table *reach.Table, at time.Duration, failure reach.Failure, addresses ...string) {
	for _, address := range addresses {
		table.Connected(at-time.Second, address)
	}
	for _, address := range addresses {
		table.Failed(at, address, failure)
	}
}

func TestStateFollowsTheConnects(t *testing.T) {
	g := NewWithT(t)
	table := reach.New()
	g.Expect(table.State()).To(Equal(reach.Direct))
	loseAll(table, 10*time.Second, reach.Silent, "a", "b")
	g.Expect(table.State()).To(Equal(reach.Isolated))
	g.Expect(table.Direct("a")).To(BeTrue(), "no other VM is known to reach it")
	table.Relayed("a")
	g.Expect(table.State()).To(Equal(reach.Lost))
	g.Expect(table.Direct("b")).To(BeFalse())
	g.Expect(table.Direct("never used")).To(BeFalse())
	table.Connected(11*time.Second, "b")
	g.Expect(table.State()).To(Equal(reach.Partial))
	g.Expect(table.Direct("b")).To(BeTrue())
	g.Expect(table.Direct("a")).To(BeFalse())
	table.Connected(12*time.Second, "a")
	g.Expect(table.State()).To(Equal(reach.Direct))
}

// Guards against giving up the direct paths to all servers because single servers ended.
func TestServersThatEndedAreNoLossOfAllPaths(t *testing.T) {
	g := NewWithT(t)
	table := reach.New()
	loseAll(table, 10*time.Second, reach.Refused, "a", "b")
	table.Connected(10*time.Second+time.Millisecond, "c")
	g.Expect(table.AllFailing()).To(BeFalse())
	g.Expect(table.State()).To(Equal(reach.Direct))
	g.Expect(table.Probes(11 * time.Second)).To(BeEmpty())
}

// Guards against holding a VM's paths for lost for ever after the failing servers have ended: a
// server that worked before is probed too.
func TestAWorkingServerIsProbedWhileAllConnectsFail(t *testing.T) {
	g := NewWithT(t)
	table := reach.New()
	table.Connected(5*time.Second, "works")
	loseAll(table, 10*time.Second, reach.Refused, "a", "b")
	g.Expect(table.Probes(10 * time.Second)).To(ContainElement("works"))
}

// Guards against sending requests over connections that get no response, or giving up those that
// live on while new ones are rejected.
func TestOnlySilentPathsLoseTheirOpenConnections(t *testing.T) {
	for failure, silent := range map[reach.Failure]bool{reach.Silent: true, reach.Refused: false} {
		g := NewWithT(t)
		table := reach.New()
		table.Connected(5*time.Second, "untried")
		loseAll(table, 10*time.Second, failure, "a", "b")
		g.Expect(table.SilentlyLost("a")).To(BeFalse(), "no other VM reaches it yet")
		table.Relayed("a")
		g.Expect(table.SilentlyLost("a")).To(Equal(silent))
		g.Expect(table.SilentlyLost("untried")).To(Equal(silent))
		g.Expect(table.AnySilentlyLost()).To(Equal(silent))
	}
}

// Guards against probes of all lost paths at a time, and against waiting for the turn of each once
// one works again.
func TestOnePathIsProbedAtATimeUntilOneWorks(t *testing.T) {
	g := NewWithT(t)
	table := reach.New()
	addresses := []string{"a", "b", "c", "d"}
	loseAll(table, 10*time.Second, reach.Silent, addresses...)
	for _, address := range addresses {
		table.Relayed(address)
	}
	now, probed := 10*time.Second, map[string]bool{}
	for range addresses {
		due := table.Probes(now)
		g.Expect(len(due)).To(BeNumerically("<=", 2), "one, and a control")
		probed[due[0]] = true
		next, pending := table.NextProbe(now)
		g.Expect(pending).To(BeTrue())
		g.Expect(next).To(Equal(now + reach.ProbeInterval))
		now = next
	}
	g.Expect(probed).To(HaveLen(len(addresses)))
	table.Connected(now, "a")
	next, _ := table.NextProbe(now)
	g.Expect(next).To(Equal(now))
	g.Expect(table.Probes(now)).To(ConsistOf("b", "c", "d"))
	for _, address := range addresses {
		table.Connected(now, address)
	}
	_, pending := table.NextProbe(now)
	g.Expect(pending).To(BeFalse())
}

func TestPathsToServersThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	table := reach.New()
	loseAll(table, 10*time.Second, reach.Silent, "a", "b")
	table.Relayed("a")
	table.Relayed("b")
	table.Forget(time.Minute, func(address string) bool { return address == "b" })
	g.Expect(table.Failing()).To(Equal([]string{"b"}), "a lost path is kept while its server is registered")
	table.NotRelayed("b")
	table.Forget(time.Minute, func(string) bool { return true })
	g.Expect(table.Failing()).To(BeEmpty())
	g.Expect(table.State()).To(Equal(reach.Direct))
}

// Guards against one VM that carries the load of all that are cut off, and against asking only the
// VMs of a data centre that is cut off as a whole.
func TestIntermediariesAreSpreadOverVMsAndDataCentres(t *testing.T) {
	g := NewWithT(t)
	vms := reach.NewIntermediaries()
	local, remote := []string{"l1", "l2", "l3"}, []string{"r1", "r2", "r3"}
	first := make(map[string]int)
	for i := range 6 {
		chosen := vms.Choose(0, local, remote, 4, func(n int) int { return i % n })
		g.Expect(chosen).To(HaveLen(4))
		g.Expect(local).To(ContainElements(chosen[0], chosen[2]))
		g.Expect(remote).To(ContainElements(chosen[1], chosen[3]))
		first[chosen[0]]++
	}
	g.Expect(first).To(Equal(map[string]int{"l1": 2, "l2": 2, "l3": 2}))
}

func TestAVMThatIsOfNoUseIsSetAside(t *testing.T) {
	g := NewWithT(t)
	vms := reach.NewIntermediaries()
	vms.SetAside(0, "l1", time.Second)
	zero := func(int) int { return 0 }
	g.Expect(vms.Choose(0, []string{"l1"}, []string{"r1"}, 2, zero)).To(Equal([]string{"r1"}))
	g.Expect(vms.Choose(time.Second, []string{"l1"}, []string{"r1"}, 2, zero)).To(Equal([]string{"l1", "r1"}))
	g.Expect(vms.Choose(0, nil, nil, 2, zero)).To(BeEmpty())
}

// Guards against searching again, at each connect, among VMs that have lost their paths, and against
// leaving it to one VM to carry all.
func TestVMsThatConnectedAreTriedFirst(t *testing.T) {
	g := NewWithT(t)
	vms := reach.NewIntermediaries()
	local := []string{"l1", "l2", "l3", "l4"}
	vms.Proven(0, "l3")
	first := make(map[string]int)
	for i := range 40 {
		first[vms.Choose(0, local, nil, 4, func(n int) int { return i % n })[0]]++
	}
	g.Expect(first["l3"]).To(Equal(30), "one in four tries another one")
	vms.SetAside(0, "l3", time.Second)
	g.Expect(vms.Choose(0, local, nil, 4, func(int) int { return 0 })).To(Equal([]string{"l1", "l2", "l4"}))
}

// Guards against refusing requests because all other VMs were slow for a moment.
func TestAVMIsTriedThoughAllWereOfNoUse(t *testing.T) {
	g := NewWithT(t)
	vms := reach.NewIntermediaries()
	vms.SetAside(time.Second, "near", 2*time.Second)
	vms.SetAside(time.Second, "far", time.Second)
	first := func(int) int { return 0 }
	g.Expect(vms.Choose(time.Second, []string{"near"}, []string{"far"}, 8, first)).To(Equal([]string{"far"}))
	g.Expect(vms.Choose(5*time.Second, []string{"near"}, []string{"far"}, 8, first)).To(HaveLen(2))
	g.Expect(vms.Choose(time.Second, nil, nil, 8, first)).To(BeEmpty())
}
