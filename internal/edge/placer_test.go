package edge

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/spread"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// fakeEngine is a backend server that records its orders.
type fakeEngine struct {
	report  relay.Report
	err     error
	ordered []string
	// signals are the signals in the responses to orders.
	signals backpressure.Signals
}

func (e *fakeEngine) Report(context.Context, string) (relay.Report, error) { return e.report, e.err }

func (e *fakeEngine) Place(_ context.Context, _, server string, _ relay.Order) (backpressure.Signals, error) {
	e.ordered = append(e.ordered, server)
	return e.signals, nil
}

func (e *fakeEngine) Repath(context.Context, string, string, string, chain.Path) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

// Guards against ignoring a server's signals in its response to a report or an order.
func TestSignalsInOrderResponsesAreApplied(t *testing.T) {
	leaves := backpressure.Signals{Leaving: true}
	for name, engine := range map[string]*fakeEngine{
		"report": {report: relay.Report{Signals: leaves}}, "failed report": {report: relay.Report{Signals: leaves}, err: errBusy}, "order": {signals: leaves},
	} {
		g := NewWithT(t)
		d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
		s1 := backends.Server{ID: "s1", Name: "s1", Service: "llm", Address: "s1:1", DataCentre: "a"}
		var left []backends.Server
		d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, s1) })
		p := &placer{parts: Options{Engines: engine}, signals: relay.NewSignals(logr.Discard(), d)}
		_ = p.sendOrder(context.Background(), s1, spread.Order{Server: "s1", Layers: api.Layers{From: 0, To: 9}})
		d.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { left = fleet.Servers("llm") })
		g.Expect(left).To(BeEmpty(), name)
	}
}

// Guards against sending a server an order, which is costly, for layers that it already
// holds.
func TestOrderForLayersAlreadyHeldIsNotSent(t *testing.T) {
	layers := api.Layers{From: 0, To: 9}
	for _, busy := range []bool{false, true} {
		g := NewWithT(t)
		engine := &fakeEngine{report: relay.Report{Layers: layers, Busy: busy}}
		d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
		p := &placer{parts: Options{Engines: engine}, signals: relay.NewSignals(logr.Discard(), d)}
		want := errAlreadyHeld
		if busy {
			want = errBusy // with another order
		}
		g.Expect(p.sendOrder(context.Background(), backends.Server{ID: "s1"}, spread.Order{Server: "s1", Layers: layers})).To(MatchError(want))
		g.Expect(engine.ordered).To(BeEmpty())
		g.Expect(p.sendOrder(context.Background(), backends.Server{ID: "s1"}, spread.Order{Server: "s1", Layers: api.Layers{From: 9, To: 12}}) == nil).To(Equal(!busy))
	}
}

// Guards against a server that drops layers that it just loaded: it restarts under its
// name between the read of its entry and the order. Neither process has executed an order,
// so the order's expected count matches the new process, too.
func TestOrderForPreviousServerProcessIsNotSent(t *testing.T) {
	g := NewWithT(t)
	engine := &fakeEngine{report: relay.Report{Started: 2}}
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
	p := &placer{parts: Options{Engines: engine}, signals: relay.NewSignals(logr.Discard(), d)}
	order := spread.Order{Server: "s1@1", Layers: api.Layers{From: 0, To: 9}}
	g.Expect(p.sendOrder(context.Background(), backends.Server{ID: "s1@1", Name: "s1", Started: 1}, order)).To(MatchError(errRestarted))
	g.Expect(engine.ordered).To(BeEmpty())
	g.Expect(p.sendOrder(context.Background(), backends.Server{ID: "s1@2", Name: "s1", Started: 2}, order)).To(Succeed())
	g.Expect(engine.ordered).To(Equal([]string{"s1"}))
}

// Guards against a server without layers for 15 s while its data centre refuses half of
// its requests: the server restarts behind a network partition, the call of its first
// order fails, and the order counts as pending until four loads could have ended.
func TestFailedOrderIsRetriedAfterBackoff(t *testing.T) {
	g := NewWithT(t)
	table := routes.New(1, routes.Limits{}, nil, []routes.Service{{Name: "llm", Engine: &routes.Engine{
		Layers: 8, LayerMB: 1, LoadTime: time.Minute, Cards: map[string]routes.Card{"card": {MB: 10, Pace: 1, Read: 1}},
	}}}, nil)
	service, _ := table.Service("llm")
	dispatcher := relay.NewDispatcher(bootclock.Now, nil)
	server := backends.Server{ID: "s1", Service: "llm", Address: "s1:1", DataCentre: "a", Card: "card"}
	dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, server) })
	p := newPlacer(Options{Engines: &fakeEngine{err: context.DeadlineExceeded}, Settings: Settings{DataCentre: "a"}}, dispatcher, nil)

	order := spread.Order{Server: "s1", Layers: api.Layers{From: 0, To: 8}}
	fail := func() time.Duration {
		p.startOrder(context.Background(), service, server, order)
		g.Eventually(p.failures).Should(HaveLen(1))
		p.processFailures()
		return p.refusals["s1"].until - bootclock.Now()
	}
	g.Expect(fail()).To(BeNumerically("~", minRefusalBackoff, minRefusalBackoff/2))
	g.Expect(p.pending).To(BeEmpty())
	servers, _, _ := p.servers(service)
	g.Expect(servers).To(BeEmpty(), "no order during the backoff")
	g.Expect(fail()).To(BeNumerically("~", 2*minRefusalBackoff, minRefusalBackoff))

	p.refusals["s1"] = refusal{until: bootclock.Now()}
	servers, _, _ = p.servers(service)
	g.Expect(servers).To(HaveLen(1), "it can be ordered again")
}

// The limit of loads takes other data centres into account and applies only after the
// first request: what is loaded before is ready sooner.
func TestLoadsAreLimitedOnceThereAreRequests(t *testing.T) {
	g := NewWithT(t)
	engine := &routes.Engine{Layers: 8, LayerMB: 1, LoadsAtOnce: 4, Cards: map[string]routes.Card{"card": {MB: 10, Pace: 1}}}
	retries := budget.New(budget.Options{Window: 10 * time.Second})
	p := newPlacer(Options{Settings: Settings{DataCentre: "b"}}, relay.NewDispatcher(bootclock.Now, retries), nil)
	listed := []backends.Server{
		{ID: "s1", DataCentre: "a", LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: 0, To: 5}}}},
		{ID: "s2", DataCentre: "a"},
		{ID: "s3", DataCentre: "b"},
	}
	g.Expect(p.loadLimit(engine, listed)).To(Equal(spread.LoadLimit{}), "no requests yet")
	retries.CountRequest(bootclock.Now(), "llm")
	g.Expect(p.loadLimit(engine, listed)).To(Equal(spread.LoadLimit{
		MaxConcurrent: 3, RemoteCopies: []int{1, 1, 1, 1, 1, 0, 0, 0}, Offset: 1,
	}), "one empty server elsewhere may be loading")
	engine.LoadsAtOnce = 0
	g.Expect(p.loadLimit(engine, listed)).To(Equal(spread.LoadLimit{}))
}
