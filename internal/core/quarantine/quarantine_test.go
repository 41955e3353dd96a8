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

// tryTrial lets a request claim a trial of contents and returns what it may do after its wait, and when
// that is.
func tryTrial(t *quarantine.Table, at time.Duration, request uint64, contents ...quarantine.Content) (quarantine.Decision, time.Duration) {
	decision, _ := t.Admit(at, contents, request)
	if decision != quarantine.Wait {
		return decision, at
	}
	at += quarantine.ClaimTime
	return t.Resume(at, contents, request), at
}

// Guards against sending on content whose losses no VM can prove yet.
func TestContentIsHeldBackAfterThreeLosses(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	g.Expect(lose(table, second, body, 1, 2)).To(Equal(quarantine.Clear))
	g.Expect(lose(table, second, body, 2)).To(Equal(quarantine.Clear), "the same process again")
	g.Expect(lose(table, second, body, 3)).To(Equal(quarantine.Held))
	decision, claimed := table.Admit(second, []quarantine.Content{other, body}, 1)
	g.Expect(decision).To(Equal(quarantine.Wait))
	g.Expect(claimed).To(Equal([]quarantine.Content{body}))
	g.Expect(table.Resume(second+quarantine.ClaimTime/2, []quarantine.Content{other, body}, 1)).To(Equal(quarantine.Refuse), "too soon after the losses")
	decision, _ = table.Admit(second, []quarantine.Content{other}, 1)
	g.Expect(decision).To(Equal(quarantine.Run))
}

// Guards against more requests than one while content is held back, and against content that is held
// back for good although it is harmless.
func TestATrialThatIsAnsweredClearsContent(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	decision, at := tryTrial(table, 2*second, 7, body)
	g.Expect(decision).To(Equal(quarantine.RunTrial))
	decision, _ = table.Admit(at, []quarantine.Content{body}, 8)
	g.Expect(decision).To(Equal(quarantine.Refuse), "while the trial runs")
	before, cleared := table.RecordAnswer(at, body, at)
	g.Expect(before).To(Equal(quarantine.Held))
	g.Expect(cleared).To(BeTrue())
	g.Expect(table.State(at, body)).To(Equal(quarantine.Clear))
	g.Expect(table.Len()).To(BeZero())
}

// Guards against a trial that never ends, since no server took it or its VM was lost.
func TestATrialThatWasNotSentIsRepeated(t *testing.T) {
	g := NewWithT(t)
	table := quarantine.New()
	lose(table, second, body, 1, 2, 3)
	_, at := tryTrial(table, 2*second, 7, body)
	table.EndTrial([]quarantine.Content{body}, 7)
	decision, at := tryTrial(table, at, 8, body)
	g.Expect(decision).To(Equal(quarantine.RunTrial))
	table.EndTrial([]quarantine.Content{body}, 8)
	table.RecordClaim(at, body, quarantine.Claim{Request: 9, At: at})
	decision, _ = tryTrial(table, at+second, 10, body)
	g.Expect(decision).To(Equal(quarantine.Refuse))
	decision, _ = tryTrial(table, at+6*second, 10, body)
	g.Expect(decision).To(Equal(quarantine.RunTrial), "nothing was heard of the claim")
}

// Guards against two VMs that run a trial of the same content at the same time.
func TestOfTwoClaimsOneGoesBefore(t *testing.T) {
	for _, difference := range []time.Duration{0, 300 * time.Millisecond, 900 * time.Millisecond} {
		g := NewWithT(t)
		first, late := quarantine.New(), quarantine.New()
		lose(first, second, body, 1, 2, 3)
		lose(late, second, body, 1, 2, 3)
		contents := []quarantine.Content{body}
		first.Admit(2*second, contents, 9)
		late.Admit(2*second+difference, contents, 8)
		first.RecordClaim(2*second+difference, body, quarantine.Claim{Request: 8, At: 2*second + difference})
		late.RecordClaim(2*second+difference, body, quarantine.Claim{Request: 9, At: 2 * second})
		decisions := []quarantine.Decision{first.Resume(3*second, contents, 9), late.Resume(3*second+difference, contents, 8)}
		g.Expect(decisions).To(ConsistOf(quarantine.RunTrial, quarantine.Refuse), "%v", difference)
	}
}

// toldAfter is the time after which all VMs know of a loss or claim.
const toldAfter = 500 * time.Millisecond

// losingVMs are VMs each of whose trials is lost.
type losingVMs struct {
	tables  []*quarantine.Table
	waiting []map[uint64]time.Duration
	trials  []quarantine.Loss
	claims  []quarantine.Claim
	ids     uint64
}

func newLosingVMs(count int) *losingVMs {
	r := &losingVMs{ids: 100}
	for range count {
		table := quarantine.New()
		lose(table, second, body, 1, 2, 3)
		r.tables, r.waiting = append(r.tables, table), append(r.waiting, make(map[uint64]time.Duration))
	}
	return r
}

// step sends a request to each VM, and tells the VMs of the losses and claims before.
func (r *losingVMs) step(at time.Duration) {
	for vm, table := range r.tables {
		r.tell(at, table)
		r.ids++
		if decision, _ := table.Admit(at, []quarantine.Content{body}, r.ids); decision == quarantine.Wait {
			r.waiting[vm][r.ids] = at
			r.claims = append(r.claims, quarantine.Claim{Request: r.ids, At: at})
		}
		for request, since := range r.waiting[vm] {
			if at-since >= quarantine.ClaimTime {
				delete(r.waiting[vm], request)
				r.resume(at, table, request)
			}
		}
	}
}

// tell tells a VM of the losses and claims before.
func (r *losingVMs) tell(at time.Duration, table *quarantine.Table) {
	for _, loss := range r.trials {
		if loss.At+toldAfter <= at {
			table.RecordLoss(at, body, loss)
		}
	}
	for _, claim := range r.claims {
		if claim.At+toldAfter <= at && claim.At+toldAfter > at-second {
			table.RecordClaim(at, body, claim)
		}
	}
}

func (r *losingVMs) resume(at time.Duration, table *quarantine.Table, request uint64) {
	if table.Resume(at, []quarantine.Content{body}, request) == quarantine.RunTrial {
		loss := quarantine.Loss{Process: process(int(request)), At: at, Trial: request}
		r.trials = append(r.trials, loss)
		table.RecordLoss(at, body, loss)
	}
	table.EndTrial([]quarantine.Content{body}, request)
}

// Guards against trials that go on for ever, and against as many trials as there are VMs.
func TestTwoLostTrialsBlockContent(t *testing.T) {
	for _, count := range []int{1, 2, 3, 9, 60} {
		g := NewWithT(t)
		r := newLosingVMs(count)
		const end = 30 * second
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
