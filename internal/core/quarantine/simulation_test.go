package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/quarantine"
)

// Times of the simulation.
const (
	simStep       = 10 * time.Millisecond
	simTold       = 500 * time.Millisecond
	simAnswer     = 1200 * time.Millisecond
	simBegun      = 160 * time.Millisecond
	simCrash      = 60 * time.Millisecond
	simContact    = 3 * time.Second
	simMinDown    = 3 * time.Second
	simDownSpread = 2 * time.Second
	simMaxSends   = 3
)

// simWay is a way to decide on parts.
type simWay struct {
	name string
	// memory is set if earlier answers to a part count for later losses, and trials if what is held
	// back may run in trials.
	memory, trials bool
}

var simWays = []simWay{{"answers count, trials", true, true}, {"answers are forgotten, trials", false, true}, {"answers count, no trials", true, false}, {"answers are forgotten, no trials", false, false}}

// simRequest is a request in the simulation.
type simRequest struct {
	vm       int
	contents []quarantine.Content
	crashing bool
	// sentAt is when it was sent to its server, and begunAt when the first attempt had begun; 0
	// before.
	sentAt, begunAt time.Duration
	sends           int
	claim, trial    uint64
	counts          bool
}

type waitingRequest struct {
	*simRequest
	since time.Duration
}

type simServer struct {
	process   int
	downUntil time.Duration
	running   []*simRequest
}

// simMessage is a loss, a claim, or an answer if both are zero, that all VMs learn at a time.
type simMessage struct {
	at      time.Duration
	content quarantine.Content
	loss    quarantine.Loss
	claim   quarantine.Claim
}

// simulation is VMs with a table each before servers that end under one part of prompts.
type simulation struct {
	way      simWay
	random   *rand.Rand
	tables   []*quarantine.Table
	servers  []simServer
	messages []simMessage
	// waiting are the requests that wait for a trial, the first one first.
	waiting []waitingRequest
	now     time.Duration
	ids     uint64
	ends    []time.Duration
	sends   []time.Duration
	// served and sent count the sound requests that count.
	served, sent int
}

func newSimulation(way simWay, vms, servers int, seed uint64) *simulation {
	s := &simulation{way: way, random: rand.New(rand.NewPCG(seed, 1)), servers: make([]simServer, servers)}
	for range vms {
		s.tables = append(s.tables, quarantine.New())
	}
	for i := range s.servers {
		s.servers[i].process = 1
	}
	return s
}

// part returns a part of prompts. Without memory of answers, it is one like a body.
func (s *simulation) part(hash int) quarantine.Content {
	return quarantine.Content{Path: "llm", Hash: uint64(hash), Part: s.way.memory}
}

const simCrashingPart = 999

func (s *simulation) request(crashing, counts bool) *simRequest {
	r := &simRequest{vm: s.random.IntN(len(s.tables)), crashing: crashing, counts: counts && !crashing}
	r.contents = []quarantine.Content{s.part(1), s.part(10 + s.random.IntN(5)), s.part(20 + s.random.IntN(30))}
	if crashing {
		r.contents[s.random.IntN(3)] = s.part(simCrashingPart)
	}
	return r
}

// arrive sends a request to a server if its VM admits it.
func (s *simulation) arrive(r *simRequest) {
	s.ids++
	r.claim = s.ids
	decision, claimed := s.tables[r.vm].Admit(s.now, r.contents, r.claim)
	switch {
	case decision == quarantine.Run:
		s.send(r)
	case decision == quarantine.Wait && s.way.trials:
		s.waiting = append(s.waiting, waitingRequest{r, s.now})
		for _, content := range claimed {
			s.messages = append(s.messages, simMessage{at: s.now, content: content, claim: quarantine.Claim{Request: r.claim, At: s.now}})
		}
	default:
		s.tables[r.vm].EndTrial(r.contents, r.claim)
	}
}

// resume decides on the requests that have waited for a trial.
func (s *simulation) resume() {
	for len(s.waiting) > 0 && s.now-s.waiting[0].since >= quarantine.ClaimTime {
		r := s.waiting[0].simRequest
		s.waiting = s.waiting[1:]
		switch s.tables[r.vm].Resume(s.now, r.contents, r.claim) {
		case quarantine.RunTrial:
			r.trial = r.claim
			s.send(r)
		case quarantine.Run:
			s.send(r)
		default:
			s.tables[r.vm].EndTrial(r.contents, r.claim)
		}
	}
}

// send sends an admitted request to a server that is up.
func (s *simulation) send(r *simRequest) {
	table := s.tables[r.vm]
	if r.begunAt == 0 && r.trial == 0 && slices.ContainsFunc(r.contents, func(c quarantine.Content) bool { return table.State(s.now, c) != quarantine.Clear }) {
		return
	}
	var up []int
	for i := range s.servers {
		if s.now >= s.servers[i].downUntil {
			up = append(up, i)
		}
	}
	if len(up) == 0 || r.sends >= 4 {
		table.EndTrial(r.contents, r.claim)
		return
	}
	server := &s.servers[up[s.random.IntN(len(up))]]
	r.sentAt = s.now
	r.sends++
	server.running = append(server.running, r)
	if r.crashing {
		s.sends = append(s.sends, s.now)
	}
}

