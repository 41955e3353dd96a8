package trace

import (
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/request"
	"oleandershunt.example/oleandershunt/internal/engine"
)

// The cast of every scenario: VM a and VM b in two data centres.
const (
	vmA       = "vm-a"
	vmB       = "vm-b"
	vmC       = "vm-c"
	streamID  = request.ID("stream")
	saleID    = request.ID("sale")
	againID   = request.ID("sale-again")
	lateID    = request.ID("too-late")
	lateRunID = request.ID("sale-too-late")
	vainID    = request.ID("undecided")
	saleKey   = "key-of-the-sale"
	allTokens = 8
)

// play is one scenario: the same day on two VMs, with failures. Its fields are
// what the failures change in what is stated.
type play struct {
	*script
	streamRuns  int
	dropped     int
	bad         int
	saleLost    bool
	saleVerdict core.Verdict
	againReason request.Reason
	againRan    request.Execution
	// twoAtB is when VM b gets release 2.
	twoAtB time.Duration
	// newest is the release that follows release 1.
	newest       uint64
	releasesA    []ReleaseAt
	releasesB    []ReleaseAt
	leavingAt    time.Duration
	lastDispatch time.Duration
	// noDownload says that the plain service has no instance for a while.
	noDownload bool
	extra      []Outcome
}

// fault is one kind of failure: what it does at three points of the day.
type fault struct {
	kind     Failure
	symptom  string
	sequence string
	cause    string
	// plan changes what is stated and when things come.
	plan func(*play)
	// mid comes at 2 s, when answers are in flight; late at 6.2 s.
	mid  func(*play)
	late func(*play)
}

func newPlay(s *script) *play {
	return &play{
		script: s, streamRuns: 1, saleVerdict: core.VerdictRan,
		againReason: request.ReasonKeyRan, againRan: request.Ran,
		twoAtB: 4400 * time.Millisecond, newest: 2,
		leavingAt: 4 * time.Second, lastDispatch: 4200 * time.Millisecond,
	}
}

const ms = time.Millisecond

// run plays the day and states what must come of it.
func (p *play) run(faults []fault) {
	for _, f := range faults {
		call(f.plan, p)
	}
	p.join(vmA, 0)
	p.join(vmB, 1)
	p.at(1 * ms)
	for _, vm := range []string{vmA, vmB} {
		p.event(vm, core.VMsCounted{Live: 2})
		p.config(vm, 1)
	}
	p.morning()
	p.at(2000 * ms)
	for _, f := range faults {
		call(f.mid, p)
	}
	p.sale()
	p.release()
	p.at(6200 * ms)
	for _, f := range faults {
		call(f.late, p)
	}
	p.evening()
	p.outcomes()
}

func call(do func(*play), p *play) {
	if do != nil {
		do(p)
	}
}

// morning starts a stream and a sale on VM a, and a download on VM b.
func (p *play) morning() {
	p.at(1000 * ms)
	p.arrive(vmA, streamID, p.pipeline)
	p.stream(vmA, streamID, 3)
	p.at(1200 * ms)
	p.arrive(vmA, saleID, p.once(saleKey))
	p.decide(vmA, saleID, core.VerdictGranted, 2*time.Second)
	p.at(1400 * ms)
	p.download("download-1")
}

func (p *play) download(id request.ID) {
	p.arrive(vmB, id, p.status)
	p.ended(vmB, id, request.Completed, "")
}

// sale ends the sale on VM a; its caller sends it again to VM b.
func (p *play) sale() {
	p.at(3000 * ms)
	if p.saleLost {
		p.ended(vmA, saleID, request.Lost, p.d.service+"-writer-1")
	} else {
		p.ended(vmA, saleID, request.Completed, "")
	}
	p.at(3500 * ms)
	p.arrive(vmB, againID, p.once(saleKey))
	p.decide(vmB, againID, p.saleVerdict, 0)
	p.tooLate(vmB, lateRunID, saleKey, p.saleVerdict)
}

