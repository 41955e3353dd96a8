package edge

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/testutil"
)

// builds are the earlier builds whose messages stand in testdata. Their VMs run beside those of this
// build while an operator replaces them.
var builds = []string{"6645a3c", "db144b9", "b54ce8c"}

// Guards against counts that are lost or taken twice between VMs of two builds, and against VMs
// that retry little because a hub of an earlier build says nothing of what it knows.
func TestCountsOfEarlierBuildsAreRead(t *testing.T) {
	for _, build := range builds {
		t.Run(build, func(t *testing.T) {
			g := NewWithT(t)
			var request, sum tallyv1.TellRequest
			var response tallyv1.TellResponse
			testutil.ReadMessage(t, "testdata/"+build+"/tally-request.hex", &request)
			testutil.ReadMessage(t, "testdata/"+build+"/tally-sum.hex", &sum)
			testutil.ReadMessage(t, "testdata/"+build+"/tally-response.hex", &response)

			hub := &tallyExchanger{self: "vm-1", dataCentre: "a", process: 1, hub: tally.NewHub("a", 1, anyServer), proof: newProofTracker(), reachability: newReachabilityTracker()}
			for _, now := range []time.Duration{time.Minute, time.Minute + 250*time.Millisecond} {
				hub.answer(now, &request, decodeTally(request.Tally, now))
				hub.answer(now, &sum, decodeTally(sum.Tally, now))
			}
			now := time.Minute + 300*time.Millisecond
			own := tally.Tally{VMs: 1, Process: 5, Counts: map[string]budget.History{"llm": {3: {Requests: 10, Retries: 2}}}}
			hub.hub.Report(now, "vm-new", own)
			g.Expect(hub.hub.SumExcept(now, "vm-new").Counts["llm"].Total()).To(Equal(budget.Count{Requests: 80, Retries: 6}))
			again := hub.answer(now, &request, decodeTally(request.Tally, now))
			g.Expect(again.Tally.Counts["llm"].Requests).To(BeEquivalentTo(50), "in the fields that the earlier build reads")
			g.Expect(again.Tally.Counts["llm"].Repeats).To(BeEquivalentTo(5))

			g.Expect(response.GetCountsUnknown()).To(BeFalse())
			g.Expect(decodeTally(response.Tally, 0).Counts["llm"].Total()).To(Equal(budget.Count{Requests: 40, Retries: 3}))
			g.Expect(decodeKnownCounts(&response, now).At).To(BeZero(), "nothing to pass on")
		})
	}
	g := NewWithT(t)
	message := encodeCount(budget.History{3: {Requests: 10, Retries: 2}, 9: {Requests: 1}})
	g.Expect(message.Requests).To(BeEquivalentTo(11))
	g.Expect(message.Repeats).To(BeEquivalentTo(2))
}

// Guards against configurations that are not passed on between VMs of two builds.
func TestConfigurationsOfEarlierBuildsAreRead(t *testing.T) {
	for _, build := range builds {
		t.Run(build, func(t *testing.T) {
			g := NewWithT(t)
			var request configv1.InForceRequest
			var response configv1.InForceResponse
			testutil.ReadMessage(t, "testdata/"+build+"/config-request.hex", &request)
			testutil.ReadMessage(t, "testdata/"+build+"/config-response.hex", &response)
			sent := bootclock.Now()
			state, ok := parseInForce("vm-old", &response, nil, sent)
			g.Expect(ok).To(BeTrue())
			g.Expect(state.configVersion).To(BeEquivalentTo(5))
			g.Expect(state.provenAt).To(Equal(sent - 250*time.Millisecond))

			proofs := newProofTracker()
			proofs.recordProof(4, objects.Object{Value: []byte("4")}, bootclock.Now()-time.Second)
			service := &configService{proofs: proofs}
			time.AfterFunc(50*time.Millisecond, func() {
				proofs.recordProof(4, objects.Object{Value: []byte("4")}, bootclock.Now())
			})
			answer, err := service.InForce(context.Background(), connect.NewRequest(&request))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bootclock.Now()-sent).To(BeNumerically(">=", 500*time.Millisecond), "a younger proof doesn't end its wait")
			g.Expect(answer.Msg.Value).To(BeEmpty())
			proofs.recordProof(5, objects.Object{Value: []byte("5")}, bootclock.Now())
			answer, err = service.InForce(context.Background(), connect.NewRequest(&request))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer.Msg.Release).To(BeEquivalentTo(5))
			g.Expect(string(answer.Msg.Value)).To(Equal("5"))
		})
	}
}

