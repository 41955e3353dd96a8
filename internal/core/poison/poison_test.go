package poison_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/poison"
)

func body(hash int) poison.Body {
	return poison.Body{Account: "a", Pipeline: "p", Hash: uint64(hash)}
}

// crashServer loses a server that runs the given bodies, and evaluates the crash.
func crashServer(t *poison.Table, now time.Duration, server string, progress int, hashes ...int) []poison.Finding {
	for _, hash := range hashes {
		t.RecordLoss(now, poison.Loss{Server: server, Incarnation: 1, Body: body(hash), Progress: progress})
	}
	t.ConnectionRefused(now, server)
	return t.Evaluate(now + 500*time.Millisecond)
}

// Ten servers with twenty streams each are lost at once, and each stream then
// completes elsewhere. The crashes must not be counted as if every stream was
// involved in each of them, which would block hundreds of innocent requests.
func TestLossOfARackBlocksNoBody(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{})
	for server := range 10 {
		for stream := range 20 {
			table.RecordLoss(time.Second, poison.Loss{Server: fmt.Sprint("s", server), Body: body(1 + server*20 + stream)})
		}
	}
	for server := range 10 {
		table.ConnectionRefused(time.Second, fmt.Sprint("s", server))
	}
	g.Expect(table.Evaluate(2 * time.Second)).To(HaveLen(200))
	for hash := 1; hash <= 200; hash++ {
		g.Expect(table.Level(2*time.Second, body(hash))).To(Equal(poison.Suspect))
		table.ClearSuspicion(body(hash))
	}
	g.Expect(table.Len()).To(BeZero())
}

// Connections to a server are lost, then the same process answers. Only the link
// failed, so its streams must not stay suspects.
func TestABrokenLinkIsNoCrash(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{})
	table.RecordProbedIncarnation(0, 0, "s1", 5)
	table.RecordLoss(time.Second, poison.Loss{Server: "s1", Incarnation: 5, Body: body(1)})
	table.RecordProbedIncarnation(1500*time.Millisecond, time.Second, "s1", 5)
	g.Expect(table.DecisionPending(body(1))).To(BeTrue(), "a report from before the loss is no proof")
	table.RecordProbedIncarnation(2*time.Second, 0, "s1", 5)
	g.Expect(table.DecisionPending(body(1))).To(BeFalse())
	g.Expect(table.Evaluate(time.Minute)).To(BeEmpty())

	table.RecordLoss(time.Minute, poison.Loss{Server: "s1", Incarnation: 5, Body: body(1)})
	table.RecordProbedIncarnation(time.Minute, 0, "s1", 6)
	g.Expect(table.Evaluate(time.Minute+time.Second)).To(HaveLen(1), "a new process is proof")
}

// A server crashes and restarts at once. Another VM's outdated report of the old
// process arrives after the loss and must not make the crash look like a broken
// link; this VM's own probe proves it.
func TestIncarnationsReportedByPeersAreNoProof(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{})
	table.RecordPeerIncarnation("s1", 5)
	table.RecordLoss(time.Second, poison.Loss{Server: "s1", Body: body(1)})
	table.RecordPeerIncarnation("s1", 5)
	g.Expect(table.DecisionPending(body(1))).To(BeTrue())
	table.RecordProbedIncarnation(1100*time.Millisecond, 0, "s1", 6)
	g.Expect(table.Evaluate(2 * time.Second)).To(HaveLen(1))
}

// A long stream loses a server, continues for many tokens, and loses another. Two
// unrelated faults must not block it, but a third crash does.
func TestARequestThatMadeProgressNeedsAThirdCrash(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{})
	crashServer(table, time.Second, "s1", 5, 1)
	crashServer(table, 2*time.Second, "s2", poison.MinProgressTokens, 1)
	table.Evaluate(time.Minute)
	g.Expect(table.Level(time.Minute, body(1))).To(Equal(poison.Isolate))
	crashServer(table, time.Minute, "s3", poison.MinProgressTokens, 1)
	g.Expect(table.Level(61*time.Second, body(1))).To(Equal(poison.Blocked), "a third crash confirms")
}

// A suspect and other bodies run on a server that crashes. The others must not be
// blocked or isolated along with the suspect.
func TestACrashIsAttributedToTheKnownSuspect(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{})
	crashServer(table, time.Second, "s1", 0, 1)
	crashServer(table, 2*time.Second, "s2", 0, 1, 2, 3, 4)
	table.Evaluate(time.Minute)
	g.Expect(table.Level(time.Minute, body(1))).To(Equal(poison.Blocked))
	for hash := 2; hash <= 4; hash++ {
		g.Expect(table.Level(time.Minute, body(hash))).To(Equal(poison.Suspect))
	}
}

