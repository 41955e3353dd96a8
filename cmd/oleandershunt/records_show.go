package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/operator"
	"oleandershunt.example/oleandershunt/internal/platform"
)

const (
	// lineWidth is what a terminal shows at least.
	lineWidth = 80
	// nameWidth and rangesWidth bound columns, so that a line fits.
	nameWidth   = 24
	rangesWidth = 12
	// maxServersShown bounds the servers on the status screen.
	maxServersShown = 10
	// maxDifferences bounds the fields shown of one record.
	maxDifferences = 20
)

func stdin() io.Reader { return os.Stdin }

func newTable(out io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(out, 0, 0, 2, ' ', 0) }

// wrap writes text in lines of at most lineWidth, each after the first indented.
func wrap(out io.Writer, indent, text string) {
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(indent)+len(line)+1+len(word) > lineWidth {
			fmt.Fprintf(out, "%s%s\n", indent, line)
			line = ""
		}
		if line != "" {
			line += " "
		}
		line += word
	}
	fmt.Fprintf(out, "%s%s\n", indent, line)
}

func showChanges(out io.Writer, changes []operator.Change) {
	for _, change := range changes {
		fmt.Fprintf(out, "%-9s  %s\n", change.Action, change.Record)
		if change.Action == operator.ActionDelete {
			continue
		}
		for i, d := range change.Differences {
			if i == maxDifferences {
				fmt.Fprintf(out, "    and %d more fields\n", len(change.Differences)-i)
				break
			}
			if d.Before != "" {
				fmt.Fprintf(out, "    - %s: %s\n", d.Field, shorten(d.Before))
			}
			if d.After != "" {
				fmt.Fprintf(out, "    + %s: %s\n", d.Field, shorten(d.After))
			}
		}
	}
}

func shorten(text string) string { return shortenTo(text, 48) }

func shortenTo(text string, room int) string {
	if len(text) <= room {
		return text
	}
	return text[:room-3] + "..."
}

func showApplied(out io.Writer, applied []operator.Applied) {
	for _, a := range applied {
		fmt.Fprintf(out, "%-9s  %s  version %d\n", a.Action, a.Record, a.Written)
	}
}

func showVerdicts(out io.Writer, verdicts operator.Verdicts) {
	showRecords(out, verdicts.Records)
	showInForce(out, verdicts.Release)
}

func showInForce(out io.Writer, release api.ReleaseStatus) {
	fmt.Fprintf(out, "release %d is in force on %d of %d VMs\n", release.Sequence, release.InForce, release.VMs)
	for _, vm := range release.Lagging {
		fmt.Fprintf(out, "  %s has release %d\n", vm.Name, vm.Release)
	}
}

func showRecords(out io.Writer, records []api.RecordStatus) {
	for _, record := range records {
		state := string(record.State)
		if state == "" {
			state = "undecided"
		}
		fmt.Fprintf(out, "%-9s  %s\n", state, record.Record)
		showWhy(out, record)
	}
}

func showWhy(out io.Writer, record api.RecordStatus) {
	if len(record.CannotRead) > 0 {
		wrap(out, "    ", "these VMs can't read its schema version: "+strings.Join(record.CannotRead, ", "))
	}
	for _, violation := range record.Violations {
		wrap(out, "    ", violation.Field+": "+violation.Problem)
		wrap(out, "    ", "remedy: "+violation.Remedy)
	}
}

func stateOf(record operator.Stored, status api.ConfigurationStatus) api.RecordStatus {
	state, decided := status.State(record.Document.Kind, record.Document.Name, uint64(record.Version))
	if !decided {
		state.State = "undecided"
	}
	return state
}

func showStored(out io.Writer, records []operator.Stored, status api.ConfigurationStatus) {
	table := newTable(out)
	fmt.Fprintln(table, "NAME\tSCHEMA\tVERSION\tSTATE")
	for _, record := range records {
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\n", record.Document.Name, record.Document.SchemaVersion, record.Version, stateOf(record, status).State)
	}
	_ = table.Flush()
}

func showRecord(out io.Writer, record operator.Stored, status api.ConfigurationStatus) {
	state := stateOf(record, status)
	fmt.Fprintf(out, "%s, schema %s, version %d: %s\n", record.Document.Key(), record.Document.SchemaVersion, record.Version, state.State)
	showWhy(out, state)
	text, err := json.MarshalIndent(record.Document, "", "  ")
	if err == nil {
		fmt.Fprintln(out, string(text))
	}
}

