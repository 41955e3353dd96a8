// Package account adds up what VMs' logs say of requests that were not served, or late:
// for each moment, how many for which cause.
package account

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// ErrNoLines marks input without any line of a VM's log.
var ErrNoLines = eris.New("no line of a log: give what VMs wrote to their standard output")

// longestLine bounds a line of a log, in bytes.
const longestLine = 1 << 20

// line is the part of a log's line that counts.
type line struct {
	Time   time.Time `json:"time"`
	Event  int       `json:"event"`
	Reason string    `json:"reason"`
	Cause  string    `json:"cause"`
	Sends  int       `json:"sends"`
}

// Account is counts by moment and cause.
type Account struct {
	// Span is the length of a moment.
	Span time.Duration
	// counts are by moment, in spans since the first line or as the lines say, and cause.
	counts map[int]map[string]int
	// vms counts the lines of each VM that says its name before its lines.
	vms map[string]map[string]int
	// began is the time of the first line whose moment is not said.
	began time.Time
	read  int
}

// New makes an empty account.
func New(span time.Duration) *Account {
	return &Account{Span: span, counts: make(map[int]map[string]int), vms: make(map[string]map[string]int)}
}

// Read adds the lines of a log: a JSON object each, before which the moment in seconds
// and the VM's name may stand. What is no such line is passed over.
func (a *Account) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		before, object, found := strings.Cut(scanner.Text(), "{")
		var l line
		if !found || json.Unmarshal([]byte("{"+object), &l) != nil || l.Event == 0 {
			continue
		}
		a.read++
		if cause := causeOf(l); cause != "" {
			a.add(strings.Fields(before), l, cause)
		}
	}
	if err := scanner.Err(); err != nil {
		return eris.Wrap(err, "log can't be read: a line may be too long")
	}
	if a.read == 0 {
		return ErrNoLines
	}
	return nil
}

func (a *Account) add(before []string, l line, cause string) {
	at := a.moment(before, l)
	if a.counts[at] == nil {
		a.counts[at] = make(map[string]int)
	}
	a.counts[at][cause]++
	if len(before) > 1 {
		vm := before[1]
		if a.vms[vm] == nil {
			a.vms[vm] = make(map[string]int)
		}
		a.vms[vm][cause]++
	}
}

func (a *Account) moment(before []string, l line) int {
	if len(before) > 0 {
		if seconds, err := strconv.ParseFloat(before[0], 64); err == nil {
			return floor(time.Duration(seconds*float64(time.Second)), a.Span)
		}
	}
	if a.began.IsZero() {
		a.began = l.Time
	}
	return floor(l.Time.Sub(a.began), a.Span)
}

func floor(at, span time.Duration) int {
	if at < 0 {
		at -= span - 1
	}
	return int(at / span)
}

// causeOf names what a line says became of a request, or of an attempt. Empty for lines on
// other matters.
func causeOf(l line) string {
	switch l.Event {
	case telemetry.RelayLate.Number:
		return "late: " + l.Cause
	case telemetry.RelayRefused.Number:
		if l.Sends > 0 {
			return fmt.Sprintf("refused: %s after %d", l.Reason, l.Sends)
		}
		return "refused: " + l.Reason + " before an offer"
	case telemetry.RelayCut.Number:
		return "cut: " + l.Reason
	case telemetry.RelayLeft.Number:
		return "caller left"
	case telemetry.RelayAttemptRefused.Number:
		return "offer not run"
	case telemetry.RelayAttemptFailed.Number:
		return "attempt failed"
	case telemetry.RelayMoved.Number:
		return "moved"
	case telemetry.RelayNotMoved.Number:
		return "not moved"
	case telemetry.RelayWaits.Number:
		return "silent, can't be resumed"
	default:
		return ""
	}
}

// Write writes a table of the moments with their causes, and the VMs with most of them.
func (a *Account) Write(w io.Writer, vms int) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "second\tcauses")
	for _, at := range slices.Sorted(maps.Keys(a.counts)) {
		fmt.Fprintf(table, "%g\t%s\n", (time.Duration(at) * a.Span).Seconds(), list(a.counts[at]))
	}
	fmt.Fprintf(table, "all\t%s\n", list(a.sum()))
	for _, vm := range a.most(vms) {
		fmt.Fprintf(table, "%s\t%s\n", vm, list(a.vms[vm]))
	}
	return table.Flush()
}

func (a *Account) sum() map[string]int {
	sum := make(map[string]int)
	for _, causes := range a.counts {
		for cause, n := range causes {
			sum[cause] += n
		}
	}
	return sum
}

// most lists the VMs with most lines.
func (a *Account) most(vms int) []string {
	total := func(vm string) int {
		n := 0
		for _, count := range a.vms[vm] {
			n += count
		}
		return n
	}
	names := slices.SortedFunc(maps.Keys(a.vms), func(x, y string) int { return cmp.Or(total(y)-total(x), cmp.Compare(x, y)) })
	return names[:min(vms, len(names))]
}

// list writes counts, the largest first.
func list(counts map[string]int) string {
	causes := slices.SortedFunc(maps.Keys(counts), func(x, y string) int { return cmp.Or(counts[y]-counts[x], cmp.Compare(x, y)) })
	parts := make([]string, len(causes))
	for i, cause := range causes {
		parts[i] = fmt.Sprintf("%d %s", counts[cause], cause)
	}
	return strings.Join(parts, "; ")
}