// tooLate sends a call past its deadline: it is refused, and the owner of its
// key says what it knows.
func (p *play) tooLate(vm string, id request.ID, key string, known core.Verdict) {
	p.arrive(vm, id, func(e *core.RequestArrived) {
		p.once(key)(e)
		e.Deadline = p.now - p.vms[vm].offset
	})
	p.event(vm, core.ClaimPeeked{Request: id, Verdict: known})
}

// release brings a release in force in which one instance of the service leaves.
func (p *play) release() {
	p.at(4000 * ms)
	p.config(vmA, 2)
	if p.newest > 2 {
		p.at(4100 * ms)
		p.config(vmA, p.newest)
	}
	p.at(4200 * ms)
	if p.noDownload {
		p.arrive(vmB, "download-2", p.status)
	} else {
		p.download("download-2")
	}
	if p.twoAtB < 5*time.Second {
		p.releaseAtB()
	}
	p.at(5000 * ms)
	if p.twoAtB < 5*time.Second || !p.noDownload {
		p.download("download-3")
	}
	p.at(5500 * ms)
	p.arrive(vmA, vainID, p.once("key-in-vain"))
	p.decide(vmA, vainID, core.VerdictUndecided, 0)
	p.tooLate(vmA, lateID, "key-too-late", core.VerdictFree)
	if p.twoAtB >= 5*time.Second {
		p.releaseAtB()
	}
}

// releaseAtB brings the newest release to VM b, and an older one after it.
func (p *play) releaseAtB() {
	p.at(p.twoAtB)
	p.config(vmB, p.newest)
	p.at(p.twoAtB + 100*ms)
	p.config(vmB, p.newest-1)
}

// evening ends the stream, stops VM a as planned and starts it anew.
func (p *play) evening() {
	p.at(6500 * ms)
	p.stream(vmA, streamID, allTokens)
	p.finish(vmA, streamID)
	p.at(7000 * ms)
	p.restart(vmA)
	p.at(7100 * ms)
	p.config(vmA, p.newest)
	p.at(7500 * ms)
}

// lateReason is why the sale's repeat past its deadline is refused: for its key
// if the owner knows it.
func (p *play) lateReason() request.Reason {
	if p.saleVerdict == core.VerdictUndecided {
		return request.ReasonDeadline
	}
	return p.againReason
}

func (p *play) outcomes() {
	p.releasesA = []ReleaseAt{{1 * ms, 1}, {4000 * ms, 2}}
	if p.newest > 2 {
		p.releasesA = append(p.releasesA, ReleaseAt{4100 * ms, p.newest})
	}
	p.releasesB = []ReleaseAt{{1 * ms, 1}, {p.twoAtB, p.newest}}
	stream := whole(vmA, streamID, p.streamRuns)
	stream.Request.Tokens = tokens(streamID, allTokens)
	stream.Request.Dropped, stream.Request.BadReceipts = &p.dropped, &p.bad
	p.state(stream)
	if p.saleLost {
		p.state(refused(vmA, saleID, 1, request.ReasonNotRepeatable, request.MayHaveRun))
	} else {
		p.state(whole(vmA, saleID, 1))
	}
	p.state(
		refused(vmB, againID, 0, p.againReason, p.againRan),
		refused(vmB, lateRunID, 0, p.lateReason(), p.againRan),
		Outcome{Key: &KeyOutcome{Account: p.d.account, Key: saleKey, Executions: 1}},
		refused(vmA, vainID, 0, request.ReasonClaimUndecided, request.MayHaveRun),
		refused(vmA, lateID, 0, request.ReasonDeadline, request.NotRun),
		Outcome{Server: &ServerOutcome{Server: p.d.service + "-1", LeavingAt: &p.leavingAt, LastDispatchAt: p.lastDispatch}},
		Outcome{VM: &VMOutcome{VM: vmA, Releases: p.releasesA}},
		Outcome{VM: &VMOutcome{VM: vmB, Releases: p.releasesB}},
	)
	p.state(p.extra...)
}

// loseStream breaks the stream's attempt at one of its stages.
func (p *play) loseStream(outcome request.Outcome, stage int) {
	path := p.dispatched(vmA, streamID).Path
	p.ended(vmA, streamID, outcome, path[stage].Server)
	p.streamRuns++
}

