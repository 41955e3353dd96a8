package edge

import (
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/division"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// Guards against a data centre without requests that VMs take for one whose sums are missing, and to
// which they send nothing: its name is lost on the way, or in an update between complete ones.
func TestDataCentreWithoutRequestsStaysKnown(t *testing.T) {
	g := NewWithT(t)
	key := demand.Key{Service: "llm"}
	overall := &demand.Overall{
		Counts:      map[demand.Key]demand.Counts{key: {Offered: demand.Amount{Requests: 2, Work: 600}, Waiting: demand.Amount{Requests: 1, Work: 300}}},
		DataCentres: map[string]map[demand.Key]demand.Rate{"a": {key: {Offered: 600}}, "b": {}},
	}
	var view demand.View
	for _, complete := range []bool{true, false} {
		sent := overall
		if !complete {
			sent = overall.Short()
		}
		response := &tallyv1.TellResponse{}
		addOverall(response, sent)
		g.Expect(view.Apply(0, decodeOverall(response), complete).DataCentres).To(Equal(overall.DataCentres), "complete: %v", complete)
	}
}

// Guards against a log line that doesn't tell why a service is divided.
func TestDescriptionOfADivision(t *testing.T) {
	g := NewWithT(t)
	g.Expect(describeShares([]division.Share{{DataCentre: "b", Fraction: 0.254}, {DataCentre: "c", Fraction: 0.1}})).To(Equal("b 0.25, c 0.10"))
	g.Expect(describeSites(map[string]division.Site{
		"b": {Capacity: division.Capacity{Total: 100, Free: 90}},
		"a": {Demand: 180, DemandKnown: true, Capacity: division.Capacity{Total: 100}},
	})).To(Equal("a demand 180 capacity 100 free 0, b demand unknown capacity 100 free 90"))
}
