package tally_test

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/ratelimit"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// ratesModel is a hub and the reports that count, by VM.
type ratesModel struct {
	hub      *tally.Hub
	now      time.Duration
	reported map[string]rateReport
}

type rateReport struct {
	at    time.Duration
	rates map[string]ratelimit.Report
}

// report lets a VM report rates observed at any time so far, so that its report can also be older
// than the one before.
func (m *ratesModel) report(t *rapid.T) {
	vm := fmt.Sprint("vm-", rapid.IntRange(0, 3).Draw(t, "vm"))
	rates := make(map[string]ratelimit.Report)
	for range rapid.IntRange(0, 3).Draw(t, "servers") {
		at := rapid.Int64Range(0, int64(m.now)).Draw(t, "observed")
		rates[fmt.Sprint("s", rapid.IntRange(0, 2).Draw(t, "server"))] = ratelimit.Report{PerSecond: float64(at), ObservedAt: time.Duration(at)}
	}
	m.hub.Report(m.now, vm, tally.Tally{VMs: 1, Rates: rates})
	m.reported[vm] = rateReport{m.now, rates}
}

// newest returns the newest rate of each server among the reports that count.
func (m *ratesModel) newest() map[string]ratelimit.Report {
	newest := make(map[string]ratelimit.Report)
	for _, report := range m.reported {
		if m.now > report.at+tally.ReportTTL {
			continue
		}
		for id, rate := range report.rates {
			if known, ok := newest[id]; !ok || rate.ObservedAt > known.ObservedAt {
				newest[id] = rate
			}
		}
	}
	return newest
}

// Guards against a rate that stays known, or is lost, after the VM that reported it last reports an
// older one, reports it no more or falls silent.
func TestNewestRateAmongAllReportsIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &ratesModel{hub: tally.NewHub("a", 1, anyServer), now: 1, reported: make(map[string]rateReport)}
		t.Repeat(map[string]func(*rapid.T){
			"report": m.report,
			"wait":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				known, expected := m.hub.SumExcept(m.now, "vm-9").Rates, m.newest()
				if !maps.Equal(known, expected) {
					t.Fatalf("%v, expected %v", known, expected)
				}
			},
		})
	})
}

// BenchmarkRates answers a VM while all others report the rates of the same servers.
func BenchmarkRates(b *testing.B) {
	for _, vms := range []int{63, 207, 414} {
		b.Run(fmt.Sprint("vms=", vms), func(b *testing.B) {
			hub := tally.NewHub("a", 1, anyServer)
			for i := range vms {
				rates := make(map[string]ratelimit.Report)
				for j := range 50 {
					rates[fmt.Sprint("s", j)] = ratelimit.Report{PerSecond: 100, ObservedAt: time.Duration(i)}
				}
				hub.Report(0, fmt.Sprint("vm-", i), tally.Tally{VMs: 1, Rates: rates})
			}
			for b.Loop() {
				hub.Update(0, "vm-0", tally.LoadVersions{}, false)
			}
		})
	}
}
