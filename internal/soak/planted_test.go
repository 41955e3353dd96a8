package soak_test

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/testutil"
)

var planted = flag.Bool("soak.planted", false, "build the VMs' program with each named defect and expect a run to catch it")

// defects are mistakes in what VMs do, each with the check that must find it.
var defects = []struct {
	testutil.Defect
	check string
}{
	{testutil.Defect{
		Name: "ended too early", File: "internal/relay/stream.go",
		Old: "		case readErr != nil:\n			return readErr", Bad: "		case readErr != nil:\n			return nil",
	}, "wrong answer"},
	{testutil.Defect{
		Name: "resumed from the beginning", File: "internal/relay/stream.go",
		Old: "			x.after = events.last\n", Bad: "			x.after = \"\"\n",
	}, "wrong answer"},
	{testutil.Defect{
		Name: "repeated without proof", File: "internal/relay/repeat.go",
		Old: "if x.route.Repeat == routes.AtMostOnce || !h.mayRunAgain", Bad: "if !h.mayRunAgain",
	}, "ran twice"},
	{testutil.Defect{
		Name: "not run told of what may have run", File: "internal/relay/attempt.go",
		Old: "	x.mayHaveRun = true\n	x.avoid = append(x.avoid, choice.First.ID)", Bad: "	x.avoid = append(x.avoid, choice.First.ID)",
	}, "not run, it said"},
	{testutil.Defect{
		Name: "configuration goes back", File: "internal/relay/dispatch.go",
		Old: "	d.table = table\n",
		Bad: "	if old := d.table; old != nil {\n		time.AfterFunc(3*time.Second, func() { d.mu.Lock(); d.table = old; d.mu.Unlock() })\n	}\n	d.table = table\n",
	}, "configuration went back"},
	{testutil.Defect{
		Name: "configuration not learnt", File: "internal/edge/config.go",
		Old: "if c.dispatcher.SetTable(table) {", Bad: "if c.dispatcher.Table() == nil && c.dispatcher.SetTable(table) {",
	}, "configuration late"},
	{testutil.Defect{
		Name: "history of the store not read", File: "platform/store.go",
		Old: "	text := header.Get(headerEra)\n", Bad: "	text := \"\"\n",
	}, "configuration late"},
	{testutil.Defect{
		Name: "request rates of servers left out", File: "internal/core/ratelimit/shares.go",
		Old: "	return known.bucket != nil && known.bucket.TokensAt(toTime(now)) >= 1", Bad: "	return true",
	}, "server beyond its rate"},
	{testutil.Defect{
		Name: "pauses of servers left out", File: "platform/requests.go",
		Old: "		signals.Pause = pauseOf(", Bad: "		_ = pauseOf(",
	}, "server in its pause"},
	{testutil.Defect{
		Name: "servers' word that they leave left out", File: "platform/requests.go",
		Old: "Leaving: strings.TrimSpace(response.Header.Get(headerLeaving)) == leaving", Bad: "Leaving: response.Header.Get(headerLeaving) == leaving+leaving",
	}, "server that said that it leaves"},
	{testutil.Defect{
		Name: "request offered to a leaving server", File: "platform/servers.go",
		Old: "Draining: file.State == stateDraining", Bad: "Draining: false",
	}, "leaving server"},
	{testutil.Defect{
		Name: "planned stop cuts answers", File: "internal/edge/stop.go",
		Old: "	time.Sleep(outOfRotation)\n", Bad: "	return s.callers.Close()\n",
	}, "lost by planned work"},
	{testutil.Defect{
		Name: "repeats without a bound", File: "internal/core/budget/budget.go",
		Old: "	if allowed {\n", Bad: "	if allowed = true; allowed {\n",
	}, "too many repeats"},
	{testutil.Defect{
		Name: "key passed on", File: "platform/requests.go",
		Old: "	header.Del(headerKey)\n", Bad: "",
	}, "account wrong"},
	{testutil.Defect{
		Name: "work for callers that left", File: "internal/relay/handler.go",
		Old: "context.WithTimeoutCause(r.Context(), limit, errDeadline)", Bad: "context.WithTimeoutCause(context.WithoutCancel(r.Context()), limit, errDeadline)",
	}, "work for callers that left"},
	{testutil.Defect{
		Name: "attempts are not closed", File: "internal/relay/attempt.go",
		Old: "	o.cancel(nil)\n", Bad: "	go func() { select {} }()\n",
	}, "leak"},
	{testutil.Defect{
		Name: "refusal without a line", File: "internal/relay/handler.go",
		Old: "telemetry.RelayRefused.Log(h.Log,", Bad: "telemetry.RelayRefused.Log(h.Log.V(9),",
	}, "failure without a line"},
	{testutil.Defect{
		Name: "signal ends the process", File: "internal/edge/reload.go",
		Old: "	signal.Notify(r.signals, syscall.SIGHUP)\n", Bad: "	_ = syscall.SIGHUP\n",
	}, "process ended by itself"},
}

// plantedSeeds bounds the seeds played for a defect: some need a fault at the right moment.
const plantedSeeds = 4

// Symptom: promises are broken and the soak finds nothing. Sequence: somebody makes one of
// these mistakes. Cause: a check that can't fail.
func TestPlantedDefectsAreCaught(t *testing.T) {
	if !*planted {
		t.Skip("run with -soak.planted; docs/SOAK.md has how")
	}
	root, err := filepath.Abs("../..")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	for _, d := range defects {
		t.Run(d.Name, func(t *testing.T) {
			program := build(t, "-overlay", d.Overlay(t, root))
			begun := time.Now()
			for i := range uint64(plantedSeeds) {
				report := play(t, program, *firstSeed+i, *vms, *lasts)
				for _, finding := range report.Findings {
					if strings.HasPrefix(finding, d.check) {
						t.Logf("defect %q is caught by %q in %d seeds, %s", d.Name, d.check, i+1, time.Since(begun).Round(time.Second))
						return
					}
				}
			}
			t.Errorf("defect %q isn't caught by %q in %d seeds", d.Name, d.check, plantedSeeds)
		})
	}
}
