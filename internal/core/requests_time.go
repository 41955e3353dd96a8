package core

import (
	"maps"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

const (
	// usageInterval is how often the accounts' usage is reported to other VMs.
	usageInterval = time.Second
	// usageAccounts limits the accounts in one report.
	usageAccounts = 256
)

// tick handles the timers that have expired.
func (m *Machine) tick(now Time) []Action {
	m.timers.scheduledTick = 0
	m.expirePeeks(now)
	m.evaluateCrashes(now)
	for {
		r, ok := m.popExpired(now)
		if !ok {
			break
		}
		m.timerExpired(now, r)
	}
	m.reportUsage(now)
	return m.finishStep(now)
}

func (m *Machine) timerExpired(now Time, r *request.Request) {
	switch r.State {
	case request.Queued:
		m.endRefused(now, r, request.ReasonDeadline, m.lifecycle.admission.RetryAfter(now, r.Pool, r.Account))
	case request.Claiming:
		m.claimUndecided(now, r)
	case request.Resuming:
		if r.Confirming {
			m.confirmationFailed(now, r)
			return
		}
		m.resume(now, r)
	}
}

func (m *Machine) reportUsage(now Time) {
	if m.lifecycle.nextUsageAt == 0 || now < m.lifecycle.nextUsageAt {
		return
	}
	m.lifecycle.nextUsageAt = 0
	rates := m.lifecycle.admission.LimitedRates(now, usageAccounts)
	if len(rates) == 0 {
		return
	}
	m.lifecycle.nextUsageAt = now + usageInterval
	usage := LocalAccountUsage{Accounts: make([]AccountRate, 0, len(rates))}
	for _, r := range rates {
		usage.Accounts = append(usage.Accounts, AccountRate(r))
	}
	m.emit(usage)
}

func (m *Machine) remoteAccountUsage(now Time, e RemoteAccountUsage) []Action {
	elsewhere := make(map[string]float64, len(e.Elsewhere))
	for _, r := range e.Elsewhere {
		elsewhere[r.Account] = r.PerSecond
	}
	m.lifecycle.admission.SetRemoteRates(now, e.LiveVMs, elsewhere)
	return nil
}

// updatePools passes the number of backend servers of each pool to admission control.
func (m *Machine) updatePools() {
	servers := make(map[string]int)
	for _, server := range m.config.Servers() {
		servers[poolOf(server.BackendServerSpec)]++
	}
	for _, pool := range slices.Sorted(maps.Keys(servers)) {
		count := servers[pool]
		m.lifecycle.admission.SetServers(pool, count)
		m.markFreed(pool)
	}
}

func poolOf(spec api.BackendServerSpec) string {
	if spec.Service != "" {
		return poolService + spec.Service
	}
	return poolModel + spec.Model
}
