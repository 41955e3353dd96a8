package core_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/core/route"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// benchMachine returns a machine with a configuration of 30 servers in two stages.
func benchMachine(b *testing.B) *core.Machine {
	var documents []api.Document
	add := func(kind api.Kind, name string, spec any) {
		data, err := json.Marshal(spec)
		if err != nil {
			b.Fatal(err)
		}
		header := api.Header{Kind: kind, SchemaVersion: api.SchemaV1, Name: name}
		documents = append(documents, api.Document{Header: header, Spec: data})
	}
	add(api.KindModel, "m", map[string]any{"layers": 24, "version": "v1"})
	add(api.KindPipeline, "p", map[string]any{"model": "m", "idempotent": true})
	for i := range 30 {
		from := i % 2 * 12
		add(api.KindBackendServer, fmt.Sprint("s", i), map[string]any{
			"address": "127.0.0.1:1", "dataCentre": "d1", "model": "m", "layers": map[string]int{"from": from, "to": from + 12}, "tokensPerSecond": 1000,
		})
	}
	set, err := config.Build(1, documents)
	if err != nil {
		b.Fatal(err)
	}
	m := core.New(core.Options{
		DataCentre: "d1", VM: "a", Policy: route.PolicyLeastInFlight, Seed: 1, MaxAttempts: 4,
		// Every request may be retried once, so that the retry budget delays none.
		Requests: core.RequestOptions{Retries: request.BudgetOptions{Ratio: 1}},
	})
	m.Step(0, core.ConfigInForce{Set: set})
	return m
}

func arrival(id request.ID, idempotent bool, now core.Time) core.RequestArrived {
	return core.RequestArrived{
		Request: id, Account: "a", Pipeline: "p", Idempotent: idempotent,
		Deadline: now + time.Minute, Key: string(id), BodyHash: 7, PromptTokens: 100, MaxTokens: 100,
	}
}

// BenchmarkRequest measures the cost of all decisions on one request: its arrival,
// dispatch and completion, with a claim ("claimed") or one retry ("resumed").
func BenchmarkRequest(b *testing.B) {
	kinds := map[string]func(m *core.Machine, now core.Time, id request.ID){
		"answered": func(m *core.Machine, now core.Time, id request.ID) {
			m.Step(now, arrival(id, true, now))
		},
		"claimed": func(m *core.Machine, now core.Time, id request.ID) {
			m.Step(now, arrival(id, false, now))
			m.Step(now, core.ClaimDecided{Request: id, Verdict: core.VerdictGranted, ValidUntil: now + time.Second})
		},
		"resumed": func(m *core.Machine, now core.Time, id request.ID) {
			m.Step(now, arrival(id, true, now))
			m.Step(now, core.AttemptEnded{Request: id, Attempt: 1, Outcome: request.BadReceipt, Server: "s0", Tokens: 3})
		},
	}
	for _, name := range []string{"answered", "claimed", "resumed"} {
		b.Run(name, func(b *testing.B) {
			m := benchMachine(b)
			attempt := 1
			if name == "resumed" {
				attempt = 2
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				id := request.ID(fmt.Sprint("r", i))
				now := core.Time(i) * 10 * time.Millisecond
				kinds[name](m, now, id)
				m.Step(now, core.AttemptEnded{Request: id, Attempt: attempt, Outcome: request.Completed, Tokens: 20})
			}
			if m.InFlight() != 0 {
				b.Fatalf("%d requests did not end", m.InFlight())
			}
		})
	}
}

// BenchmarkRequestMemory reports the size of the core's state in bytes per request
// in flight.
func BenchmarkRequestMemory(b *testing.B) {
	const inFlight = 900
	for range b.N {
		m := benchMachine(b)
		before := testutil.Heap()
		for i := range inFlight {
			m.Step(0, arrival(request.ID(fmt.Sprintf("request-%028d", i)), true, 0))
		}
		b.ReportMetric(float64(testutil.Heap()-before)/inFlight, "bytes/request")
		if m.InFlight() != inFlight {
			b.Fatalf("%d in flight", m.InFlight())
		}
		runtime.KeepAlive(m)
	}
}
