package fleet_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
)

const (
	self   = "vm-1"
	server = "runner-1"
)

// fixture is the view of one VM out of nine, with one backend server.
type fixture struct {
	*WithT
	view *fleet.View
	now  time.Duration
}

func newFixture(t *testing.T) *fixture {
	view := fleet.New(fleet.DefaultOptions(self))
	view.SetRecords([]fleet.Record{{Name: server, DataCentre: "bornova"}})
	view.SetVMs(9)
	f := &fixture{WithT: NewWithT(t), view: view}
	f.changes()
	return f
}

func (f *fixture) changes() fleet.Changes { return f.view.Changes(f.now) }

func (f *fixture) status() fleet.Status {
	f.changes()
	status, ok := f.view.Status(server)
	f.Expect(ok).To(BeTrue())
	return status
}

func (f *fixture) after(d time.Duration) {
	f.now += d
	f.view.Tick(f.now)
}

func (f *fixture) report(incarnation uint64, leaving bool) {
	f.view.ApplyReport(f.now, fleet.Report{Server: server, Incarnation: incarnation, Leaving: leaving})
}

func (f *fixture) peerReports(witness string, reach fleet.Reachability) {
	f.view.SetPeerOpinion(witness, fleet.Opinion{Server: server, Reach: reach})
}

// One VM's link breaks and it reports the server as unreachable. A single witness
// must not stop the other VMs from using a healthy server.
func TestOneBadLinkDoesNotEvictAHealthyServer(t *testing.T) {
	f := newFixture(t)
	f.peerReports("vm-2", fleet.ConnectionRefused)
	changes := f.changes()
	f.Expect(changes.ProbeNow).To(ConsistOf(server), "this VM probes the server itself")
	f.Expect(f.status()).To(And(HaveField("State", fleet.Suspect), HaveField("Eligible", true)))
}

// A VM whose own link to a server is broken must stop using it without waiting for a
// second witness.
func TestAVMStopsUsingAServerThatItCannotReachItself(t *testing.T) {
	f := newFixture(t)
	f.report(1, false)
	f.view.ProbeFailed(f.now, server)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Suspect), HaveField("Eligible", true)), "one timeout is no proof")
	f.view.ProbeFailed(f.now, server)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Suspect), HaveField("Eligible", false)))
	f.report(1, false)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Live), HaveField("Eligible", true)))
}

func TestARefusedConnectionIsProofForTheVMThatSawIt(t *testing.T) {
	f := newFixture(t)
	f.view.ConnectionRefused(f.now, server)
	f.Expect(f.changes().Opinions).To(ConsistOf(fleet.Opinion{Server: server, Reach: fleet.ConnectionRefused}))
	f.Expect(f.status()).To(HaveField("Eligible", false))
}

func TestTwoWitnessesMakeAServerGoneUnlessThisVMReachesIt(t *testing.T) {
	f := newFixture(t)
	f.peerReports("vm-2", fleet.Unresponsive)
	f.peerReports("vm-3", fleet.ConnectionRefused)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Gone), HaveField("Eligible", false)))
	f.report(1, false)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Suspect), HaveField("Eligible", true)))
	f.after(time.Minute)
	f.Expect(f.status()).To(HaveField("State", fleet.Gone), "an old success no longer outweighs the reports")
}

// Two VMs report a server as unreachable and die. Nobody can withdraw their reports
// any more, so they must not keep the server out of use for ever.
func TestOpinionsOfAGoneVMAreRemoved(t *testing.T) {
	f := newFixture(t)
	f.peerReports("vm-2", fleet.Unresponsive)
	f.peerReports("vm-3", fleet.Unresponsive)
	f.Expect(f.status()).To(HaveField("State", fleet.Gone))
	f.view.RemoveWitness("vm-2")
	f.view.RemoveWitness("vm-3")
	f.Expect(f.status()).To(HaveField("State", fleet.Live))
}

// A link flaps, and each time it is up new streams are started on it and break. The
// last probe alone must not decide.
func TestAFlappingLinkIsSuppressedUntilItIsStable(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		f.report(1, false)
		f.view.ProbeFailed(f.now, server)
		f.view.ProbeFailed(f.now, server)
		f.after(time.Second)
	}
	f.report(1, false)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Suspect), HaveField("Eligible", false)))
	f.Expect(f.status().Evidence).To(ConsistOf(fleet.Evidence{Source: fleet.SourceFlapping, Witness: self}))
	f.after(time.Minute)
	f.report(1, false)
	f.Expect(f.status()).To(And(HaveField("State", fleet.Live), HaveField("Eligible", true)))
}

// An engine answers probes while its streams stall, so each request on it waits for
// the silence timeout. Successful probes must not reset the count of failed
// requests.
func TestAnEngineThatAnswersOnlyProbesIsPaused(t *testing.T) {
	f := newFixture(t)
	for range 3 {
		f.view.RequestFailed(f.now, server)
		f.report(1, false)
	}
	f.Expect(f.status()).To(HaveField("Eligible", false))
	f.Expect(f.status().Evidence).To(ConsistOf(fleet.Evidence{Source: fleet.SourceFailedRequests, Witness: self}))
	f.after(time.Minute)
	f.Expect(f.status()).To(HaveField("Eligible", true), "requests try it again")
}

