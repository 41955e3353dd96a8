package gossip_test

import (
	"fmt"
	"math/bits"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/digest"
)

// largeDataCentre starts VMs of one data centre together and waits until they know one another.
func largeDataCentre(t *testing.T, vms int) *cluster {
	c := newCluster(t)
	for i := range vms {
		c.start(fmt.Sprintf("vm-%02d", i), "bornova", 1, c.vms[:min(i, 3)]...)
	}
	c.rounds(20, c.vms...)
	for _, v := range c.vms {
		c.Expect(v.directory.Members()).To(HaveLen(vms), v.name)
	}
	return c
}

// callsIn returns the number of calls that each VM answered in some rounds.
func (c *cluster) callsIn(rounds int) []int64 {
	before := make([]int64, len(c.vms))
	for i, v := range c.vms {
		before[i] = v.calls.Load()
	}
	c.rounds(rounds, c.vms...)
	calls := make([]int64, len(c.vms))
	for i, v := range c.vms {
		calls[i] = v.calls.Load() - before[i]
	}
	return calls
}

// Guards against a second call in each round that returns nothing but heartbeats, which would be
// half of all calls between idle VMs.
func TestIdleRoundTakesOneCall(t *testing.T) {
	const vms, rounds = 24, 40
	c := largeDataCentre(t, vms)
	total := int64(0)
	for _, calls := range c.callsIn(rounds) {
		total += calls
	}
	c.Expect(total).To(BeNumerically("<=", vms*rounds*11/10))
}

// Guards against the settings' contacts answering calls of all VMs all the time: with 984
// VMs each of three contacts took a processor core for it.
func TestContactsAnswerNoMoreCallsThanOthers(t *testing.T) {
	c := largeDataCentre(t, 48)
	calls := c.callsIn(60)
	for _, contact := range calls[:3] {
		c.Expect(contact).To(BeNumerically("<=", 60*2), "a VM answers one call a round in the mean")
	}
}

// Guards against connections of each VM to all others of its data centre.
func TestConnectionsGrowWithTheLogarithmOfTheVMs(t *testing.T) {
	const vms = 64
	c := largeDataCentre(t, vms)
	c.rounds(60, c.vms...)
	accepted := int64(0)
	for _, v := range c.vms[3:] { // the contacts were called by all at the start
		accepted += v.listener.accepted.Load()
	}
	c.Expect(accepted).To(BeNumerically("<=", (vms-3)*(bits.Len(vms)+2)))
}

// Guards against gauges that are taken for heartbeats and never arrive.
func TestGaugesReachAllVMsOfALargeDataCentre(t *testing.T) {
	c := largeDataCentre(t, 24)
	for i, v := range c.vms[:5] {
		v.PutGauge(digest.KeyHash(v.name), uint32(i))
	}
	c.vms[7].SetRelease(3)
	c.rounds(20, c.vms...)
	for _, v := range c.vms {
		for i, from := range c.vms[:5] {
			if v != from {
				c.Expect(v.gauge(from.name)).To(BeEquivalentTo(i), v.name)
			}
		}
		member, _ := v.directory.Member(c.vms[7].name)
		c.Expect(member.Release).To(BeEquivalentTo(3), v.name)
	}
}
