package capacity

import (
	"fmt"
	"strings"
)

// Row is one figure of the page: a measured slope times a count of the size.
type Row struct {
	// Role is the part of the system, and Figure what of it is meant.
	Role, Figure string
	// Benchmark and Unit name the measurement that gives the slope.
	Benchmark, Unit string
	// Base, when set, names a smaller case: the slope is the difference of the
	// two over Over, what the cases differ by.
	Base string
	Over float64
	// Per says what the slope is per, and Count how many of those there are.
	Per   string
	Count float64
	// Scale turns slope times count into Result, for example ns into seconds.
	Scale  float64
	Result string
	// Mechanism is what carries the load.
	Mechanism string
}

// Figure is a row worked out.
type Figure struct {
	Row
	Slope Spread
	// Value, Low and High are the result for the slope's median and range.
	Value, Low, High float64
}

// Work computes a row from measurements.
func (r Row) Work(measured Measurements) (Figure, error) {
	slope, err := r.slope(measured)
	if err != nil {
		return Figure{}, err
	}
	at := func(value float64) float64 { return value * r.Count * r.Scale }
	return Figure{Row: r, Slope: slope, Value: at(slope.Median), Low: at(slope.Low), High: at(slope.High)}, nil
}

// slope is the measurement itself, or the difference of two cases. The spread
// of a difference is the widest that their runs allow.
func (r Row) slope(measured Measurements) (Spread, error) {
	top, err := measured.Spread(r.Benchmark, r.Unit)
	if err != nil || r.Base == "" {
		return top, err
	}
	base, err := measured.Spread(r.Base, r.Unit)
	if err != nil {
		return Spread{}, err
	}
	return Spread{
		Median: (top.Median - base.Median) / r.Over,
		Low:    (top.Low - base.High) / r.Over,
		High:   (top.High - base.Low) / r.Over,
		Runs:   min(top.Runs, base.Runs),
	}, nil
}

// Table is the figures as Markdown.
func Table(figures []Figure) string {
	var text strings.Builder
	text.WriteString("| Role | Figure | Slope (low to high, runs) | per | times | At the size | Mechanism |\n")
	text.WriteString("|---|---|---|---|---|---|---|\n")
	for _, f := range figures {
		fmt.Fprintf(&text, "| %s | %s | %s %s (%s to %s, %d) | %s | %s | **%s %s** | %s |\n",
			f.Role, f.Figure, number(f.Slope.Median), f.Unit, number(f.Slope.Low), number(f.Slope.High), f.Slope.Runs,
			f.Per, number(f.Count), number(f.Value), f.Result, f.Mechanism)
	}
	return text.String()
}

// number formats with three significant digits.
func number(value float64) string {
	switch {
	case value == 0:
		return "0"
	case value >= 1e6 || value < 1e-3:
		return fmt.Sprintf("%.3g", value)
	case value >= 100:
		return fmt.Sprintf("%.0f", value)
	default:
		return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.3f", value), "0"), ".")
	}
}