// Guards against a wait that lasts its whole time although the VM that is asked has a younger proof.
func TestYoungerProofEndsTheWait(t *testing.T) {
	g := NewWithT(t)
	proofs := newProofTracker()
	began := bootclock.Now()
	proofs.recordProof(4, objects.Object{Value: []byte("4")}, began-time.Second)
	age := uint64(time.Second.Microseconds())
	time.AfterFunc(50*time.Millisecond, func() { proofs.renewProof("vm-2", 4, bootclock.Now()) })
	answer, err := (&configService{proofs: proofs}).InForce(context.Background(), connect.NewRequest(&configv1.InForceRequest{Known: 4, WaitMillis: 2000, ProofAgeMicros: &age}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(bootclock.Now() - began).To(BeNumerically("<", time.Second))
	g.Expect(*answer.Msg.ProofAgeMicros).To(BeNumerically("<", time.Second.Microseconds()))
}

// Guards against a hub that starts and forgets what VMs retried that ended: the VMs that live on
// pass on what the earlier one knew.
func TestStartedHubLearnsCountsOfBefore(t *testing.T) {
	g := NewWithT(t)
	const retriedAt = time.Minute + 10*time.Second
	start := func(process uint64) *tallyExchanger {
		return &tallyExchanger{self: "vm-1", dataCentre: "a", process: process, hub: tally.NewHub("a", process, anyServer), proof: newProofTracker(), reachability: newReachabilityTracker()}
	}
	report := func(hub *tallyExchanger, now time.Duration, vm string, c *countsHandover, retries int) *tallyv1.TellResponse {
		request := &tallyv1.TellRequest{Vm: vm, Process: 3, Known: &tallyv1.Known{}, Tally: encodeTally(tally.Tally{VMs: 1}, now)}
		if age := (now - retriedAt) / (tally.CountsTTL / budget.HistoryBuckets); now >= retriedAt {
			var history budget.History
			history[age].Retries = retries
			request.Tally.Counts["llm"] = encodeCount(history)
		}
		if inherited := c.take(); inherited.At > 0 {
			request.Inherited, request.InheritedAgeMicros = encodeCounts(inherited, now)
		}
		answer := hub.answer(now, request, decodeTally(request.Tally, now))
		c.recordAnswer(answer.GetProcess(), decodeKnownCounts(answer, now))
		return answer
	}
	hub := start(1)
	lives, ends := &countsHandover{}, &countsHandover{}
	now := time.Minute
	for range 48 {
		now += 250 * time.Millisecond
		report(hub, now, "vm-2", ends, 9)
		report(hub, now, "vm-3", lives, 1)
	}
	hub = start(2)
	now += 250 * time.Millisecond
	g.Expect(report(hub, now, "vm-3", lives, 1).GetCountsUnknown()).To(BeTrue())
	for range 3 {
		now += 250 * time.Millisecond
		report(hub, now, "vm-3", lives, 1)
	}
	answer := report(hub, now, "vm-4", &countsHandover{}, 0)
	g.Expect(answer.GetCountsUnknown()).To(BeFalse())
	g.Expect(answer.Tally.Counts["llm"].Repeats).To(BeEquivalentTo(10), "nine of a VM that ended")
}

// earlierFinding is a finding as b54ce8c reads it.
type earlierFinding struct {
	Account   string `json:"a,omitempty"`
	Path      string `json:"p"`
	Hash      uint64 `json:"h"`
	Crashes   int    `json:"c,omitempty"`
	Condemned bool   `json:"x,omitempty"`
	Suspected bool   `json:"s,omitempty"`
	Server    string `json:"v"`
	Process   uint64 `json:"i,omitempty"`
	AgeMS     int64  `json:"t"`
}

// Guards against a VM that can't read what one of the build before found out about bodies that crash
// servers.
func TestFindingsOfTheEarlierBuildAreRead(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("testdata/b54ce8c/report.json")
	g.Expect(err).NotTo(HaveOccurred())
	var report peerReport
	g.Expect(json.Unmarshal(data, &report)).To(Succeed())
	g.Expect(report.Findings).To(HaveLen(3))
	handler := relay.New(relay.Options{Log: logr.Discard(), Dispatcher: relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{}))})
	for _, finding := range report.Findings {
		handler.ReceiveFinding(finding)
	}
	var blocked []uint64
	for _, finding := range handler.Findings() {
		if finding.Condemned {
			blocked = append(blocked, finding.Hash)
		}
	}
	g.Expect(blocked).To(Equal([]uint64{12}))
}

// Guards against a VM of the build before that refuses a body for what it doesn't understand: an
// answer, and losses under a part of prompts.
func TestTheEarlierBuildBlocksNothingForWhatIsNew(t *testing.T) {
	g := NewWithT(t)
	data, err := json.Marshal([]relay.Finding{
		{Account: "a", Path: "app.example/x", Answered: 11, AgeMS: 5},
		{Path: "llm", Hash: 12, Part: true, Suspected: true, Server: "10.0.0.1:1", Process: 21, Trial: 4, Joint: true, AgeMS: 5},
		{Account: "a", Path: "app.example/x", Hash: 13, Crashes: 1, Suspected: true, Unreached: true, Server: "10.0.0.1:1", Process: 21, AgeMS: 5},
	})
	g.Expect(err).NotTo(HaveOccurred())
	var read []earlierFinding
	g.Expect(json.Unmarshal(data, &read)).To(Succeed())
	g.Expect(read).To(Equal([]earlierFinding{
		{Account: "a", Path: "app.example/x", AgeMS: 5}, // without a hash it is ignored
		{Path: "llm", Hash: 12, Suspected: true, Server: "10.0.0.1:1", Process: 21, AgeMS: 5},
		{Account: "a", Path: "app.example/x", Hash: 13, Crashes: 1, Suspected: true, Server: "10.0.0.1:1", Process: 21, AgeMS: 5},
	}))
}
