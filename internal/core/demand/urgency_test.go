package demand_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
)

// demandOf returns the demand for one service by priority.
func demandOf(byPriority ...demand.Counts) *demand.Overall {
	o := &demand.Overall{Counts: make(map[demand.Key]demand.Counts)}
	for priority, counts := range byPriority {
		o.Counts[demand.Key{Service: "llm", Priority: priority}] = counts
	}
	return o
}

func countsOf(requests, started, refused int64) demand.Counts {
	return demand.Counts{
		Offered: demand.Amount{Requests: requests, Work: 100 * requests},
		Started: demand.Amount{Requests: started, Work: 100 * started},
		Refused: demand.Amount{Requests: refused, Work: 100 * refused},
	}
}

// Guards against less urgent requests being served at some VMs while others refuse more urgent ones.
func TestLessUrgentRequestsGetWhatTheOthersLeave(t *testing.T) {
	g := NewWithT(t)
	fraction := func(o *demand.Overall, priority int) float64 {
		return o.AdmittedFraction(demand.Key{Service: "llm", Priority: priority})
	}
	flood := demandOf(countsOf(1000, 300, 700), countsOf(600, 200, 400), countsOf(400, 100, 300))
	g.Expect(fraction(flood, 0)).To(Equal(1.0), "nothing is more urgent")
	g.Expect(fraction(flood, 1)).To(BeZero())
	g.Expect(fraction(flood, 2)).To(BeZero())

	mild := demandOf(countsOf(300, 250, 50), countsOf(600, 250, 350), countsOf(400, 100, 300))
	g.Expect(fraction(mild, 1)).To(BeNumerically("~", (1.1*600-300)/600, 0.01))
	g.Expect(fraction(mild, 2)).To(BeZero())

	served := demandOf(countsOf(300, 300, 3), countsOf(600, 250, 350))
	g.Expect(fraction(served, 1)).To(Equal(1.0), "the urgent ones are served")
	equal := demandOf(countsOf(900, 250, 650))
	g.Expect(fraction(equal, 0)).To(Equal(1.0), "all have the same priority")
	g.Expect((*demand.Overall)(nil).AdmittedFraction(demand.Key{Service: "llm", Priority: 2})).To(Equal(1.0), "nothing is known")
}
