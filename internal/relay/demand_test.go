package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/share"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/relay"
	netwire "oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// demandTarget is the latency target of the route, within which all requests of a test can start.
const demandTarget = 2 * time.Second

// newDemandVM starts a VM before one server, for the accounts "flood" and "usual" with keys of the same
// name, or for requests without keys.
func newDemandVM(t *testing.T, server *orderServer, keys bool) (vm *httptest.Server, d *relay.Dispatcher, configure func(version uint64, entitlement share.Entitlement)) {
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: demandTarget,
		Priority: 3, Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	service := routes.Service{Name: "llm", Engine: smallEngine()}
	vm, d, _ = newVMWith(t, platform.Requests{}, netwire.Dial, budget.Options{Window: 10 * time.Second, MinVMs: 1}, route, service, listener)
	configure = func(version uint64, entitlement share.Entitlement) {
		var accounts map[string]routes.Account
		if keys {
			accounts = map[string]routes.Account{"flood": {Name: "flood", Entitlement: entitlement}, "usual": {Name: "usual"}}
		}
		d.SetTable(routes.New(version, routes.Limits{}, []routes.Route{route}, []routes.Service{service}, accounts))
	}
	configure(1, share.Entitlement{})
	return vm, d, configure
}

var llm = demand.Key{Service: "llm", Priority: 3}

// floodTally is the sum of other VMs of which the account "flood" asks for far more than its share.
func floodTally() tally.Tally {
	return tally.Tally{VMs: 2, Overall: &demand.Overall{
		Counts: map[demand.Key]demand.Counts{llm: {
			Offered: demand.Amount{Requests: 50, Work: 4_005_000}, Started: demand.Amount{Requests: 1, Work: 20_000}, Refused: demand.Amount{Requests: 9, Work: 9000},
		}},
		Accounts: map[string]demand.Summary{"llm": {Accounts: []demand.Account{{Name: "flood", Work: 4_000_000}, {Name: "usual", Work: 5000}}}},
	}}
}

// callInOrder sends requests one after the other, each once the one before waits or has started.
func callInOrder(t *testing.T, g *WithT, vm *httptest.Server, d *relay.Dispatcher, keys ...string) (wait func()) {
	var callers sync.WaitGroup
	before := d.Demand().Counts[llm].Offered.Requests
	for i, key := range keys {
		callers.Go(func() { call(t.Context(), g, vm, fmt.Sprint(key, i), key) })
		g.Eventually(func() int64 {
			counts := d.Demand().Counts[llm]
			return counts.Started.Requests + counts.Waiting.Requests
		}).WithPolling(time.Millisecond).Should(BeNumerically(">=", before+int64(i)+1))
	}
	return callers.Wait
}

// Guards against a flood whose requests keep the places that they took before the VM knew of it.
func TestRequestsAboveTheShareStartLast(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 120 * time.Millisecond}
	vm, d, _ := newDemandVM(t, server, true)
	wait := callInOrder(t, g, vm, d, "flood", "flood", "flood", "flood", "usual", "usual")
	d.ApplyTally(floodTally())
	exceeded := d.ExceededShares()
	g.Expect(exceeded["llm"]).To(HaveLen(1))
	g.Expect(exceeded["llm"][0].Account).To(Equal("flood"))
	g.Expect(exceeded["llm"][0].PerSecond).To(BeNumerically("~", 12_500, 1), "seven eighths of 20,000, less what the usual account asks for")
	wait()
	order := server.ids()
	g.Expect(order).To(HaveLen(6), "what the usual account leaves goes to the flood")
	g.Expect(order[0]).To(Equal("flood0"))
	g.Expect(slices.Index(order, "usual5")).To(BeNumerically("<", slices.Index(order, "flood2")), "%v", order)
	g.Expect(d.Demand().Counts[llm].Waiting).To(BeZero())
}

// Guards against marks by demand that isn't known any more, and against ones in normal operation.
func TestMarksFollowTheDemandThatIsKnown(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 10 * time.Millisecond}
	vm, d, configure := newDemandVM(t, server, true)
	callInOrder(t, g, vm, d, "flood")()
	d.ApplyTally(floodTally())
	callInOrder(t, g, vm, d, "flood", "flood", "usual")()
	counts := d.Demand().Counts[llm]
	g.Expect(counts.Offered.Requests).To(BeNumerically("==", 4))
	g.Expect(counts.Started.Requests).To(BeNumerically("==", 4), "capacity is left here")
	g.Expect(counts.OverShare.Requests).To(BeNumerically("==", 1), "one of the flood's is within its share")
	g.Expect(d.Demand().Accounts["llm"].Accounts[0].Name).To(Equal("flood"))

	configure(2, share.Entitlement{Weight: 3, Reserved: 0.5})
	d.ApplyTally(floodTally())
	g.Expect(d.ExceededShares()["llm"][0].PerSecond).To(BeNumerically("~", 8750+3*2187.5, 1), "the reserved half, and three quarters of the rest")

	d.ForgetDemand()
	g.Expect(d.ExceededShares()).To(BeEmpty(), "this VM's own requests neither wait nor are refused")
	d.ApplyTally(tally.Tally{VMs: 2})
	g.Expect(d.ExceededShares()).To(BeEmpty(), "a hub of an earlier build")
}

// Guards against requests that are refused for more urgent ones which no route has any more: the sums of all
// VMs have them for some time after a configuration that changes the priority of routes.
func TestNothingIsShedForAPriorityThatNoRouteHas(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: time.Millisecond}
	vm, d, _ := newDemandVM(t, server, true)
	former := demand.Key{Service: "llm", Priority: llm.Priority - 1}
	d.ApplyTally(tally.Tally{VMs: 2, Overall: &demand.Overall{Counts: map[demand.Key]demand.Counts{
		former: {Offered: demand.Amount{Requests: 50, Work: 50_000}, Started: demand.Amount{Requests: 1, Work: 1000}, Refused: demand.Amount{Requests: 49, Work: 49_000}},
		llm:    {Offered: demand.Amount{Requests: 10, Work: 10_000}, Started: demand.Amount{Requests: 10, Work: 10_000}},
	}}})
	const requests = 10
	for i := range requests {
		call(t.Context(), g, vm, fmt.Sprint("usual", i), "usual")
	}
	g.Expect(server.ids()).To(HaveLen(requests))
}

// Guards against other decisions than before where the configuration has no accounts.
func TestNothingIsMarkedWithoutAccounts(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 10 * time.Millisecond}
	vm, d, _ := newDemandVM(t, server, false)
	callInOrder(t, g, vm, d, "flood")()
	overall := floodTally()
	overall.Overall.Accounts = nil // no VM has accounts
	d.ApplyTally(overall)
	callInOrder(t, g, vm, d, "flood", "flood")()
	g.Expect(d.ExceededShares()).To(BeEmpty())
	g.Expect(d.Demand().Counts[llm].OverShare).To(BeZero())
	g.Expect(d.Demand().Accounts).To(BeNil())
}

// Guards against waiting requests that are counted for ever, and against refusals that no VM hears of.
func TestRefusedAndLeavingRequestsAreCounted(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 2500 * time.Millisecond}
	vm, d, _ := newDemandVM(t, server, true)
	wait := callInOrder(t, g, vm, d, "flood")
	status, _, _ := call(t.Context(), g, vm, "late", "usual")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	counts := d.Demand().Counts[llm]
	g.Expect(counts.Refused.Requests).To(BeNumerically("==", 1))
	g.Expect(counts.Waiting).To(BeZero())
	wait()
}
