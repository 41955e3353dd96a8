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

func amountOf(requests int64) demand.Amount {
	return demand.Amount{Requests: requests, Work: 100 * requests}
}

func countsOf(offered, started, refused int64) demand.Counts {
	return demand.Counts{Offered: amountOf(offered), Started: amountOf(started), Refused: amountOf(refused)}
}

func class(priority int, overShare bool) demand.Class {
	return demand.Class{Key: demand.Key{Service: "llm", Priority: priority}, OverShare: overShare}
}

// Guards against less urgent requests being served at some VMs while others refuse more urgent ones.
func TestLessUrgentRequestsGetWhatTheOthersLeave(t *testing.T) {
	g := NewWithT(t)
	flood := demandOf(countsOf(1000, 300, 700), countsOf(600, 200, 400), countsOf(400, 100, 300)).Admitted(nil)
	g.Expect(flood.Fraction(class(0, false))).To(Equal(1.0), "nothing is more urgent")
	g.Expect(flood.Fraction(class(1, false))).To(BeNumerically("~", 600./8/1000, 0.001), "what is reserved")
	g.Expect(flood.Fraction(class(2, false))).To(BeNumerically("~", 600./8/400, 0.001), "what is reserved")

	mild := demandOf(countsOf(300, 250, 50), countsOf(600, 250, 350), countsOf(400, 100, 300)).Admitted(nil)
	g.Expect(mild.Fraction(class(1, false))).To(BeNumerically("~", (0.95*600-300)/600, 0.01))

	served := demandOf(countsOf(300, 300, 3), countsOf(600, 250, 350)).Admitted(nil)
	g.Expect(served.Fraction(class(1, false))).To(Equal(1.0), "the urgent ones are served")
	g.Expect(demandOf(countsOf(900, 250, 650)).Admitted(nil)).To(BeEmpty(), "all have the same priority")
	g.Expect((*demand.Overall)(nil).Admitted(nil).Fraction(class(2, false))).To(Equal(1.0), "nothing is known")
}

// Guards against less urgent requests that are admitted more often than the more urgent ones, because few
// of them come.
func TestLessUrgentRequestsAreNotServedMoreOften(t *testing.T) {
	g := NewWithT(t)
	admitted := demandOf(countsOf(4000, 400, 3600), countsOf(50, 40, 10)).Admitted(nil)
	g.Expect(admitted.Fraction(class(1, false))).To(BeNumerically("<=", 0.1))
	g.Expect(admitted.Fraction(class(1, false))).To(BeNumerically(">", 0), "they aren't left without any")
}

// Guards against requests above the shares of their accounts taking capacity at some VMs while others within
// their shares wait elsewhere.
func TestRequestsOverTheirShareGetWhatTheOthersLeave(t *testing.T) {
	g := NewWithT(t)
	flood := countsOf(1200, 300, 0)
	flood.OverShare, flood.Waiting = amountOf(1000), amountOf(100)
	admitted := demandOf(flood).Admitted(nil)
	g.Expect(admitted.Fraction(class(0, false))).To(Equal(1.0))
	g.Expect(admitted.Fraction(class(0, true))).To(BeNumerically("~", (0.95*300-200)/1000, 0.001))

	flood.Waiting = amountOf(2)
	g.Expect(demandOf(flood).Admitted(nil)).To(BeEmpty(), "what nobody else asks for is theirs")
}
