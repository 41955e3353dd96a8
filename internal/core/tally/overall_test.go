package tally

import (
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
)

// Guards against taking a data centre without requests for one whose sums are missing: the first can
// take requests of others, and of the second nothing is known.
func TestOverallNamesTheDataCentresThatReport(t *testing.T) {
	g := NewWithT(t)
	hub := NewHub("a", 1, func(string) bool { return true })
	key := demand.Key{Service: "llm"}
	report := demand.Report{Counts: map[demand.Key]demand.Counts{key: {Offered: demand.Amount{Requests: 2, Work: 600}}}}
	hub.ReportRemote(0, "b", Tally{VMs: 1, Demand: report})
	hub.ReportRemote(0, "c", Tally{VMs: 1})
	overall := hub.SumExcept(0, "vm").Overall
	g.Expect(overall.DataCentres).To(Equal(map[string]map[demand.Key]demand.Rate{"a": {}, "b": {key: {Offered: 600}}, "c": {}}))
	hub.ReportRemote(2*ReportTTL, "c", Tally{VMs: 1, Demand: report})
	overall = hub.SumExcept(2*ReportTTL, "vm").Overall
	g.Expect(overall.DataCentres).To(HaveKey("c"))
	g.Expect(overall.DataCentres).NotTo(HaveKey("b"), "its report has expired")
}
