package loop_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/loop"
)

// Guards against a loop that steps the machine only on posted events: a request whose
// claim is never answered would never be refused if no other event arrives.
func TestLoopSendsTheTicksThatTheMachineSchedules(t *testing.T) {
	g := NewWithT(t)
	document := func(kind api.Kind, name, spec string) api.Document {
		return api.Document{Header: api.Header{Kind: kind, SchemaVersion: api.SchemaV1, Name: name}, Spec: []byte(spec)}
	}
	set, err := config.Build(1, []api.Document{
		document(api.KindModel, "m", `{"layers":4,"version":"v1"}`),
		document(api.KindPipeline, "p", `{"model":"m"}`),
	})
	g.Expect(err).NotTo(HaveOccurred())
	l := loop.New(core.New(core.Options{MaxAttempts: 1}))
	claims := make(chan core.Claim, 1)
	l.Handle(func(action core.Action) {
		if claim, ok := action.(core.Claim); ok {
			claims <- claim
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	actions := l.Open("r")
	go func() { _ = l.Run(ctx) }()
	l.Post(core.ConfigInForce{Set: set})
	l.Post(core.RequestArrived{Request: "r", Account: "a", Pipeline: "p", Deadline: l.Now() + 50*time.Millisecond})
	g.Eventually(claims).Should(Receive(HaveField("Request", request.ID("r"))))
	g.Eventually(actions, "10s").Should(Receive(HaveField("Reason", request.ReasonClaimUndecided)))
}
