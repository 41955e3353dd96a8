package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// divisionRig is a VM of data centre a with a model service in two data centres.
type divisionRig struct {
	*WithT
	now     time.Duration
	d       *Dispatcher
	handler *Handler
	service routes.Service
	// capacity is the work per second that a data centre takes.
	capacity float64
}

func newDivisionRig(t *testing.T, engine *routes.Engine) *divisionRig {
	r := &divisionRig{WithT: NewWithT(t), service: routes.Service{Name: "llm", Engine: engine}}
	r.d = NewDispatcher(func() time.Duration { return r.now }, budget.New(budget.Options{Window: 10 * time.Second}))
	r.d.SetDataCentre("a")
	shares := []routes.Share{{Service: "llm", Weight: 1}}
	r.d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{
		{Host: "a.example", Prefix: "/urgent/", Shares: shares}, {Host: "a.example", Prefix: "/other/", Priority: 1, Shares: shares},
	}, []routes.Service{r.service}, nil))
	r.handler = New(Options{Log: logr.Discard(), Dispatcher: r.d, DataCentre: "a"})
	var list []backends.Server
	for _, dataCentre := range []string{"a", "b"} {
		list = append(list, backends.Server{
			ID: dataCentre + "1", Service: "llm", Address: dataCentre + ":1", DataCentre: dataCentre, Card: "fast",
			LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: 0, To: 10}, Version: 1}},
		})
	}
	r.d.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		fleet.Replace(now, list, 1)
		r.capacity = fleet.Capacities(now, []routes.Service{r.service})["llm"].Sites["a"].Total
	})
	return r
}

func divisionEngine() *routes.Engine {
	return &routes.Engine{
		Layers: 10, LayerMB: 1000, TokenBytes: 100_000, Step: 5 * time.Millisecond, ReadPerSecond: 10_000, TypicalPrompt: 800, TypicalAnswer: 200,
		Cards: map[string]routes.Card{"fast": {MB: 12_000, Pace: 1, Read: 1}},
	}
}

// tell applies tallies in which the demand at home is a multiple of the capacity, and the memory of
// the servers at home is used.
func (r *divisionRig) tell(multiple float64) {
	r.d.demand.counter.Offered(r.now, demand.Key{Service: "llm"}, "", 1)
	r.d.ApplyTally(tally.Tally{
		VMs:   1,
		Loads: map[string]backends.Usage{"a1": {Memory: r.usedMemory(multiple)}},
		Overall: &demand.Overall{DataCentres: map[string]map[demand.Key]demand.Rate{
			"a": {{Service: "llm"}: {Offered: int64(multiple * r.capacity / 2)}, {Service: "llm", Priority: 1}: {Offered: int64(multiple * r.capacity / 2)}},
			"b": {},
		}},
	})
}

func (r *divisionRig) usedMemory(multiple float64) float64 {
	if r.service.Engine == nil {
		return 0
	}
	return min(multiple, 0.9) * r.service.Engine.RequestCapacity(r.service.Engine.Cards["fast"], 10)
}

// preferredElsewhere returns the fraction of new requests that are to start in data centre b.
func (r *divisionRig) preferredElsewhere() float64 {
	const requests = 2000
	count := 0
	for range requests {
		if r.handler.choiceRequest(&exchange{service: r.service}).Preferred == "b" {
			count++
		}
	}
	return float64(count) / requests
}

// Guards against requests that queue or are refused at home while another data centre is idle, and
// against traffic between data centres while demand fits.
func TestRequestsAreDividedWhenDemandExceedsCapacity(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	r.Expect(r.preferredElsewhere()).To(BeZero(), "no tally yet")
	r.tell(0.8)
	r.Expect(r.preferredElsewhere()).To(BeZero())
	r.Expect(r.d.TakeDivisionChanges()).To(BeEmpty())
	for range 20 {
		r.now += 250 * time.Millisecond
		r.tell(1.8)
	}
	r.Expect(r.preferredElsewhere()).To(BeNumerically("~", 0.5, 0.06))
	changes := r.d.TakeDivisionChanges()
	r.Expect(changes).To(HaveLen(1))
	r.Expect(changes[0].Divided).To(BeTrue())
	r.Expect(r.d.TakeDivisionChanges()).To(BeEmpty(), "taken")
	x := &exchange{service: r.service, preferred: "b"}
	r.Expect(r.handler.choiceRequest(x).Preferred).To(Equal("b"), "drawn once for all attempts")
	choice, err := r.d.preview(r.service, r.handler.choiceRequest(x))
	r.Expect(err).NotTo(HaveOccurred())
	r.Expect(choice.First.DataCentre).To(Equal("b"))
	r.d.SetUnreachable([]string{"b"})
	r.Expect(r.handler.choiceRequest(x).Preferred).To(Equal("a"), "its data centre was lost")
}

// Guards against an idle VM that goes through thousands of servers although it gets no requests.
func TestAnIdleVMCalculatesNoCapacities(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	r.d.ApplyTally(tally.Tally{VMs: 1, Overall: &demand.Overall{DataCentres: map[string]map[demand.Key]demand.Rate{
		"a": {}, "b": {{Service: "llm"}: {Offered: 1000}},
	}}})
	r.Expect(r.d.division.capacities).To(BeNil())
	r.tell(0.8)
	r.Expect(r.d.division.capacities).NotTo(BeNil())
}

// Guards against a plan by capacities that were calculated before a server was lost.
func TestCapacityIsCalculatedAnew(t *testing.T) {
	r := newDivisionRig(t, divisionEngine())
	r.tell(0.8)
	r.d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Suspect(now, "b1", time.Minute) })
	for range 12 {
		r.now += 250 * time.Millisecond
		r.tell(1.8)
	}
	r.Expect(r.preferredElsewhere()).To(BeZero(), "no server is left elsewhere")
}

// Guards against requests that are sent to a lost data centre, or by an old plan once the hub is lost
// or replaced by one of an older build.
func TestDivisionEndsWithoutTalliesOrReach(t *testing.T) {
	for name, lose := range map[string]func(*divisionRig){
		"cut off at full load": func(r *divisionRig) {
			r.d.SetUnreachable([]string{"b"})
			r.tell(1.8)
		},
		"hub lost": func(r *divisionRig) { r.now += 1501 * time.Millisecond },
		"hub of an older build": func(r *divisionRig) {
			for range 20 {
				r.now += 250 * time.Millisecond
				r.d.ApplyTally(tally.Tally{VMs: 1})
			}
		},
		"sums of the other data centre missing": func(r *divisionRig) {
			for range 20 {
				r.now += 250 * time.Millisecond
				r.d.ApplyTally(tally.Tally{VMs: 1, Overall: &demand.Overall{DataCentres: map[string]map[demand.Key]demand.Rate{
					"a": {{Service: "llm"}: {Offered: int64(1.8 * r.capacity)}},
				}}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newDivisionRig(t, divisionEngine())
			for range 20 {
				r.now += 250 * time.Millisecond
				r.tell(1.8)
			}
			r.Expect(r.preferredElsewhere()).To(BeNumerically(">", 0.4))
			lose(r)
			r.Expect(r.preferredElsewhere()).To(BeZero())
		})
	}
}

// Guards against changed decisions of deployments without engine figures.
func TestNothingIsDividedWithoutEngines(t *testing.T) {
	r := newDivisionRig(t, nil)
	r.capacity = 100
	for i := range 20 {
		r.now += 250 * time.Millisecond
		r.tell(1.8)
		r.Expect(r.preferredElsewhere()).To(BeZero(), fmt.Sprint(i))
	}
}
