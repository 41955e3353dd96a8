package tally_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/tally"
)

// Guards against answers that grow with all servers: each VM would get the loads of thousands of
// servers four times a second although a few of them changed.
func TestUpdateHasOnlyWhatChanged(t *testing.T) {
	for _, size := range []struct{ vms, servers int }{{30, 300}, {200, 3000}} {
		t.Run(fmt.Sprintf("vms=%d/servers=%d", size.vms, size.servers), func(t *testing.T) {
			g := NewWithT(t)
			hub := tally.NewHub("a", 1, anyServer)
			random := rand.New(rand.NewPCG(1, 1))
			reports := make([]tally.Tally, size.vms)
			for i := range reports {
				reports[i] = tally.Tally{VMs: 1, Loads: make(map[string]backends.Usage)}
				for range 40 {
					reports[i].Loads[fmt.Sprint("s", random.IntN(size.servers))] = backends.Usage{Memory: unit, Running: 1}
				}
				hub.Report(0, fmt.Sprint("vm-", i), reports[i])
			}
			first := hub.Update(0, "vm-0", tally.LoadVersions{}, true)
			g.Expect(first.Complete).To(BeTrue())
			for i := range reports {
				hub.Report(time.Millisecond, fmt.Sprint("vm-", i), reports[i])
			}
			again := hub.Update(time.Millisecond, "vm-0", first.Known, true)
			g.Expect(again.Loads).To(BeEmpty(), "all VMs reported the same again")
			reports[1].Loads = map[string]backends.Usage{"s1": {Memory: 5 * unit}}
			hub.Report(2*time.Millisecond, "vm-1", reports[1])
			changed := hub.Update(2*time.Millisecond, "vm-0", again.Known, true)
			g.Expect(changed.Complete).To(BeFalse())
			g.Expect(len(changed.Loads)).To(BeNumerically("<=", 41), "the servers of one VM's report")
		})
	}
}

// isNear says which servers are in the data centre of the model's hub.
func isNear(server string) bool { return server < "s3" }

// viewModel is a hub, the view of one of its VMs and what that VM knows of the others' loads.
type viewModel struct {
	hub   *tally.Hub
	view  *tally.View
	known map[string]backends.Usage
	now   time.Duration
}

func drawReport(t *rapid.T) tally.Tally {
	loads := make(map[string]backends.Usage)
	for range rapid.IntRange(0, 4).Draw(t, "servers") {
		loads[fmt.Sprint("s", rapid.IntRange(0, 5).Draw(t, "server"))] = backends.Usage{Memory: float64(rapid.IntRange(0, 3).Draw(t, "memory")) * unit, Running: rapid.IntRange(0, 2).Draw(t, "running")}
	}
	return tally.Tally{VMs: 1, Loads: loads}
}

// exchange lets the VM report. The answer may be lost.
func (m *viewModel) exchange(t *rapid.T, elsewhere, lost bool) {
	own := drawReport(t)
	m.hub.Report(m.now, "vm-0", own)
	update := m.hub.Update(m.now, "vm-0", m.view.Known(), elsewhere)
	if lost {
		return
	}
	others := m.view.Apply(update, own.Loads)
	if !others.Partial {
		clear(m.known)
	}
	maps.Copy(m.known, others.Loads)
}

func (m *viewModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"other": func(t *rapid.T) {
			m.hub.Report(m.now, fmt.Sprint("vm-", rapid.IntRange(1, 3).Draw(t, "vm")), drawReport(t))
		},
		"remote": func(t *rapid.T) { m.hub.ReportRemote(m.now, "b", drawReport(t)) },
		"wait":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond },
		"exchange": func(t *rapid.T) {
			m.exchange(t, rapid.Bool().Draw(t, "elsewhere"), rapid.IntRange(0, 4).Draw(t, "fate") == 0)
		},
		"newHub": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				m.hub = tally.NewHub("a", rapid.Uint64Range(8, 99).Draw(t, "epoch"), isNear)
			}
		},
	}
}

