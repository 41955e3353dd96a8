package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the histograms, in microseconds.
const (
	lowest  = 1
	highest = int64(10 * time.Minute / time.Microsecond)
	digits  = 3
)

// Quantiles are in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is a run's outcome.
type Report struct {
	Seconds float64 `json:"seconds"`
	// Requests counts the outcomes by kind: "answered", a refusal's reason, or
	// another way to fail; Executions counts the refusals by what they said ran.
	Requests   map[string]int `json:"requests"`
	Executions map[string]int `json:"executions"`
	// FirstToken counts from when a request was due, BetweenTokens from token
	// to token, and LongestPause is each stream's longest gap.
	FirstToken    Quantiles `json:"firstTokenMillis"`
	BetweenTokens Quantiles `json:"betweenTokensMillis"`
	LongestPause  Quantiles `json:"longestPauseMillis"`
	// TokensPerSecond counts the tokens of every stream, whole or not.
	TokensPerSecond float64 `json:"tokensPerSecond"`
	// Examples gives one detail for each kind other than "answered".
	Examples map[string]string `json:"examples,omitempty"`
}

// Bad tells whether any answer was wrong or cut off, or a refusal unclear.
func (r Report) Bad() bool {
	return r.Requests[kindWrong]+r.Requests[kindCut]+r.Requests[kindUnclear] > 0
}

type collector struct {
	first, between, pause *hdrhistogram.Histogram
	tokens                int
	totals                Report
}

func newCollector() *collector {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(lowest, highest, digits) }
	return &collector{
		first: histogram(), between: histogram(), pause: histogram(),
		totals: Report{Requests: map[string]int{}, Executions: map[string]int{}, Examples: map[string]string{}},
	}
}

func (c *collector) add(o outcome) {
	c.totals.Requests[o.kind]++
	if o.execution != "" {
		c.totals.Executions[o.execution]++
	}
	if o.detail != "" {
		c.totals.Examples[o.kind] = o.detail
	}
	c.tokens += o.tokens
	if o.tokens == 0 {
		return
	}
	record(c.first, o.first)
	longest := time.Duration(0)
	for _, gap := range o.gaps {
		record(c.between, gap)
		longest = max(longest, gap)
	}
	record(c.pause, longest)
}

// record counts a time; one beyond the range counts as the longest.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (c *collector) report(took time.Duration) Report {
	r := c.totals
	r.Seconds = took.Seconds()
	r.TokensPerSecond = float64(c.tokens) / took.Seconds()
	r.FirstToken = quantiles(c.first)
	r.BetweenTokens = quantiles(c.between)
	r.LongestPause = quantiles(c.pause)
	return r
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(out io.Writer) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report for people.
func (r Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "seconds\t%.1f\ntokens/s\t%.0f\n\nmilliseconds\tp50\tp95\tp99\tmax\n", r.Seconds, r.TokensPerSecond)
	row := func(name string, q Quantiles) {
		fmt.Fprintf(table, "%s\t%.2f\t%.2f\t%.2f\t%.2f\n", name, q.P50, q.P95, q.P99, q.Max)
	}
	row("first token", r.FirstToken)
	row("between tokens", r.BetweenTokens)
	row("longest pause", r.LongestPause)
	fmt.Fprintln(table, "\nrequests\tcount\texample")
	for _, kind := range slices.Sorted(maps.Keys(r.Requests)) {
		fmt.Fprintf(table, "%s\t%d\t%s\n", kind, r.Requests[kind], r.Examples[kind])
	}
	for _, execution := range slices.Sorted(maps.Keys(r.Executions)) {
		fmt.Fprintf(table, "refused as %s\t%d\t\n", execution, r.Executions[execution])
	}
	return table.Flush()
}
