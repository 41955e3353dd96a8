package claim_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/testutil"
)

const propertyChecks = 1500

func init() { testutil.FixRapid(propertyChecks) }

// Guards against two VMs granting the same key, or one VM granting it twice, under
// any order of claims, retries, settlements, restarts, pauses, handovers, partitions,
// platform outages, and of dropped, delayed, duplicated or reordered messages.
func TestKeyIsDispatchedAtMostOnce(t *testing.T) {
	total := struct{ granted, standbys, owners, freed int }{}
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster("a", "b", "c")
		var script []string
		run := func(format string, args ...any) {
			line := fmt.Sprintf(format, args...)
			script = append(script, line)
			if err := c.run(line); err != nil {
				t.Fatalf("%v", err)
			}
		}
		run("standbys %d", rapid.IntRange(0, 2).Draw(t, "standbys"))
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			for _, line := range nextCommands(t, c) {
				run("%s", line)
			}
		}
		restoreAndRetry(c, run)
		if c.violated() {
			t.Fatalf("a key was dispatched twice, or reported as free after it was dispatched (%v):\n%s", c.falseFree, strings.Join(shrink(script), "\n"))
		}
		total.granted += c.granted
		total.standbys += c.grantedOnStandbys
		total.owners += len(c.owners)
		total.freed += c.peeksFree
	})
	t.Logf("grants %d, of them with the platform down %d, changes of owner %d; peeks answered as free %d", total.granted, total.standbys, total.owners, total.freed)
	if total.granted == 0 || total.standbys == 0 || total.owners == 0 || total.freed == 0 {
		t.Fatalf("the search did not cover every kind of outcome: %+v", total)
	}
}

// shrink removes every line without which a failing script still fails.
func shrink(script []string) []string {
	for i := len(script) - 1; i >= 0; i-- {
		shorter := slices.Delete(slices.Clone(script), i, i+1)
		c := newCluster("a", "b", "c")
		for _, line := range shorter {
			_ = c.run(line)
		}
		if c.violated() {
			script = shorter
		}
	}
	return script
}

// restoreAndRetry ends all faults, then requests every key again on every VM.
func restoreAndRetry(c *cluster, run func(string, ...any)) {
	run("heal")
	run("deliver-delayed")
	run("platform up")
	for _, name := range c.names {
		run("mark-live %s", name)
		run("resume %s", name)
	}
	for range 12 {
		run("wait 3s")
		run("pump")
	}
	for _, key := range keys {
		for _, name := range c.names {
			run("request r%d %s %s %s", len(c.requests), key, name, name)
			run("wait 60ms")
			run("pump")
		}
	}
}

var keys = []string{"k1", "k2"}

// nextCommands draws one command, or a sequence that brings the VMs into a state in
// which a fault can cause a violation.
func nextCommands(t *rapid.T, c *cluster) []string {
	pick := rapid.IntRange(0, 99).Draw(t, "sequence")
	switch {
	case pick < 15:
		return repeatLines(rapid.IntRange(1, 8).Draw(t, "rounds"), "wait 400ms", "pump")
	case pick < 25:
		// An owner that is cut off from the platform commits on its standbys.
		owner := claimTarget(t, c)
		return []string{"cut " + owner + " platform", newRequest(t, c, owner), "wait 60ms", "wait 250ms", "pump", "wait 60ms", "pump-vms"}
	case pick < 35:
		// Other VMs see the lease expire, and their writes may stay in flight.
		owner := claimTarget(t, c)
		lines := append([]string{"cut " + owner + " platform"}, repeatLines(rapid.IntRange(1, 5).Draw(t, "rounds"), "wait 1s", "pump")...)
		return append(lines, "wait 600ms")
	case pick < 40:
		return []string{"platform down", newRequest(t, c, claimTarget(t, c)), "wait 60ms", "wait 250ms", "pump", "wait 60ms", "pump-vms"}
	case pick < 45:
		// A write takes effect after its sender has timed out and gone on.
		vm := rapid.SampledFrom(c.names).Draw(t, "delayed")
		lines := append([]string{"delay-writes " + vm}, repeatLines(rapid.IntRange(1, 6).Draw(t, "rounds"), "wait 600ms", "pump")...)
		return append(lines, newRequest(t, c, claimTarget(t, c)))
	case pick < 50:
		return append([]string{"heal", "platform up"}, repeatLines(4, "wait 400ms", "pump")...)
	default:
		return []string{randomCommand(t, c)}
	}
}