// check fails if the VM's view differs from the sum of the others by more than is allowed.
func (m *viewModel) check(t *rapid.T) {
	expected := m.hub.SumExcept(m.now, "vm-0").Loads
	for i := range 6 {
		id := fmt.Sprint("s", i)
		matches := m.known[id] == expected[id]
		if !isNear(id) {
			matches = math.Abs(m.known[id].Memory-expected[id].Memory) <= 16*unit && math.Abs(float64(m.known[id].Running-expected[id].Running)) <= 2
		}
		if !matches {
			t.Fatalf("%s: %v, expected %v", id, m.known[id], expected[id])
		}
	}
}

// VMs report, fall silent and lose answers in any order, and servers are in the data centre or
// elsewhere: after an update with everything a VM must know the sum of all others, exactly for the
// servers of its data centre and within what counts as minor for the others.
func TestViewFollowsTheSumOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &viewModel{hub: tally.NewHub("a", 7, isNear), view: tally.NewView(isNear), known: make(map[string]backends.Usage)}
		t.Repeat(m.actions())
		m.exchange(t, true, false)
		m.check(t)
	})
}

// Guards against a VM that takes changes of one hub for those of another after the hub was lost.
func TestChangesOfAnotherHubAreNotApplied(t *testing.T) {
	g := NewWithT(t)
	view := tally.NewView(anyServer)
	view.Apply(tally.Update{Complete: true, Loads: []tally.ServerLoad{{ID: "s1", Usage: backends.Usage{Running: 3}}}, Known: tally.LoadVersions{Epoch: 1, Local: 1}}, nil)
	others := view.Apply(tally.Update{Loads: []tally.ServerLoad{{ID: "s1", Usage: backends.Usage{Running: 9}}}, Known: tally.LoadVersions{Epoch: 2, Local: 5}}, nil)
	g.Expect(others.Partial).To(BeTrue())
	g.Expect(others.Loads).To(BeEmpty())
	g.Expect(view.Known()).To(Equal(tally.LoadVersions{}), "the next update is complete")
}

// Guards against a log that keeps each server that ever had load.
func TestServersWithoutLoadAreForgotten(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, anyServer)
	known := hub.Update(0, "vm-0", tally.LoadVersions{}, true).Known
	for i := range 1000 {
		hub.Report(time.Duration(i)*100*time.Millisecond, "vm-1", tally.Tally{VMs: 1, Loads: map[string]backends.Usage{fmt.Sprint("s", i): {Running: 1}}})
	}
	all := hub.Update(100*time.Second, "vm-0", known, true)
	g.Expect(all.Complete).To(BeTrue(), "what the VM has is older than what is remembered")
	g.Expect(len(all.Loads)).To(BeNumerically("<=", 102), "the servers of the last ten seconds")
}

// Guards against the loads of servers elsewhere outweighing those of the own data centre: small
// changes there are left out, but never the end of a server's load.
func TestMinorChangesElsewhereAreLeftOut(t *testing.T) {
	g := NewWithT(t)
	hub := tally.NewHub("a", 1, func(server string) bool { return server == "near" })
	report := func(units float64, running int) {
		usage := backends.Usage{Memory: units * unit, Running: running}
		hub.ReportRemote(0, "b", tally.Tally{VMs: 1, Loads: map[string]backends.Usage{"near": usage, "far": usage}})
	}
	report(100, 8)
	known := hub.Update(0, "vm-1", tally.LoadVersions{}, true).Known
	changed := func() (ids []string) {
		update := hub.Update(0, "vm-1", known, true)
		known = update.Known
		for _, load := range update.Loads {
			ids = append(ids, load.ID)
		}
		return ids
	}
	report(120, 9)
	g.Expect(changed()).To(ConsistOf("near"))
	report(130, 9)
	g.Expect(changed()).To(ConsistOf("near", "far"), "more than a quarter")
	report(130, 12)
	g.Expect(changed()).To(ConsistOf("near", "far"), "more than a quarter of the requests")
	hub.ReportRemote(0, "b", tally.Tally{VMs: 1})
	g.Expect(changed()).To(ConsistOf("near", "far"))
}
