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

// orderBook is a server that notes its orders.
type orderBook struct {
	report relay.Report
	fails  error
	placed []string
	// asked is what the answers to its orders ask for.
	asked backpressure.Signals
}

func (b *orderBook) Report(context.Context, string) (relay.Report, error) { return b.report, b.fails }

func (b *orderBook) Place(_ context.Context, _, server string, _ relay.Order) (backpressure.Signals, error) {
	b.placed = append(b.placed, server)
	return b.asked, nil
}

func (b *orderBook) Repath(context.Context, string, string, string, chain.Path) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

// Guards against: what a server asks for in its answer to a report or an order is not taken.
func TestWhatAServerAsksForInAnswersToOrdersIsTaken(t *testing.T) {
	leaves := backpressure.Signals{Leaving: true}
	for name, book := range map[string]*orderBook{
		"report": {report: relay.Report{Signals: leaves}}, "failed report": {report: relay.Report{Signals: leaves}, fails: errBusy}, "order": {asked: leaves},
	} {
		g := NewWithT(t)
		d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
		s1 := backends.Server{ID: "s1", Name: "s1", Service: "llm", Address: "s1:1", DataCentre: "a"}
		var left []backends.Server
		d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, s1) })
		p := &placer{parts: Parts{Engines: book}, signals: relay.NewSignals(logr.Discard(), d)}
		_ = p.give(context.Background(), s1, spread.Order{Server: "s1", Layers: api.Layers{From: 0, To: 9}})
		d.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { left = fleet.Servers("llm") })
		g.Expect(left).To(BeEmpty(), name)
	}
}

// Guards against: a server gets an order, which costs, for what it holds already.
func TestAnOrderForWhatAServerHoldsIsNotGiven(t *testing.T) {
	layers := api.Layers{From: 0, To: 9}
	for _, busy := range []bool{false, true} {
		g := NewWithT(t)
		book := &orderBook{report: relay.Report{Layers: layers, Busy: busy}}
		d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
		p := &placer{parts: Parts{Engines: book}, signals: relay.NewSignals(logr.Discard(), d)}
		want := errHeld
		if busy {
			want = errBusy // with an order for something else
		}
		g.Expect(p.give(context.Background(), backends.Server{ID: "s1"}, spread.Order{Server: "s1", Layers: layers})).To(MatchError(want))
		g.Expect(book.placed).To(BeEmpty())
		g.Expect(p.give(context.Background(), backends.Server{ID: "s1"}, spread.Order{Server: "s1", Layers: api.Layers{From: 9, To: 12}}) == nil).To(Equal(!busy))
	}
}

// Symptom: a server gives up layers that it has just loaded. Sequence: it starts again
// under its name between a look at its entry and the order; both lives have taken no
// order. Cause: the order's condition fits the new life, too.
func TestAnOrderForAServersFormerLifeIsNotGiven(t *testing.T) {
	g := NewWithT(t)
	book := &orderBook{report: relay.Report{Started: 2}}
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
	p := &placer{parts: Parts{Engines: book}, signals: relay.NewSignals(logr.Discard(), d)}
	order := spread.Order{Server: "s1@1", Layers: api.Layers{From: 0, To: 9}}
	g.Expect(p.give(context.Background(), backends.Server{ID: "s1@1", Name: "s1", Started: 1}, order)).To(MatchError(errRestarted))
	g.Expect(book.placed).To(BeEmpty())
	g.Expect(p.give(context.Background(), backends.Server{ID: "s1@2", Name: "s1", Started: 2}, order)).To(Succeed())
	g.Expect(book.placed).To(Equal([]string{"s1"}))
}

// Symptom: a server stands empty for 15 s while its data centre refuses half of its
// requests. Sequence: it starts again behind a cut; the call of its first order fails.
// Cause: the order counts as given until four loads could have ended.
func TestAnOrderThatFailedIsDecidedAnewSoon(t *testing.T) {
	g := NewWithT(t)
	table := routes.New(1, routes.Limits{}, nil, []routes.Service{{Name: "llm", Engine: &routes.Engine{
		Layers: 8, LayerMB: 1, LoadTime: time.Minute, Cards: map[string]routes.Card{"card": {MB: 10, Pace: 1, Read: 1}},
	}}}, nil)
	service, _ := table.Service("llm")
	dispatcher := relay.NewDispatcher(bootclock.Now, nil)
	server := backends.Server{ID: "s1", Service: "llm", Address: "s1:1", DataCentre: "a", Card: "card"}
	dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Put(now, server) })
	p := newPlacer(Parts{Engines: &orderBook{fails: context.DeadlineExceeded}, Settings: Settings{DataCentre: "a"}}, dispatcher, nil)

	order := spread.Order{Server: "s1", Layers: api.Layers{From: 0, To: 8}}
	fail := func() time.Duration {
		p.order(context.Background(), service, server, order)
		g.Eventually(p.failed).Should(HaveLen(1))
		p.takeFailures()
		return p.refusals["s1"].until - bootclock.Now()
	}
	g.Expect(fail()).To(BeNumerically("~", refusedFor, refusedFor/2))
	g.Expect(p.pending).To(BeEmpty())
	servers, _, _ := p.servers(service)
	g.Expect(servers).To(BeEmpty(), "it is left alone for a moment")
	g.Expect(fail()).To(BeNumerically("~", 2*refusedFor, refusedFor))

	p.refusals["s1"] = refusedOrder{until: bootclock.Now()}
	servers, _, _ = p.servers(service)
	g.Expect(servers).To(HaveLen(1), "it can be ordered again")
}

// Loads are bounded beside those of other data centres, once there are requests: what is
// loaded before the first one is ready the sooner for all.
func TestLoadsAreBoundedOnceThereAreRequests(t *testing.T) {
	g := NewWithT(t)
	engine := &routes.Engine{Layers: 8, LayerMB: 1, LoadsAtOnce: 4, Cards: map[string]routes.Card{"card": {MB: 10, Pace: 1}}}
	retries := budget.New(budget.Options{Window: 10 * time.Second})
	p := newPlacer(Parts{Settings: Settings{DataCentre: "b"}}, relay.NewDispatcher(bootclock.Now, retries), nil)
	listed := []backends.Server{
		{ID: "s1", DataCentre: "a", LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: 0, To: 5}}}},
		{ID: "s2", DataCentre: "a"},
		{ID: "s3", DataCentre: "b"},
	}
	g.Expect(p.loads(engine, listed)).To(Equal(spread.LoadLimit{}), "nothing is asked yet")
	retries.CountRequest(bootclock.Now(), "llm")
	g.Expect(p.loads(engine, listed)).To(Equal(spread.LoadLimit{
		MaxConcurrent: 3, RemoteCopies: []int{1, 1, 1, 1, 1, 0, 0, 0}, Offset: 1,
	}), "one server elsewhere is empty, and may be loading")
	engine.LoadsAtOnce = 0
	g.Expect(p.loads(engine, listed)).To(Equal(spread.LoadLimit{}))
}
