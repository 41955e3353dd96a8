package tally_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// demandTally returns the tally of a VM that was offered work, and refused some of it.
func demandTally(vms int, account string, work int64) tally.Tally {
	t := newTally(vms, 100, 1)
	t.Demand = demand.Report{
		Counts: map[demand.Key]demand.Counts{{Service: "llm"}: {
			Offered: demand.Amount{Requests: 2, Work: work}, Started: demand.Amount{Requests: 1, Work: work / 2}, Refused: demand.Amount{Requests: 1, Work: 1},
		}},
		Accounts: map[string]demand.Summary{"llm": {Accounts: []demand.Account{{Name: account, Work: work}}}},
	}
	return t
}

// Guards against demand of VMs that are gone, which would take shares from others, and against a VM
// that restarts and counts twice.
func TestDemandIsThatOfLiveVMs(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	hub.Report(0, "vm-1", demandTally(1, "x", 100))
	hub.Report(0, "vm-2", demandTally(1, "y", 30))
	hub.ReportRemote(0, "b", demandTally(3, "x", 40))
	overall := hub.SumExcept(0, "vm-1").Overall
	g.Expect(overall.Service("llm").Offered).To(Equal(demand.Amount{Requests: 6, Work: 170}), "its own included")
	g.Expect(overall.Rate("llm", "a")).To(Equal(demand.Rate{Offered: 130, Started: 65}))
	g.Expect(overall.Rate("llm", "b")).To(Equal(demand.Rate{Offered: 40, Started: 20}))
	g.Expect(overall.Accounts["llm"].Accounts).To(Equal([]demand.Account{{Name: "x", Work: 140}, {Name: "y", Work: 30}}))
	g.Expect(hub.LocalSum(0).Demand.Accounts["llm"].Accounts).To(Equal([]demand.Account{{Name: "x", Work: 100}, {Name: "y", Work: 30}}))

	restarted := demandTally(1, "y", 5)
	restarted.Process = 9
	hub.Report(tally.ReportTTL/2, "vm-2", restarted)
	g.Expect(hub.SumExcept(tally.ReportTTL/2, "vm-1").Overall.Service("llm").Offered.Work).To(BeNumerically("==", 145))
	left := hub.SumExcept(tally.ReportTTL+time.Millisecond, "vm-1").Overall
	g.Expect(left.Service("llm").Offered.Work).To(BeNumerically("==", 5), "the others are gone")
	g.Expect(left.DataCentres).NotTo(HaveKey("b"))
	g.Expect(hub.SumExcept(2*tally.ReportTTL, "vm-1").Overall).To(BeNil())
	g.Expect(hub.LocalSum(2 * tally.ReportTTL).Demand).To(Equal(demand.Report{}))
	g.Expect(tally.NewHub("a", 2, anyServer).SumExcept(0, "vm-1").Overall).To(BeNil(), "a hub that has started")
}

// Guards against a hub whose memory grows with every account that ever asked for something.
func TestHubForgetsAccounts(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	for i := range 1000 {
		hub.Report(time.Duration(i)*time.Millisecond, "vm-1", demandTally(1, fmt.Sprint("account-", i), 10))
	}
	g.Expect(hub.SumExcept(time.Second, "vm-2").Overall.Accounts["llm"]).To(Equal(demand.Summary{Accounts: []demand.Account{{Name: "account-999", Work: 10}}}))
}