// lateFrame brings a frame of an earlier attempt, or of another request, on the
// stream of the current attempt.
func (p *play) lateFrame(change func(*engine.Frame)) {
	p.frame(vmA, streamID, change)
	p.dropped++
}

func formerAttempt(f *engine.Frame) { f.Attempt-- }

func anotherRequest(f *engine.Frame) { f.Request = "another" }

func stageDied() fault {
	return fault{
		kind:     FailureStageDied,
		symptom:  "An answer breaks off or has tokens lost or repeated, and a booking is made twice.",
		sequence: "The last stage of a stream dies after three tokens; a token of the former attempt arrives on the new stream, and the new first stage repeats a token. The writer of a booking dies after the call left; its caller sends it again to another VM.",
		cause:    "An attempt resumed at the wrong token, a late frame delivered, or a call that may have run sent again.",
		plan: func(p *play) {
			p.saleLost = true
			p.saleVerdict, p.againReason, p.againRan = core.VerdictMayHaveRun, request.ReasonKeyMayHaveRun, request.MayHaveRun
		},
		mid: func(p *play) {
			p.loseStream(request.Interrupted, 1)
			p.lateFrame(formerAttempt)
			p.frame(vmA, streamID, func(f *engine.Frame) { f.Token.Index-- })
			p.bad++
			p.loseStream(request.BadReceipt, 0)
		},
	}
}

func linkDegraded() fault {
	return fault{
		kind:     FailureLinkDegraded,
		symptom:  "A stream hangs, or shows another caller's tokens.",
		sequence: "The links between two data centres lose packets; a stream falls silent and is resumed on another path, where a frame of another request arrives.",
		cause:    "Silence taken for work, or a frame delivered without a look at whose it is.",
		mid: func(p *play) {
			p.event(vmA, core.LinkObserved{From: p.d.dataCentres[0], To: p.d.dataCentres[1], Delay: 80 * ms, Lost: true})
			p.loseStream(request.Lost, 0)
			p.lateFrame(anotherRequest)
		},
	}
}

func vmJoined() fault {
	return fault{
		kind:     FailureVMJoined,
		symptom:  "A new VM answers from an old configuration, or loses what it is given.",
		sequence: "VM c starts under traffic, gets a request before any configuration, then the newest release from a peer, then another request, of which a stage skips a layer for one token.",
		cause:    "Requests taken on before there is a configuration to decide by.",
		late: func(p *play) {
			p.join(vmC, 2)
			p.arrive(vmC, "too-early", p.status)
			p.event(vmC, core.VMsCounted{Live: 3})
			p.at(p.now + 100*ms)
			p.config(vmC, p.newest)
			at := p.now
			p.arrive(vmC, "in-time", p.pipeline)
			p.stream(vmC, "in-time", 1)
			p.frame(vmC, "in-time", func(f *engine.Frame) { f.Token.Receipts[1].Layers.From++ })
			p.ended(vmC, "in-time", request.BadReceipt, p.dispatched(vmC, "in-time").Path[1].Server)
			p.stream(vmC, "in-time", 2)
			p.finish(vmC, "in-time")
			inTime := whole(vmC, "in-time", 2)
			inTime.Request.Tokens = tokens("in-time", 2)
			bad := 1
			inTime.Request.BadReceipts = &bad
			p.extra = append(p.extra, refused(vmC, "too-early", 0, request.ReasonNoConfiguration, request.NotRun), inTime,
				Outcome{VM: &VMOutcome{VM: vmC, Releases: []ReleaseAt{{at, p.newest}}}})
		},
	}
}

// lateAtB brings the release to VM b late: its instance of the service is used
// longer, but no longer than a few seconds.
func lateAtB(p *play, at time.Duration) {
	p.twoAtB = max(p.twoAtB, at)
	if !p.noDownload {
		p.lastDispatch = 5000 * ms
	}
}

func platformDown() fault {
	return fault{
		kind:     FailurePlatformDown,
		symptom:  "A VM stops serving, or goes back to an old configuration, when the platform is down.",
		sequence: "The platform goes down just after VM a saw a release; VM b gets it from VM a 1.8 s later; a key can't be decided meanwhile.",
		cause:    "Work that waits for the platform, or a key decided without its journal.",
		plan:     func(p *play) { lateAtB(p, 5800*ms) },
	}
}