// step advances the simulation.
func (s *simulation) step(rate float64, crashing, counts bool) {
	s.now += simStep
	s.deliver()
	s.resume()
	for i := range s.servers {
		s.run(i)
	}
	if s.random.Float64() < rate*simStep.Seconds() {
		r := s.request(crashing && s.random.IntN(4) == 0, counts)
		if r.counts {
			s.sent++
		}
		s.arrive(r)
	}
}

// deliver lets all VMs know of the messages that are old enough.
func (s *simulation) deliver() {
	for len(s.messages) > 0 && s.messages[0].at+simTold <= s.now {
		m := s.messages[0]
		s.messages = s.messages[1:]
		for _, table := range s.tables {
			switch {
			case m.claim.Request != 0:
				table.RecordClaim(s.now, m.content, m.claim)
			case m.loss.Process.ID != 0:
				table.RecordLoss(s.now, m.content, m.loss)
			default:
				table.RecordAnswer(s.now, m.content, m.at)
			}
		}
	}
}

// run advances the requests on a server.
func (s *simulation) run(i int) {
	server := &s.servers[i]
	if slices.ContainsFunc(server.running, func(r *simRequest) bool { return r.crashing && s.now-r.sentAt >= simCrash }) {
		s.end(i)
		return
	}
	server.running = slices.DeleteFunc(server.running, func(r *simRequest) bool {
		age := s.now - r.sentAt
		if r.begunAt == 0 && age >= simBegun {
			r.begunAt = s.now
			s.answer(r)
		}
		if age < simAnswer {
			return false
		}
		if r.counts {
			s.served++
		}
		s.tables[r.vm].EndTrial(r.contents, r.claim)
		return true
	})
}

// answer clears a request's contents, and tells the other VMs if that changed something.
func (s *simulation) answer(r *simRequest) {
	for _, content := range r.contents {
		if _, cleared := s.tables[r.vm].RecordAnswer(s.now, content, s.now); cleared {
			s.messages = append(s.messages, simMessage{at: s.now, content: content})
		}
	}
}

// end ends a server. Its requests are sent to others.
func (s *simulation) end(i int) {
	server := &s.servers[i]
	process := quarantine.Process{Address: fmt.Sprint("s", i), ID: uint64(server.process)}
	lost := server.running
	*server = simServer{process: server.process + 1, downUntil: s.now + simMinDown + time.Duration(s.random.Float64()*float64(simDownSpread))}
	s.ends = append(s.ends, s.now)
	for _, r := range lost {
		table := s.tables[r.vm]
		onTrial := table.OnTrial(r.contents, r.claim)
		for _, content := range r.contents {
			loss := quarantine.Loss{Process: process, At: s.now}
			if r.trial != 0 && slices.Contains(onTrial, content) {
				loss.Trial, loss.Joint = r.trial, len(onTrial) > 1
			}
			if r.begunAt == 0 && (loss.Trial != 0 || !table.AnsweredRecently(s.now, content)) {
				table.RecordLoss(s.now, content, loss)
				s.messages = append(s.messages, simMessage{at: s.now, content: content, loss: loss})
			}
		}
		table.EndTrial(r.contents, r.claim)
		if r.trial == 0 && (!r.crashing || r.sends < 2) {
			s.send(r)
		}
	}
}

// lateSends counts the sends of crashing requests later than simContact after the fifth end.
func (s *simulation) lateSends() int {
	if len(s.ends) < 5 {
		return 0
	}
	late := 0
	for _, at := range s.sends {
		if at > s.ends[4]+simContact {
			late++
		}
	}
	return late
}

// play runs a simulation: some calm seconds, then crashing requests; the sound ones of the last ten
// seconds count.
func play(way simWay, vms, servers int, rate float64, calm time.Duration, seed uint64) *simulation {
	s := newSimulation(way, vms, servers, seed)
	const crashing, counted, drain = 20 * time.Second, 10 * time.Second, 5 * time.Second
	for s.now < calm+crashing {
		s.step(rate, s.now >= calm, s.now >= calm+crashing-counted)
	}
	for s.now < calm+crashing+drain {
		s.step(0, false, false)
	}
	return s
}

// Guards against a part that ends servers one after the other, and against refusing those who share
// the other parts, whether or not these were answered before.
func TestAPartThatEndsServersIsFound(t *testing.T) {
	for _, size := range []struct {
		vms, servers int
		rate         float64
	}{{3, 9, 30}, {9, 12, 60}, {9, 33, 80}, {60, 100, 90}} {
		for _, calm := range []time.Duration{0, 5 * time.Second} {
			for _, way := range simWays {
				worstLate, worstServed, ends := 0, 1.0, 0
				for seed := range uint64(10) {
					s := play(way, size.vms, size.servers, size.rate, calm, seed)
					worstLate, ends = max(worstLate, s.lateSends()), max(ends, len(s.ends))
					worstServed = min(worstServed, float64(s.served)/float64(s.sent))
				}
				t.Logf("%d VMs, %d servers, calm %v, %s: at most %d late sends, %d ends, sound served %.3f at least", size.vms, size.servers, calm, way.name, worstLate, ends, worstServed)
				if way == simWays[0] && (worstLate > simMaxSends || worstServed < 0.9) {
					t.Errorf("want at most %d late sends, and 0.9 served", simMaxSends)
				}
			}
		}
	}
}
