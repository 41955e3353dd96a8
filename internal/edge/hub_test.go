package edge

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/lease"
)

// Guards against VMs without sums until membership tells that their hub is gone, which takes
// seconds in a large data centre: the VM ranked next takes its place.
func TestNextVMReplacesASilentHub(t *testing.T) {
	g := NewWithT(t)
	exchanger := &tallyExchanger{self: "vm-9", dataCentre: "a", failures: make(map[string]hubFailures)}
	ranked := []lease.VM{{Name: "vm-1", DataCentre: "a"}, {Name: "vm-2", DataCentre: "a"}, {Name: "vm-3", DataCentre: "b"}}
	hub := func(at time.Duration) string { return exchanger.chooseHub(at, ranked) }
	g.Expect(hub(0)).To(Equal("vm-1"))
	exchanger.recordReport(0, "vm-1", false)
	g.Expect(hub(0)).To(Equal("vm-1"), "one report may be lost")
	exchanger.recordReport(250*time.Millisecond, "vm-1", false)
	g.Expect(hub(300 * time.Millisecond)).To(Equal("vm-2"))
	g.Expect(hub(2*time.Second)).To(Equal("vm-1"), "it is tried again")
	exchanger.recordReport(2*time.Second, "vm-1", false)
	g.Expect(hub(2100 * time.Millisecond)).To(Equal("vm-2"))
	for range maxHubFailures {
		exchanger.recordReport(2100*time.Millisecond, "vm-2", false)
	}
	g.Expect(hub(2200*time.Millisecond)).To(Equal("vm-1"), "all are silent; none of another data centre is used")
	exchanger.recordReport(3*time.Second, "vm-1", true)
	g.Expect(hub(3 * time.Second)).To(Equal("vm-1"))
	g.Expect(exchanger.chooseHub(0, ranked[2:])).To(BeEmpty())
	g.Expect(isRankedHub(ranked, "vm-1")).To(BeTrue())
	g.Expect(isRankedHub(ranked, "vm-2")).To(BeFalse(), "its sum may have no more than its own loads")
}
