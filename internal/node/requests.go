package node

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/admit"
	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/settings"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// addRequests joins the core's decisions about requests to what carries them
// out: the journal and the counts by decision.
func addRequests(p *parts) {
	p.loop.Handle(func(action core.Action) {
		switch a := action.(type) {
		case core.Note:
			p.journal.Add(a)
			countDecision(a)
		case core.PublishPoisonFinding:
			logFinding(p.log, a.Finding)
		}
	})
}

func logFinding(log logr.Logger, finding core.PoisonFinding) {
	event := telemetry.BodySuspected
	if finding.Condemned {
		event = telemetry.BodyCondemned
	}
	event.Log(log, "account", finding.Account, "pipeline", finding.Pipeline, "body", finding.BodyHash,
		"crashes", finding.Crashes, "server", finding.Server)
}

func countDecision(note core.Note) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`oleandershunt_request_steps_total{step=%q,reason=%q}`, note.Step, note.Reason)).Inc()
}

// requestOptions are the core's settings of admission and poison.
func requestOptions(s settings.Settings) core.RequestOptions {
	return core.RequestOptions{
		Admission: admit.Options{
			PerServer:      s.Admission.PerServer,
			FloorPerServer: s.Admission.FloorPerServer,
			MaxQueued:      s.Admission.MaxQueued,
		},
		Poison: poison.Options{
			SuspectTime:   s.Poison.SuspectTime,
			CondemnedTime: s.Poison.CondemnedTime,
		},
	}
}
