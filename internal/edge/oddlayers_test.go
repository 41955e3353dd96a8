package edge

import (
	"fmt"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// Guards against a VM that ends each time that it plans the layers, since an entry names some that the model
// doesn't have: another writer's, or a sound server's under a configuration with fewer layers.
func TestLayersBeyondTheModelEndNoVM(t *testing.T) {
	for _, odd := range []api.Layers{{From: 0, To: 9}, {From: 7, To: 20}, {From: 30, To: 40}, {From: 0, To: math.MaxInt}, {From: math.MaxInt - 1, To: math.MaxInt}} {
		t.Run(fmt.Sprint(odd), func(t *testing.T) {
			g := NewWithT(t)
			services := []routes.Service{{Name: "llm", Engine: &routes.Engine{
				Layers: 8, LayerMB: 1, LoadTime: time.Minute, LoadsAtOnce: 1, TokenBytes: 1000, ReadPerSecond: 1000, Step: time.Millisecond,
				Cards: map[string]routes.Card{"card": {MB: 10, Pace: 1, Read: 1}},
			}}}
			d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second}))
			d.SetTable(routes.New(1, routes.Limits{}, nil, services, nil))
			servers := []backends.Server{
				{ID: "odd", Service: "llm", Address: "odd:1", DataCentre: "a", Card: "card", Slots: 4, LayerRanges: []backends.LayerRange{{Layers: odd}}},
				{ID: "elsewhere", Service: "llm", Address: "elsewhere:1", DataCentre: "b", Card: "card", Slots: 4, LayerRanges: []backends.LayerRange{{Layers: odd}}},
				{ID: "half", Service: "llm", Address: "half:1", DataCentre: "a", Card: "card", Slots: 4, LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: 0, To: 4}}}},
			}
			d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, servers, 1) })
			engine := &fakeEngine{}
			p := newPlacer(Options{Settings: Settings{DataCentre: "a"}}, engine, d, nil)
			p.requestsSeen = true
			p.place(t.Context())
			servers = append(servers, backends.Server{ID: "whole", Service: "llm", Address: "whole:1", DataCentre: "a", Card: "card", Slots: 4, LayerRanges: []backends.LayerRange{{Layers: api.Layers{From: 0, To: 8}}}})
			d.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
				_, err := fleet.Path(now, services[0], backends.Request{DataCentre: "a", Prompt: 10, Answer: 10})
				g.Expect(err).To(MatchError(backends.ErrNoServer), "layers 4 to 8 have no holder")
				fleet.Replace(now, servers, 1)
				choice, err := fleet.Path(now, services[0], backends.Request{DataCentre: "a", Prompt: 10, Answer: 10})
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(choice.First.ID).To(Equal("whole"))
				fleet.PromptCapacity(now, services[0])
			})
			p.place(t.Context())
		})
	}
}