func writeAnswerLost() fault {
	return fault{
		kind:     FailureWriteAnswerLost,
		symptom:  "A booking is made twice.",
		sequence: "The answer to the write of a claim is lost; the owner reads back and grants, and the grant reaches the VM a second time. The release comes twice too.",
		cause:    "A repeated grant taken for a new one.",
		mid: func(p *play) {
			p.decide(vmA, saleID, core.VerdictGranted, 2*time.Second)
			p.decide(vmA, saleID, core.VerdictGranted, 2*time.Second)
		},
		late: func(p *play) {
			p.config(vmA, p.newest)
			p.arrive(vmB, "lost-write", p.once("key-lost-write"))
			p.decide(vmB, "lost-write", core.VerdictUndecided, 0)
			p.arrive(vmB, "lost-write-again", p.once("key-lost-write"))
			p.decide(vmB, "lost-write-again", core.VerdictGranted, time.Second)
			p.ended(vmB, "lost-write-again", request.Completed, "")
			p.extra = append(p.extra, refused(vmB, "lost-write", 0, request.ReasonClaimUndecided, request.MayHaveRun),
				whole(vmB, "lost-write-again", 1),
				Outcome{Key: &KeyOutcome{Account: p.d.account, Key: "key-lost-write", Executions: 1}})
		},
	}
}

func holderPaused() fault {
	return fault{
		kind:     FailureHolderPaused,
		symptom:  "A booking is made twice, by a VM that woke up and by its successor.",
		sequence: "VM b is granted a key for half a second, is paused for 1.5 s and then reads the grant; meanwhile a successor granted the key to VM a. VM b, which refuses, asks what became of the key.",
		cause:    "A grant used without looking whether it still holds.",
		mid: func(p *play) {
			p.arrive(vmB, "paused", p.once("key-of-the-paused"))
			p.at(2100 * ms)
			p.arrive(vmA, "successor", p.once("key-of-the-paused"))
			p.decide(vmA, "successor", core.VerdictGranted, time.Second)
			p.ended(vmA, "successor", request.Completed, "")
			p.at(2900 * ms)
			p.event(vmB, core.ClaimDecided{Request: "paused", Verdict: core.VerdictGranted, ValidUntil: 2500 * ms})
			p.event(vmB, core.ClaimPeeked{Request: "paused", Verdict: core.VerdictRan})
			p.extra = append(p.extra, refused(vmB, "paused", 0, request.ReasonKeyRan, request.Ran),
				whole(vmA, "successor", 1),
				Outcome{Key: &KeyOutcome{Account: p.d.account, Key: "key-of-the-paused", Executions: 1}})
		},
	}
}

func operatorsRace() fault {
	return fault{
		kind:     FailureOperatorsRace,
		symptom:  "A VM runs what an operator had already replaced.",
		sequence: "Two operators have a record accepted at nearly the same time; VM b sees the second release first.",
		cause:    "The release that comes last taken for the newest.",
		plan:     func(p *play) { p.newest = 3 },
	}
}

func poisonRequest() fault {
	return fault{
		kind:     FailurePoison,
		symptom:  "One request takes server after server with it.",
		sequence: "A request crashes two servers, which is proven by refused connections and new processes; another VM has condemned its body too; its caller sends it again.",
		cause:    "A crash not laid to the request, or a verdict kept to one VM.",
		mid: func(p *play) {
			body := func(e *core.RequestArrived) { e.Pipeline, e.BodyHash = p.d.pipeline, 666 }
			p.arrive(vmB, "poison", body)
			for crash := range 2 {
				server := p.dispatched(vmB, "poison").Path[0].Server
				p.ended(vmB, "poison", request.Lost, server)
				p.event(vmB, core.ServerProbeFailed{Server: server, Witness: vmB, Refused: true})
				p.at(p.now + 200*ms)
				p.event(vmB, core.ServerObserved{Server: server, Incarnation: uint64(crash + 2), Model: p.d.model, Version: p.d.version, Layers: api.Layers{From: 0, To: p.d.layers / 2}, Witness: vmB})
			}
			p.event(vmA, core.PoisonFindingReceived{Finding: core.PoisonFinding{Account: p.d.account, Pipeline: p.d.pipeline, BodyHash: 666, Crashes: 2, Condemned: true}})
			p.arrive(vmA, "poison-again", body)
			p.extra = append(p.extra, refused(vmB, "poison", 2, request.ReasonPoison, request.Ran),
				refused(vmA, "poison-again", 0, request.ReasonPoison, request.Ran))
		},
	}
}

