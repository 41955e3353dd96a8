package edge

import (
	"time"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// loggedBudgetFraction is the fraction of the retry budget from which its use is logged.
	loggedBudgetFraction = 0.5
	// budgetLogInterval is the time between two log lines on the budget of a service.
	budgetLogInterval = time.Second
)

// budgetLog logs what this VM believes of the retry budget while much of it is used.
type budgetLog struct {
	loggedAt map[string]time.Duration
}

// record logs the uses that are due.
func (l *budgetLog) record(log logr.Logger, now time.Duration, uses []budget.Use) {
	for _, use := range uses {
		at, logged := l.loggedAt[use.Service]
		if use.Fraction() < loggedBudgetFraction || logged && now-at < budgetLogInterval {
			continue
		}
		if l.loggedAt == nil {
			l.loggedAt = make(map[string]time.Duration)
		}
		l.loggedAt[use.Service] = now
		telemetry.RetryBudgetUsed.Log(log, "service", use.Service, "limit", use.Limit,
			"requests", use.Own.Requests, "retries", use.Own.Retries, "othersRequests", use.Peers.Requests, "othersRetries", use.Peers.Retries,
			"absentRequests", use.Absent.Requests, "absentRetries", use.Absent.Retries,
			"countsAgeMs", use.CountsAge.Milliseconds(), "vms", use.VMs, "slackVMs", use.SlackVMs)
	}
}
