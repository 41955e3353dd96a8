package relay_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/testutil/cutlink"
	"oleandershunt.example/oleandershunt/platform"
)

// Guards against a VM that reaches no server using up the retries of all VMs with attempts that
// never arrive.
func TestAVMThatReachesNoServerTakesNoRetries(t *testing.T) {
	for kind, route := range signalRoutes() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			servers := []*signalServer{{}, {}, {}}
			first, second, third := servers[0].start(t), servers[1].start(t), servers[2].start(t)
			link := cutlink.New()
			vm, dispatcher, configure := newVMWith(t, platform.Requests{}, link.Dial, budget.Options{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second, MinVMs: 1}, route, serviceOf(route), first, second, third)
			configure()
			g.Expect(statusOf(g, vm, "first")).To(Equal(http.StatusOK))
			link.Set(cutlink.Reset)
			const requests = 40
			for i := range requests {
				g.Expect(statusOf(g, vm, fmt.Sprint("r", i))).To(Equal(http.StatusServiceUnavailable))
			}
			counts := budget.Totals(dispatcher.RetryCounts())
			g.Expect(counts["llm"].Retries).To(BeNumerically("<=", len(servers)), "until all were found unreachable")
			g.Expect(counts["llm"].Requests).To(BeNumerically(">", requests))
		})
	}
}
