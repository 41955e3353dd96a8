package tally_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// Guards against VMs that keep offering requests to the servers of a partitioned data centre,
// each until it has found out by itself: its hub and the VMs after it do not answer, and that
// must be enough to conclude that it is unreachable.
func TestDataCentreIsUnreachableIfItsVMsDoNotAnswer(t *testing.T) {
	g := NewWithT(t)
	reach := tally.NewReachability()
	reach.RecordNoAnswer(0, "b", "b1", 4)
	g.Expect(reach.Unreachable(0)).To(BeEmpty(), "only b1 may have failed")
	others := tally.OtherWitnesses("b1", []string{"b1", "b2", "b3", "b4"})
	g.Expect(others).To(Equal([]string{"b2", "b3"}))
	for _, vm := range others {
		reach.RecordNoAnswer(250*time.Millisecond, "b", vm, 4)
	}
	g.Expect(reach.Unreachable(300 * time.Millisecond)).To(Equal([]string{"b"}))
	reach.RecordNoAnswer(500*time.Millisecond, "c", "c1", 4)
	g.Expect(reach.Unreachable(500 * time.Millisecond)).To(Equal([]string{"b"}))
	reach.RecordAnswer("b")
	g.Expect(reach.Unreachable(500*time.Millisecond)).To(BeEmpty(), "one answer is enough")
}

// Guards against leaving out the servers of a reachable data centre because only its hub does
// not answer for long, or because all its VMs did not answer long ago.
func TestLostHubDoesNotMakeDataCentreUnreachable(t *testing.T) {
	g := NewWithT(t)
	reach := tally.NewReachability()
	for at := range 5 {
		reach.RecordNoAnswer(time.Duration(at)*250*time.Millisecond, "b", "b1", 4)
	}
	g.Expect(reach.Unreachable(time.Second)).To(BeEmpty())
	for _, vm := range []string{"c1", "c2", "c3"} {
		reach.RecordNoAnswer(time.Second, "c", vm, 4)
	}
	g.Expect(reach.Unreachable(time.Second)).To(Equal([]string{"c"}))
	g.Expect(reach.Unreachable(2*time.Second+time.Millisecond)).To(BeEmpty(), "the last timeout is too old")
	g.Expect(tally.OtherWitnesses("d1", []string{"d1"})).To(BeEmpty())
}

// Guards against a fixed number of unresponsive VMs: in a data centre of two VMs or one, a
// partition would never be detected, or each restart of the only VM would count as one.
func TestSmallDataCentresNeedFewerWitnesses(t *testing.T) {
	g := NewWithT(t)
	reach := tally.NewReachability()
	reach.RecordNoAnswer(0, "b", "b1", 2)
	reach.RecordNoAnswer(0, "c", "c1", 1)
	g.Expect(reach.Unreachable(0)).To(BeEmpty())
	reach.RecordNoAnswer(0, "b", "b2", 2)
	g.Expect(reach.Unreachable(0)).To(Equal([]string{"b"}))
}
