package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/quarantine"
)

const second = time.Second

var (
	body  = quarantine.Content{Account: "a", Path: "app.example/x", Hash: 1}
	other = quarantine.Content{Account: "a", Path: "app.example/x", Hash: 2}
)

func process(n int) quarantine.Process {
	return quarantine.Process{Address: fmt.Sprint("10.0.0.", n, ":1"), ID: uint64(n)}
}

// lose records losses of servers under content, at a time.
func lose(t *quarantine.Table, at time.Duration, content quarantine.Content, servers ...int) quarantine.State {
	state := quarantine.Clear
	for _, n := range servers {
		state = t.RecordLoss(at, content, quarantine.Loss{Process: process(n), At: at})
	}
	return state
}

// admitUntil returns the first time from which on a VM may run a trial.
func admitUntil(g *WithT, t *quarantine.Table, from time.Duration, content quarantine.Content, vms quarantine.VMs) time.Duration {
	for at := from; at < from+time.Minute; at += 10 * time.Millisecond {
		state, _, trial := t.Admit(at, []quarantine.Content{content}, 7, vms)
		if state == quarantine.Clear {
			g.Expect(trial).To(BeTrue())
			return at
		}
	}
	g.Fail("no trial within a minute")
	return 0
}

// Guards against sending on content whose losses no VM can prove yet.
func TestContentIsHeldBackAfterThreeLosses(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	g.Expect(lose(table, second, body, 1, 2)).To(Equal(quarantine.Clear))
	g.Expect(lose(table, second, body, 2)).To(Equal(quarantine.Clear), "the same process again")
	g.Expect(lose(table, second, body, 3)).To(Equal(quarantine.Held))
	state, content, trial := table.Admit(second, []quarantine.Content{other, body}, 1, quarantine.VMs{})
	g.Expect(state).To(Equal(quarantine.Held))
	g.Expect(content).To(Equal(body))
	g.Expect(trial).To(BeFalse())
	state, _, trial = table.Admit(second, []quarantine.Content{other}, 1, quarantine.VMs{})
	g.Expect(state).To(Equal(quarantine.Clear))
	g.Expect(trial).To(BeFalse())
}

// Guards against more requests than one at a VM while content is held back, and against content that
// is held back for good although it is harmless.
func TestATrialThatIsAnsweredClearsContent(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	at := admitUntil(g, table, second, body, quarantine.VMs{Count: 1})
	g.Expect(at).To(BeNumerically(">=", 2*second), "not before all VMs know of the losses")
	state, _, _ := table.Admit(at, []quarantine.Content{body}, 8, quarantine.VMs{Count: 1})
	g.Expect(state).To(Equal(quarantine.Held), "while the trial runs")
	before, cleared := table.RecordAnswer(at, body, at)
	g.Expect(before).To(Equal(quarantine.Held))
	g.Expect(cleared).To(BeTrue())
	g.Expect(table.State(at, body)).To(Equal(quarantine.Clear))
	g.Expect(table.Len()).To(BeZero())
}

// Guards against a trial that never ends, since no server took it.
func TestATrialThatWasNotSentIsRepeated(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	at := admitUntil(g, table, second, body, quarantine.VMs{Count: 1})
	table.EndTrial([]quarantine.Content{body}, 7)
	admitUntil(g, table, at, body, quarantine.VMs{Count: 1})
}

// toldAfter is the time after which all VMs know of a loss.
const toldAfter = 700 * time.Millisecond

// losingVMs are VMs each of whose trials is lost.
type losingVMs struct {
	tables []*quarantine.Table
	trials []quarantine.Loss
}

func newLosingVMs(count int) *losingVMs {
	r := &losingVMs{}
	for range count {
		table := quarantine.New()
		lose(table, second, body, 1, 2, 3)
		r.tables = append(r.tables, table)
	}
	return r
}

// step sends a request to each VM, and tells the VMs of the losses before.
func (r *losingVMs) step(at time.Duration) {
	for vm, table := range r.tables {
		for _, loss := range r.trials {
			if loss.At+toldAfter <= at {
				table.RecordLoss(at, body, loss)
			}
		}
		request := uint64(10 + len(r.trials))
		if _, _, trial := table.Admit(at, []quarantine.Content{body}, request, quarantine.VMs{Position: vm, Count: len(r.tables)}); trial {
			loss := quarantine.Loss{Process: process(int(request)), At: at, Trial: request}
			r.trials = append(r.trials, loss)
			table.RecordLoss(at, body, loss)
			table.EndTrial([]quarantine.Content{body}, request)
		}
	}
}

// Guards against trials that go on for ever, and against as many trials as there are VMs.
func TestTwoLostTrialsBlockContent(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 60} {
		g := NewWithT(t)
		r := newLosingVMs(count)
		const end = 80 * second
		for at := second; at < end; at += 50 * time.Millisecond {
			r.step(at)
		}
		g.Expect(r.trials).To(HaveLen(2), "%d VMs", count)
		for _, table := range r.tables {
			g.Expect(table.State(end, body)).To(Equal(quarantine.Blocked))
		}
	}
}

// Guards against blocking harmless content whose trials ran on servers that other content ended.
func TestATrialLostBesideAnotherTrialBlocksNeither(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	lose(table, second, other, 1, 2, 3)
	for n := 4; n <= 5; n++ {
		at := time.Duration(n) * second
		table.RecordLoss(at, body, quarantine.Loss{Process: process(n), At: at, Trial: 1})
		table.RecordLoss(at, other, quarantine.Loss{Process: process(n), At: at, Trial: 2})
	}
	g.Expect(table.State(6*second, other)).To(Equal(quarantine.Held))
	for n := 6; n <= 7; n++ {
		table.RecordLoss(7*second, body, quarantine.Loss{Process: process(n), At: 7 * second, Trial: 3})
	}
	g.Expect(table.State(8*second, body)).To(Equal(quarantine.Blocked))
	g.Expect(table.State(8*second, other)).To(Equal(quarantine.Held))
}

// Guards against holding back a body that was running on servers to which all VMs lost their links,
// and against taking the next process at an address for the one that ended.
func TestProcessesThatRespondClearContent(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	g.Expect(table.RecordResponse(2*second, process(1), second/2)).To(BeEmpty(), "sent before the loss")
	g.Expect(table.RecordResponse(4*second, process(1), 4*second)).To(BeEmpty())
	g.Expect(table.RecordResponse(5*second, process(1), 5*second)).To(BeEmpty(), "another process may not be known yet")
	g.Expect(table.RecordResponse(7*second, process(1), 7*second)).To(Equal([]quarantine.Content{body}))
	lose(table, 8*second, body, 4)
	g.Expect(table.State(8*second, body)).To(Equal(quarantine.Held))
	table.RecordResponse(9*second, process(4), 9*second)
	table.RecordProcess(quarantine.Process{Address: process(4).Address, ID: 99})
	g.Expect(table.RecordResponse(12*second, process(4), 12*second)).To(BeEmpty())
	g.Expect(table.State(12*second, body)).To(Equal(quarantine.Held))
}

// Guards against a table that grows with the requests, or forgets what is held back.
func TestTheTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	for i := range 10_000 {
		lose(table, 2*second, quarantine.Content{Path: "p", Hash: uint64(100 + i)}, 1)
	}
	g.Expect(table.Len()).To(BeNumerically("<=", 4096))
	g.Expect(table.State(3*second, body)).To(Equal(quarantine.Held))
	g.Expect(table.HeldEvidence(3*second, 100)).To(HaveLen(3))
	g.Expect(table.State(time.Hour, body)).To(Equal(quarantine.Clear))
}
