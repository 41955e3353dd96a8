package claims

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core"
)

// serviceMetrics are what a VM publishes of its claims.
type serviceMetrics struct {
	commit         *metrics.Histogram
	decision       *metrics.Histogram
	settlesDropped *metrics.Counter
}

func newServiceMetrics(s *Service) serviceMetrics {
	label := fmt.Sprintf("{vm=%q}", s.self.Name)
	metrics.GetOrCreateGauge("oleandershunt_claim_shards_owned"+label, nil).Set(0)
	return serviceMetrics{
		commit:         metrics.GetOrCreateHistogram("oleandershunt_claim_journal_seconds" + label),
		decision:       metrics.GetOrCreateHistogram("oleandershunt_claim_decision_seconds" + label),
		settlesDropped: metrics.GetOrCreateCounter("oleandershunt_claim_settlements_dropped_total" + label),
	}
}

func (m serviceMetrics) decided(verdict core.Verdict, started time.Time) {
	m.decision.UpdateDuration(started)
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_claims_total{verdict=%q}", verdict)).Inc()
}

func (m serviceMetrics) peeked(verdict core.Verdict) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_claim_peeks_total{verdict=%q}", verdict)).Inc()
}

// publish sets the gauges.
func (s *Service) publish() {
	label := fmt.Sprintf("{vm=%q}", s.self.Name)
	keys := 0
	for _, h := range s.allHosts() {
		keys += h.view.Load().keys
	}
	metrics.GetOrCreateGauge("oleandershunt_claim_shards_owned"+label, nil).Set(float64(s.owned()))
	metrics.GetOrCreateGauge("oleandershunt_claim_keys"+label, nil).Set(float64(keys))
}