func showReleases(out io.Writer, objects []platform.Object) {
	table := newTable(out)
	fmt.Fprintln(table, "RELEASE\tACCEPTED AT\tBY\tREFERENCES\t")
	for i := range objects {
		var release api.Release
		if json.Unmarshal(objects[i].Value, &release) != nil {
			continue
		}
		note := ""
		if objects[i].Name == api.ReleaseName {
			note = "current"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%s\n", release.Sequence, release.At, release.By, len(release.Pages), note)
	}
	_ = table.Flush()
}

func showObjects(out io.Writer, objects []platform.Object) {
	for _, object := range objects {
		text, err := json.MarshalIndent(object.Value, "", "  ")
		if err == nil {
			fmt.Fprintf(out, "%s, version %d\n%s\n", object.Name, object.Version, text)
		}
	}
}

func showOverview(out io.Writer, o operator.Overview) {
	health := "healthy"
	if !o.Healthy {
		health = "degraded"
	}
	fmt.Fprintf(out, "%s\n\n", health)
	for _, line := range o.Degraded {
		wrap(out, "  ", line)
	}
	if len(o.Degraded) > 0 {
		fmt.Fprintln(out)
	}
	fmt.Fprintf(out, "accepted %s by %s\n", orNone(o.Release.At), orNone(o.Release.By))
	showInForce(out, o.Configuration.Release)
	showPipelines(out, o.Pipelines)
	showServers(out, o.Servers)
	showPlacement(out, o.Placement)
	if len(o.Configuration.Records) > 0 {
		fmt.Fprintln(out, "\nRECORDS HELD UP")
		showRecords(out, o.Configuration.Records)
	}
}

func orNone(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func showPipelines(out io.Writer, pipelines []api.PipelineStatus) {
	if len(pipelines) == 0 {
		return
	}
	fmt.Fprintln(out)
	table := newTable(out)
	fmt.Fprintln(table, "PIPELINE\tBOUND tok/s\tHELD tok/s\tONE COPY\tNO COPY")
	for _, p := range pipelines {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\n", shortenTo(p.Pipeline, nameWidth), bound(p), figure(p.HeldTokensPerSecond), ranges(p.SingleCopy), ranges(p.Missing))
	}
	_ = table.Flush()
}

// bound is "-" where it is not known: a bound of 0 comes with its reason.
func bound(p api.PipelineStatus) string {
	if p.BoundTokensPerSecond == 0 && len(p.Missing) == 0 && !p.Disconnected {
		return "-"
	}
	return figure(p.BoundTokensPerSecond)
}

// figure keeps a decimal where it says something.
func figure(value float64) string {
	if value > 0 && value < 10 {
		return fmt.Sprintf("%.1f", value)
	}
	return fmt.Sprintf("%.0f", value)
}

// showPlacement lists what is being changed at backend servers.
func showPlacement(out io.Writer, placements []api.PlacementStatus) {
	var lines []string
	for _, placement := range placements {
		for _, change := range placement.Changes {
			lines = append(lines, placement.DataCentre+": "+change.What)
		}
	}
	if len(lines) == 0 {
		return
	}
	fmt.Fprintln(out, "\nbeing changed:")
	for _, line := range lines[:min(len(lines), maxServersShown)] {
		wrap(out, "  ", line)
	}
	if more := len(lines) - maxServersShown; more > 0 {
		fmt.Fprintf(out, "  and %d more: oleandershunt status -o json\n", more)
	}
}

func ranges(layers []api.Layers) string {
	if len(layers) == 0 {
		return "-"
	}
	count := 0
	texts := make([]string, 0, len(layers))
	for _, l := range layers {
		texts = append(texts, l.String())
		count += l.Len()
	}
	if text := strings.Join(texts, " "); len(text) <= rangesWidth {
		return text
	}
	return fmt.Sprintf("%d layers", count)
}

func showServers(out io.Writer, servers []api.BackendServerStatus) {
	if len(servers) == 0 {
		return
	}
	byState := make(map[string]int)
	var notable []api.BackendServerStatus
	for _, server := range servers {
		byState[server.State]++
		if server.State != "live" {
			notable = append(notable, server)
		}
	}
	fmt.Fprintf(out, "\n%d backend servers:", len(servers))
	for _, state := range []string{"live", "suspect", "leaving", "gone"} {
		if byState[state] > 0 {
			fmt.Fprintf(out, " %d %s", byState[state], state)
		}
	}
	fmt.Fprintln(out)
	for _, server := range notable[:min(len(notable), maxServersShown)] {
		wrap(out, "  ", fmt.Sprintf("%s %s since %s: %s", server.BackendServer, server.State, orNone(server.Since), strings.Join(server.Evidence, ", ")))
	}
	if more := len(notable) - maxServersShown; more > 0 {
		fmt.Fprintf(out, "  and %d more: oleandershunt get status\n", more)
	}
}

func showExplanation(out io.Writer, e api.Explanation) {
	fmt.Fprintf(out, "request %s, decided by %s\n", e.Request, orNone(e.VM))
	for _, s := range e.Steps {
		line := fmt.Sprintf("%6d ms  %s", s.Millis, s.Step)
		if s.Attempt > 0 {
			line += fmt.Sprintf(" (attempt %d)", s.Attempt)
		}
		fmt.Fprintln(out, line)
		for _, detail := range stepDetails(s) {
			wrap(out, "             ", detail)
		}
	}
	if len(e.Silent) > 0 {
		wrap(out, "", "did not answer: "+strings.Join(e.Silent, ", "))
	}
}

func stepDetails(s api.ExplanationStep) []string {
	var details []string
	add := func(label, value string) {
		if value != "" {
			details = append(details, label+value)
		}
	}
	add("servers: ", strings.Join(s.Servers, " > "))
	add("outcome: ", s.Outcome)
	add("reason: ", s.Reason)
	add("execution: ", s.Execution)
	if s.Tokens > 0 {
		add("tokens so far: ", fmt.Sprint(s.Tokens))
	}
	add("", s.Text)
	return details
}