// Two VMs that each count one crash know of two, and one crash seen by two VMs
// counts once, in any order of arrival and with repeats. Taking the maximum or the
// sum of the counts would be wrong.
func TestCrashesOfSeveralVMsAreTheirUnionInAnyOrder(t *testing.T) {
	findings := []poison.Finding{
		{Body: body(1), Crashes: 1, Server: "s1", Incarnation: 7},
		{Body: body(1), Crashes: 1, Server: "s2", Incarnation: 8},
		{Body: body(1), Crashes: 1, Server: "s1", Incarnation: 7, Unproven: true},
		{Body: body(1), Crashes: 1, Server: "s2", Incarnation: 8},
	}
	for first := range findings {
		g := NewWithT(t)
		table := poison.New(poison.Options{})
		highest := 0
		for i := range findings {
			table.MergeFinding(0, findings[(first+i)%len(findings)])
			g.Expect(table.CrashCount(0, body(1))).To(BeNumerically(">=", highest), "the count never decreases")
			highest = table.CrashCount(0, body(1))
		}
		g.Expect(highest).To(Equal(2))
		g.Expect(table.Level(0, body(1))).To(Equal(poison.Isolate))
		table.RecordLoss(time.Second, poison.Loss{Server: "s2", Incarnation: 8, Body: body(1)})
		table.ConnectionRefused(time.Second, "s2")
		table.Evaluate(2 * time.Second)
		g.Expect(table.CrashCount(2*time.Second, body(1))).To(Equal(2), "the crash that another VM reported")
	}
}

// A body is sent on to the next VM within moments of a crash. A loss reported by
// another VM must count before it is proven, or the body crashes one more server;
// without proof it expires.
func TestAnUnprovenLossOnAnotherVMCountsForAWhile(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{})
	lost := poison.Finding{Body: body(1), Crashes: 1, Server: "s1", Incarnation: 7, Unproven: true}
	table.MergeFinding(0, lost)
	g.Expect(table.Level(0, body(1))).To(Equal(poison.Suspect))
	g.Expect(table.DecisionPending(body(1))).To(BeFalse(), "a single loss may be a link failure")
	lost.Server = "s2"
	table.MergeFinding(0, lost)
	g.Expect(table.Level(0, body(1))).To(Equal(poison.Isolate))
	g.Expect(table.DecisionPending(body(1))).To(BeTrue())
	due, pending := table.NextDue()
	g.Expect(pending).To(BeTrue())
	table.Evaluate(due)
	g.Expect(table.Level(due, body(1))).To(Equal(poison.Clear))
	g.Expect(table.DecisionPending(body(1))).To(BeFalse())
}

// Thousands of suspects must neither let the table grow without bound nor evict a
// blocked body, which would then run again.
func TestTableIsBoundedAndKeepsBlockedBodies(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{Bodies: 100})
	crashServer(table, time.Second, "s1", 0, 1)
	crashServer(table, 2*time.Second, "s2", 0, 1)
	table.Evaluate(5 * time.Second)
	for i := range 1000 {
		crashServer(table, 10*time.Second, fmt.Sprint("t", i), 0, 10+i)
	}
	g.Expect(table.Len()).To(Equal(100))
	g.Expect(table.Level(11*time.Second, body(1))).To(Equal(poison.Blocked))

	g.Expect(table.Level(11*time.Minute, body(1009))).To(Equal(poison.Clear), "a suspicion expires")
	g.Expect(table.Level(59*time.Minute, body(1))).To(Equal(poison.Blocked))
	g.Expect(table.Level(2*time.Hour, body(1))).To(Equal(poison.Clear), "a block expires")
}

// Guards against findings that a VM that has started isn't told, and against telling expired ones.
func TestFindingsAreThoseThatCount(t *testing.T) {
	g := NewWithT(t)
	table := poison.New(poison.Options{SuspectTime: time.Minute, CondemnedTime: time.Hour})
	suspect, blocked := poison.Body{Pipeline: "a", Hash: 1}, poison.Body{Pipeline: "a", Hash: 2}
	table.MergeFinding(time.Second, poison.Finding{Body: suspect, Crashes: 1, Server: "s1", Incarnation: 1, At: time.Second})
	table.MergeFinding(time.Second, poison.Finding{Body: blocked, Crashes: 3, Blocked: true, Server: "s2", Incarnation: 1, At: time.Second})
	g.Expect(table.Findings(2*time.Second, 9)).To(ConsistOf(HaveField("Body", suspect), HaveField("Body", blocked)))
	g.Expect(table.Findings(2*time.Minute, 9)).To(ConsistOf(HaveField("Body", blocked)))
	g.Expect(table.Findings(2*time.Second, 1)).To(HaveLen(1))
}