func repeatLines(times int, lines ...string) []string {
	var all []string
	for range times {
		all = append(all, lines...)
	}
	return all
}

func newRequest(t *rapid.T, c *cluster, owner string) string {
	key := rapid.SampledFrom(keys).Draw(t, "key")
	entry := rapid.SampledFrom(c.names).Draw(t, "entry")
	return fmt.Sprintf("request r%d %s %s %s", len(c.requests), key, entry, owner)
}

// randomCommand draws one command. Pumps and waits are frequent, so that the VMs
// make progress between faults.
func randomCommand(t *rapid.T, c *cluster) string {
	vm := rapid.SampledFrom(c.names)
	index := rapid.IntRange(0, max(len(c.messages)-1, 0))
	kinds := []string{
		"pump", "pump", "pump-vms", "pump-platform", "wait", "wait", "wait", "request", "request", "request", "request",
		"deliver", "deliver", "deliver", "deliver", "timeout", "timeout", "drop", "duplicate", "kill", "pause", "resume", "resume", "cut", "heal",
		"delay-writes", "deliver-delayed", "mark-dead", "mark-live", "mark-live", "peek", "peek",
	}
	if rapid.IntRange(0, 99).Draw(t, "stop") == 99 {
		kinds = []string{"release"}
	}
	if len(c.requests) > 0 {
		kinds = append(kinds, "retry", "settle", "settle")
	}
	known := func() int { return rapid.IntRange(0, len(c.requests)-1).Draw(t, "known") }
	switch kind := rapid.SampledFrom(kinds).Draw(t, "kind"); kind {
	case "wait":
		return "wait " + rapid.SampledFrom([]string{"10ms", "60ms", "250ms", "400ms", "1s", "3s", "30s"}).Draw(t, "time")
	case "request":
		return newRequest(t, c, claimTarget(t, c))
	case "peek":
		key := rapid.SampledFrom(keys).Draw(t, "key")
		return fmt.Sprintf("peek p%d %s %s", len(c.peeks), key, claimTarget(t, c))
	case "deliver", "timeout", "drop", "duplicate":
		return fmt.Sprintf("%s %d", kind, index.Draw(t, "message"))
	case "kill", "pause", "resume", "release", "delay-writes", "mark-dead", "mark-live":
		return kind + " " + vm.Draw(t, "vm")
	case "cut":
		return fmt.Sprintf("cut %s %s", vm.Draw(t, "from"), rapid.SampledFrom(append([]string{platformName}, c.names...)).Draw(t, "to"))
	case "retry":
		return fmt.Sprintf("retry r%d %s", known(), claimTarget(t, c))
	case "settle":
		how := rapid.SampledFrom([]string{"free", "ran"}).Draw(t, "how")
		return fmt.Sprintf("settle r%d %s %s", known(), claimTarget(t, c), how)
	default:
		return kind
	}
}

// claimTarget draws the VM that a claim is sent to: mostly one that considers itself
// the owner.
func claimTarget(t *rapid.T, c *cluster) string {
	var owners []string
	for _, name := range c.names {
		if c.vms[name].shard.Owns() {
			owners = append(owners, name)
		}
	}
	if len(owners) == 0 || rapid.IntRange(0, 9).Draw(t, "any") == 0 {
		return rapid.SampledFrom(c.names).Draw(t, "target")
	}
	return rapid.SampledFrom(owners).Draw(t, "owner")
}
