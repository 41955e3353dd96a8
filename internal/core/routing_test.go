package core_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

// routingMachine returns a machine with one pipeline of 24 layers on servers with
// the given layer ranges.
func routingMachine(t *testing.T, servers map[string]string) *core.Machine {
	documents := []api.Document{
		document("Model", "m", []string{"layers=24", "version=v1"}),
		document("Pipeline", "p", []string{"model=m", "idempotent=true"}),
	}
	for _, name := range []string{"a", "b", "c"} {
		if spec, ok := servers[name]; ok {
			documents = append(documents, document("BackendServer", name, append([]string{"model=m", "tokensPerSecond=100"}, spec)))
		}
	}
	set, err := config.Build(1, documents)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	m := core.New(core.Options{VM: "vm", Seed: 1, MaxAttempts: 4})
	m.Step(0, core.ConfigInForce{Set: set})
	return m
}

func boundIn(actions []core.Action) (core.PipelineBound, bool) {
	i := slices.IndexFunc(actions, func(a core.Action) bool { _, ok := a.(core.PipelineBound); return ok })
	if i < 0 {
		return core.PipelineBound{}, false
	}
	return actions[i].(core.PipelineBound), true
}

// Guards against routing to layers that a server does not hold, and reporting
// capacity that does not exist, when the record lists all layers but the server
// reports that it holds only half of them.
func TestRoutingUsesReportedLayersNotRecord(t *testing.T) {
	g := NewWithT(t)
	m := routingMachine(t, map[string]string{"a": "layers.to=24"})
	bound, ok := boundIn(m.Step(time.Second, core.FleetTick{}))
	g.Expect(ok).To(BeTrue())
	g.Expect(bound.TokensPerSecond).To(BeNumerically("~", 100, 1e-6))
	_, ok = boundIn(m.Step(3*time.Second, core.FleetTick{}))
	g.Expect(ok).To(BeFalse(), "an unchanged bound is not reported again")

	bound, ok = boundIn(m.Step(4*time.Second, core.ServerObserved{
		Server: "a", Witness: "vm", Incarnation: 1, Model: "m", Version: "v1", Layers: api.Layers{From: 0, To: 12},
	}))
	g.Expect(ok).To(BeTrue())
	g.Expect(bound.Missing).To(Equal([]api.Layers{{From: 12, To: 24}}))
	actions := m.Step(7*time.Second, core.RequestArrived{Request: "r", Account: "acc", Pipeline: "p", Idempotent: true, Deadline: time.Minute})
	refusal := slices.IndexFunc(actions, func(a core.Action) bool { r, ok := a.(core.Refuse); return ok && r.Reason == request.ReasonNoPath })
	g.Expect(refusal).To(BeNumerically(">=", 0))
}

// Guards against sending new streams to a full server: after this VM's report of
// its load, another VM's report without a load must not count as zero load.
func TestReportWithoutLoadKeepsKnownLoad(t *testing.T) {
	g := NewWithT(t)
	m := routingMachine(t, map[string]string{"a": "layers.to=24", "b": "layers.to=24"})
	held := core.ServerObserved{Server: "a", Witness: "vm", Incarnation: 1, Model: "m", Version: "v1", Layers: api.Layers{From: 0, To: 24}}
	full := held
	full.Running, full.Waiting = 8, 50
	m.Step(time.Second, full)
	held.Witness, held.LoadUnknown = "other", true
	m.Step(2*time.Second, held)
	for i := range 20 {
		id := request.ID(string(rune('a' + i)))
		for _, action := range m.Step(3*time.Second, core.RequestArrived{Request: id, Account: "acc", Pipeline: "p", Idempotent: true, Deadline: time.Minute}) {
			if dispatch, ok := action.(core.Dispatch); ok {
				g.Expect(dispatch.Path[0].Server).To(Equal("b"))
			}
		}
	}
}