func partition() fault {
	return fault{
		kind:     FailurePartition,
		symptom:  "A data centre stops serving when it is cut off, or decides keys that another decides too.",
		sequence: "VM b is cut off from VM a's data centre and the platform; it can't reach the servers there, serves streams by its own, refuses a key that it can't have decided, and gets the release when the cut heals.",
		cause:    "Servers counted as live or gone by the wrong side, or a key decided on both sides.",
		plan: func(p *play) {
			lateAtB(p, 5800*ms)
			p.saleVerdict, p.againReason, p.againRan = core.VerdictUndecided, request.ReasonClaimUndecided, request.MayHaveRun
		},
		mid: func(p *play) {
			for _, n := range []string{"1", "2", "3", "4"} {
				for range 3 {
					p.event(vmB, core.ServerProbeFailed{Server: p.d.dataCentres[0] + "-" + n, Witness: vmB})
				}
			}
			p.arrive(vmB, "apart", p.pipeline)
			p.stream(vmB, "apart", 4)
			p.finish(vmB, "apart")
			apart := whole(vmB, "apart", 1)
			apart.Request.Tokens = tokens("apart", 4)
			p.extra = append(p.extra, apart)
		},
	}
}

func staleList() fault {
	return fault{
		kind:     FailureStaleList,
		symptom:  "A leaving server gets new work, because the platform's list still shows it as live.",
		sequence: "An instance of a plain service says that it leaves; the platform's list, which lags, shows it as live; the release that replaces it comes later.",
		cause:    "The list believed before the server's own word.",
		plan: func(p *play) {
			p.noDownload = true
			p.leavingAt, p.lastDispatch = 2000*ms, 1400*ms
			p.extra = append(p.extra, refused(vmB, "download-2", 0, request.ReasonNoPath, request.NotRun))
		},
		mid: func(p *play) {
			server := p.d.service + "-1"
			p.event(vmB, core.ServerObserved{Server: server, Incarnation: 1, Leaving: true, Witness: vmB})
			p.event(vmB, core.PlatformListed{Servers: []fleet.PlatformEntry{{Name: server}}})
			p.event(vmB, core.VMsCounted{Live: 4})
		},
	}
}

// scenario is a trace of the set.
type scenario struct {
	name       string
	deployment deployment
	faults     []fault
}

func (s scenario) head() Head {
	var head Head
	var symptom, sequence, cause []string
	for _, f := range s.faults {
		head.Failures = append(head.Failures, f.kind)
		symptom, sequence, cause = append(symptom, f.symptom), append(sequence, f.sequence), append(cause, f.cause)
	}
	head.Symptom, head.Sequence, head.Cause = strings.Join(symptom, " "), strings.Join(sequence, " "), strings.Join(cause, " ")
	return head
}

// scenarios are each failure alone at Kademe, and pairs of them at Krishijot.
func scenarios() []scenario {
	all := []fault{
		stageDied(), linkDegraded(), vmJoined(), platformDown(), writeAnswerLost(),
		holderPaused(), operatorsRace(), poisonRequest(), partition(), staleList(),
	}
	var list []scenario
	for _, f := range all {
		list = append(list, scenario{"kademe-" + string(f.kind), kademe(), []fault{f}})
	}
	for i, f := range all {
		for _, distance := range []int{1, 3} {
			other := all[(i+distance)%len(all)]
			list = append(list, scenario{"krishijot-" + string(f.kind) + "-and-" + string(other.kind), krishijot(), []fault{f, other}})
		}
	}
	return list
}
