package trace

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// ErrMissed says that a replay did not give what the traces state.
var ErrMissed = eris.New("replay missed stated outcomes: read the lines above, then the trace's cause")

// ErrNoOutcome marks a trace that states nothing to compare with. A recording that was
// cut off looks like that: its outcomes stand at its end.
var ErrNoOutcome = eris.New("trace states no outcome: record it to its end, or add the outcomes that it must have")

// ReplayFiles replays files, prints a table and then each outcome that was
// missed (each at all when verbose). The error wraps ErrMissed, ErrNoOutcome or ErrBroken.
func ReplayFiles(out io.Writer, files []string, verbose bool) error {
	var details strings.Builder
	var failure error
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "TRACE\tEVENTS\tDECISIONS\tOUTCOMES\tMISSED\tDIGEST")
	for _, file := range files {
		t, err := ReadFile(file)
		if err != nil {
			fmt.Fprintf(&details, "%s: %v\n", file, err)
			fmt.Fprintf(table, "%s\t-\t-\t-\tbroken\t-\n", filepath.Base(file))
			failure = cmp.Or(failure, err)
			continue
		}
		if len(t.Outcomes) == 0 {
			fmt.Fprintf(&details, "%s: %v\n", file, ErrNoOutcome)
			failure = cmp.Or(failure, ErrNoOutcome)
		}
		run := Replay(t)
		findings := run.Compare(t)
		missed := 0
		for _, f := range findings {
			if !f.Met {
				missed++
				failure = cmp.Or(failure, error(ErrMissed))
			}
			if !f.Met || verbose {
				details.WriteString(f.describe(file))
			}
		}
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%s\n",
			filepath.Base(file), run.Events, run.Actions, len(t.Outcomes), missed, run.Digest)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if _, err := io.WriteString(out, details.String()); err != nil {
		return err
	}
	return failure
}

// WriteFile writes the recording to a file, whole or not at all.
func (r *Recorder) WriteFile(file string) error {
	next, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(next.Name())
	if _, err := r.WriteTo(next); err != nil {
		_ = next.Close()
		return err
	}
	if err := next.Close(); err != nil {
		return err
	}
	return os.Rename(next.Name(), file)
}

// ReadFile reads the trace in a file.
func ReadFile(path string) (*Trace, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	defer file.Close()
	return Read(file)
}

func (f Finding) describe(file string) string {
	result := "met"
	if !f.Met {
		result = "MISSED"
	}
	event := "no event"
	if f.EventLine > 0 {
		event = fmt.Sprintf("event %s in line %d", f.Event, f.EventLine)
	}
	return fmt.Sprintf("%s:%d: %s: %s (%s)\n  expected %s\n  found    %s\n", file, f.Line, result, f.What, event, f.Expected, f.Found)
}

// String is one hash over the digests of all VMs.
func (d Digest) String() string {
	hash := xxhash.New()
	for _, name := range slices.Sorted(maps.Keys(d)) {
		fmt.Fprintf(hash, "%s %s\n", name, d[name])
	}
	return fmt.Sprintf("%016x", hash.Sum64())
}