// A VM that is cut off from the platform's list must learn from the others' opinions
// that a server is leaving.
func TestALeavingServerIsKnownToAVMThatCannotSeeTheList(t *testing.T) {
	sees, blind := newFixture(t), newFixture(t)
	sees.view.ApplyPlatformList([]fleet.PlatformEntry{{Name: server, Leaving: true}})
	opinions := sees.changes().Opinions
	sees.Expect(opinions).To(HaveLen(1))
	blind.view.SetPeerOpinion("vm-2", opinions[0])
	blind.Expect(blind.status()).To(And(HaveField("State", fleet.Leaving), HaveField("Eligible", false)))
	blind.view.ApplyPlatformList([]fleet.PlatformEntry{{Name: server, Leaving: true}})
	blind.Expect(blind.changes().Opinions).To(BeEmpty(), "an opinion that is already known is not published again")
}

// A server reports that it is leaving, ends, and a new process starts. The old
// process's report must not keep the new one out of use.
func TestANewProcessIsNotLeavingBecauseTheOldOneWas(t *testing.T) {
	f := newFixture(t)
	f.report(7, true)
	f.view.SetPeerOpinion("vm-2", fleet.Opinion{Server: server, Incarnation: 7, Leaving: true})
	f.Expect(f.status()).To(HaveField("State", fleet.Leaving))
	f.report(8, false)
	changes := f.changes()
	f.Expect(changes.Restarts).To(ConsistOf(fleet.Restart{Server: server, Before: 7, After: 8, Planned: true}))
	f.Expect(f.status()).To(HaveField("State", fleet.Live))
}

// A VM learns from a server that it is leaving, then hands its probes to another VM,
// and the server stays after all. The first VM must not keep publishing the outdated
// report.
func TestAVMThatNoLongerProbesAServerDiscardsItsReport(t *testing.T) {
	f := newFixture(t)
	f.report(1, true)
	f.Expect(f.changes().Opinions).To(ConsistOf(HaveField("Leaving", true)))
	f.view.ProbingStopped(server)
	f.Expect(f.changes().Opinions).To(ConsistOf(fleet.Opinion{Server: server}), "the opinion is withdrawn")
	f.Expect(f.status()).To(HaveField("State", fleet.Live))
}

// After a partition, opinions of several witnesses arrive in different orders and
// more than once. VMs must still reach the same status.
func TestTheStatusDoesNotDependOnTheOrderOfOpinions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reaches := []fleet.Reachability{fleet.ReachabilityUnknown, fleet.Reachable, fleet.Unresponsive, fleet.ConnectionRefused}
		witnesses := []string{"vm-2", "vm-3", "vm-4", "vm-5"}
		opinions := make([]fleet.Opinion, len(witnesses))
		for i := range opinions {
			opinions[i] = fleet.Opinion{
				Server:  server,
				Reach:   rapid.SampledFrom(reaches).Draw(t, "reach"),
				Leaving: rapid.Bool().Draw(t, "leaving"),
			}
		}
		judge := func(order []int) fleet.Status {
			view := fleet.New(fleet.DefaultOptions(self))
			view.SetRecords([]fleet.Record{{Name: server}})
			view.SetVMs(9)
			for _, i := range order {
				view.SetPeerOpinion(witnesses[i], opinions[i])
				view.SetPeerOpinion(witnesses[i], opinions[i])
			}
			view.Changes(0)
			status, _ := view.Status(server)
			return status
		}
		order := rapid.Permutation([]int{0, 1, 2, 3}).Draw(t, "order")
		if got, want := judge(order), judge([]int{0, 1, 2, 3}); !equal(got, want) {
			t.Fatalf("order %v gives %+v, want %+v", order, got, want)
		}
	})
}

func equal(a, b fleet.Status) bool {
	ok, err := BeComparableTo(b).Match(a)
	return ok && err == nil
}

// All ten servers of a rack become unresponsive for three VMs, and return with new
// processes. Servers elsewhere must stay in use, and no old evidence may remain
// after the return.
func TestALostRackIsGoneAndRecovers(t *testing.T) {
	g := NewWithT(t)
	view := fleet.New(fleet.DefaultOptions(self))
	var records []fleet.Record
	for i := range 20 {
		records = append(records, fleet.Record{Name: fmt.Sprintf("runner-%02d", i)})
	}
	view.SetRecords(records)
	view.SetVMs(9)
	expect := func(rack fleet.State) {
		view.Changes(0)
		for i, status := range view.Statuses() {
			want := fleet.Live
			if i < 10 {
				want = rack
			}
			g.Expect(status.State).To(Equal(want), status.Server)
		}
	}
	for _, record := range records[:10] {
		for _, witness := range []string{"vm-2", "vm-3"} {
			view.SetPeerOpinion(witness, fleet.Opinion{Server: record.Name, Incarnation: 1, Reach: fleet.Unresponsive})
		}
	}
	expect(fleet.Gone)
	for _, record := range records[:10] {
		for _, witness := range []string{"vm-2", "vm-3"} {
			view.SetPeerOpinion(witness, fleet.Opinion{Server: record.Name})
		}
		view.ObserveIncarnation(record.Name, 2)
	}
	expect(fleet.Live)
}
