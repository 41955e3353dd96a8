// Package capacity works out what the design costs at the size ahead: measured
// slopes, read from the output of `go test -bench`, times the counts of that
// size. It makes the tables of docs/CAPACITY.md.
package capacity

import (
	"bufio"
	"cmp"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrNoMeasurement marks a slope that no benchmark in the output gives.
var ErrNoMeasurement = eris.New("no such measurement: run tools/capacity, which runs every benchmark that the page needs")

// Measurements holds the values of each benchmark's metrics over all runs.
type Measurements map[string][]float64

// Spread is a measured value's median with the smallest and largest run.
type Spread struct {
	Median, Low, High float64
	// Runs is the number of runs.
	Runs int
}

// Read collects measurements from `go test -bench` output. Lines that are no
// benchmark results are passed over.
func Read(in io.Reader) (Measurements, error) {
	found := Measurements{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		found.addLine(strings.Fields(lines.Text()))
	}
	return found, lines.Err()
}

// addLine takes "BenchmarkName-12 N value unit value unit ...".
func (m Measurements) addLine(fields []string) {
	const firstValue = 2
	if len(fields) <= firstValue+1 || !strings.HasPrefix(fields[0], "Benchmark") {
		return
	}
	name := trimProcs(fields[0])
	for i := firstValue; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return
		}
		key := measurementKey(name, fields[i+1])
		m[key] = append(m[key], value)
	}
}

// trimProcs removes the "-12" that the testing package adds for GOMAXPROCS.
func trimProcs(name string) string {
	at := strings.LastIndexByte(name, '-')
	if at < 0 {
		return name
	}
	if _, err := strconv.Atoi(name[at+1:]); err != nil {
		return name
	}
	return name[:at]
}

func measurementKey(benchmark, unit string) string { return benchmark + " " + unit }

// Spread gives the median and range of one benchmark's metric.
func (m Measurements) Spread(benchmark, unit string) (Spread, error) {
	values := slices.Clone(m[measurementKey(benchmark, unit)])
	if len(values) == 0 {
		return Spread{}, eris.Wrapf(ErrNoMeasurement, "%s in %s", benchmark, unit)
	}
	slices.SortFunc(values, cmp.Compare)
	return Spread{
		Median: values[len(values)/2],
		Low:    values[0],
		High:   values[len(values)-1],
		Runs:   len(values),
	}, nil
}
