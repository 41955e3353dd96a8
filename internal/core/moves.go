package core

import (
	"maps"
	"math"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

const (
	// leaveReserve is how long before its deadline a server should have no streams
	// left. It covers the skew between two wall clocks and the delay of a
	// cancellation.
	leaveReserve = 2 * time.Second
	// maxMoveLeadTime limits how long before the reserve the moves may start.
	maxMoveLeadTime = 30 * time.Second
	// maxConcurrentMoves limits the moves in flight off one server.
	// plannedConcurrentMoves is the concurrency from which the start is computed.
	maxConcurrentMoves     = 64
	plannedConcurrentMoves = 4
	// moveRetryInterval is the retry interval for a stream that has no other path.
	moveRetryInterval = time.Second
	// The initial estimate of the resume time, and the limits of the measured values.
	initialResumeTime = time.Second
	minResumeTime     = 100 * time.Millisecond
	maxResumeTime     = 10 * time.Second
	// resumeDecayDivisor is the divisor of the step by which the estimate falls
	// towards a shorter resume time.
	resumeDecayDivisor = 8
	// moveTimeFactor is the safety factor on the estimated resume time.
	// moveTimeoutFactor is how many times that product a move may take before it
	// counts as lost.
	moveTimeFactor    = 2
	moveTimeoutFactor = 2
	// planDueNow as a plan's dueAt makes it run in the current step.
	planDueNow = Time(1)
)

// moveState is the state of moving streams off the backend servers that leave by
// a deadline.
type moveState struct {
	// wallOffset is the wall clock's reading minus the machine's. Deadlines are
	// wall time, since monotonic clocks of different VMs are not comparable.
	wallOffset      Time
	wallOffsetKnown bool
	// resumeTime is the estimated time from the dispatch of a resumed stream to its
	// first token.
	resumeTime Time
	// reportedDeadlines has the deadlines that servers reported themselves, by server.
	reportedDeadlines map[string]reportedDeadline
	// plans has the plan for each leaving server, by server.
	plans map[string]*movePlan
}

// reportedDeadline is a leave deadline reported by one process of a server.
type reportedDeadline struct {
	incarnation uint64
	leaveBy     Time
}

// movePlan is the plan for moving all streams off one backend server.
type movePlan struct {
	// leaveBy is the server's deadline in wall time.
	leaveBy Time
	// started is set when the moves start, and finished after the deadline.
	started, finished bool
	// dueAt is when the plan runs next. 0 means only after an event.
	dueAt Time
	// pending are the streams still to be moved. inFlight are those being moved,
	// with the time at which the Move was sent.
	pending  []request.ID
	inFlight map[request.ID]Time
}

func newMoveState() moveState {
	return moveState{resumeTime: initialResumeTime, reportedDeadlines: make(map[string]reportedDeadline), plans: make(map[string]*movePlan)}
}

// observeMoves updates the wall clock, the leave deadlines and the estimated
// resume time from an event.
func (m *Machine) observeMoves(now Time, event Event) {
	switch e := event.(type) {
	case FleetTick:
		if e.Wall == 0 {
			return
		}
		first := !m.moves.wallOffsetKnown
		m.moves.wallOffset, m.moves.wallOffsetKnown = e.Wall-now, true
		if first {
			m.planMoves()
		}
	case ServerObserved:
		m.deadlineReported(e)
	case AttemptStreaming:
		m.attemptResumed(now, e)
	}
}

func (m *Machine) deadlineReported(e ServerObserved) {
	known := m.moves.reportedDeadlines[e.Server]
	reported := reportedDeadline{e.Incarnation, e.LeaveBy}
	if e.Incarnation < known.incarnation || known == reported || e.LeaveBy == 0 && known.leaveBy == 0 {
		return
	}
	m.moves.reportedDeadlines[e.Server] = reported
	if e.LeaveBy == 0 {
		delete(m.moves.reportedDeadlines, e.Server)
	}
	m.planMoves()
}

// attemptResumed updates the estimated resume time. A longer time is adopted at
// once and a shorter one gradually, since a move that ends too late gets the
// stream cut off.
func (m *Machine) attemptResumed(now Time, e AttemptStreaming) {
	r, ok := m.requests[e.Request]
	if !ok || r.Attempt != e.Attempt || r.State != request.Dispatched {
		return
	}
	elapsed := min(max(now-r.SentAt, minResumeTime), maxResumeTime)
	if elapsed < m.moves.resumeTime {
		elapsed = m.moves.resumeTime - (m.moves.resumeTime-elapsed)/resumeDecayDivisor
	}
	m.moves.resumeTime = elapsed
	m.moveEnded(r.ID)
}

// moveEnded ends the move of a request that has resumed or ended, and makes its
// plan run in this step so that another stream can take its place.
func (m *Machine) moveEnded(id request.ID) {
	for _, plan := range m.moves.plans {
		if _, moving := plan.inFlight[id]; moving {
			delete(plan.inFlight, id)
			plan.dueAt = planDueNow
		}
	}
}

// planMoves creates a plan for each backend server that leaves by a deadline, and
// drops plans whose server no longer leaves or has another deadline.
func (m *Machine) planMoves() {
	if !m.moves.wallOffsetKnown {
		return
	}
	leaving := make(map[string]Time)
	for _, server := range m.config.Servers() {
		if by := m.leaveBy(server.Name, server.Leaving, server.LeaveBy); by != 0 {
			leaving[server.Name] = by
		}
	}
	maps.DeleteFunc(m.moves.reportedDeadlines, func(name string, _ reportedDeadline) bool {
		_, configured := m.config.Backend(name)
		return !configured
	})
	maps.DeleteFunc(m.moves.plans, func(name string, plan *movePlan) bool { return leaving[name] != plan.leaveBy })
	for name, by := range leaving {
		if m.moves.plans[name] == nil {
			m.moves.plans[name] = &movePlan{leaveBy: by, dueAt: planDueNow, inFlight: make(map[request.ID]Time)}
		}
	}
}

// leaveBy returns the wall time at which a leaving backend server stops: the
// earlier of the deadlines in its record and in its own report. It is 0 if the
// server does not leave or no deadline is known.
func (m *Machine) leaveBy(name string, recordLeaving bool, recorded string) Time {
	var by Time
	if recordLeaving && recorded != "" {
		if at, err := time.Parse(time.RFC3339, recorded); err == nil {
			by = Time(at.UnixNano())
		}
	}
	reported := m.moves.reportedDeadlines[name]
	status, _ := m.fleet.view.Status(name)
	if reported.leaveBy != 0 && status.State == fleet.Leaving && reported.incarnation >= status.Incarnation && (by == 0 || reported.leaveBy < by) {
		by = reported.leaveBy
	}
	return by
}

// runMovePlans runs the plans that are due.
func (m *Machine) runMovePlans(now Time) {
	if len(m.moves.plans) == 0 {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(m.moves.plans)) {
		plan := m.moves.plans[name]
		if plan.finished || plan.dueAt == 0 || plan.dueAt > now {
			continue
		}
		plan.dueAt = 0
		m.runMovePlan(now, name, plan)
	}
}

func (m *Machine) runMovePlan(now Time, server string, plan *movePlan) {
	deadline := plan.leaveBy - m.moves.wallOffset
	switch {
	case now >= deadline:
		plan.finished = true
		if streams, staying := m.requestsOn(server); len(streams)+staying > 0 {
			m.emit(ServerLeaving{Server: server, Phase: LeaveOverdue, Streams: len(streams), Staying: staying})
		}
		return
	case !plan.started:
		streams, staying := m.requestsOn(server)
		if start := deadline - m.moveLeadTime(len(streams)); now < start {
			// The wall clock may be adjusted in the meantime, so check again.
			plan.dueAt = min(start, now+maxMoveLeadTime)
			return
		}
		plan.started, plan.pending = true, streams
		m.emit(ServerLeaving{Server: server, Phase: LeaveMoving, Streams: len(streams), Staying: staying, Left: deadline - now})
	}
	m.startMoves(now, server, plan, deadline-leaveReserve-now)
	if plan.dueAt == 0 || plan.dueAt > deadline {
		plan.dueAt = max(deadline, now+1)
	}
}

// moveLeadTime returns how long before a server's deadline its moves start.
func (m *Machine) moveLeadTime(streams int) Time {
	rounds := Time((streams+plannedConcurrentMoves-1)/plannedConcurrentMoves + 1)
	return leaveReserve + min(moveTimeFactor*m.moves.resumeTime*rounds, maxMoveLeadTime)
}

// concurrentMoves returns how many moves must be in flight at once to finish all
// of them in the time left. It is kept as low as possible because each move costs
// the receiving server a prefill: moving all streams at once would stall that
// server's own streams.
func (m *Machine) concurrentMoves(streams int, left Time) int {
	each := moveTimeFactor * m.moves.resumeTime
	needed := math.Ceil(float64(streams) * float64(each) / float64(max(left, each)))
	return min(max(int(needed), 1), maxConcurrentMoves)
}

// startMoves starts as many moves as the concurrency limit allows.
func (m *Machine) startMoves(now Time, server string, plan *movePlan, left Time) {
	m.expireMoves(now, server, plan)
	free := m.concurrentMoves(len(plan.pending)+len(plan.inFlight), left) - len(plan.inFlight)
	var stuck []request.ID
	for free > 0 && len(plan.pending) > 0 {
		r, ok := m.requests[plan.pending[0]]
		plan.pending = plan.pending[1:]
		switch {
		case !ok || !isRunningOn(r, server):
			continue
		case !m.hasOtherPath(now, r, server):
			stuck = append(stuck, r.ID)
			continue
		}
		free--
		plan.inFlight[r.ID] = now
		m.note(now, r, Note{Step: StepMoving, Servers: []string{server}, Until: plan.leaveBy - m.moves.wallOffset, Text: "the server leaves; the stream goes on elsewhere before it stops"})
		m.emit(Move{Request: r.ID, Attempt: r.Attempt, Server: server})
	}
	plan.pending = append(plan.pending, stuck...)
	if len(stuck) > 0 {
		plan.dueAt = now + moveRetryInterval
	}
	for _, since := range plan.inFlight {
		if due := since + m.moveTimeout(); plan.dueAt == 0 || due < plan.dueAt {
			plan.dueAt = max(due, now+1)
		}
	}
}

// moveTimeout returns how long after its Move a stream must have resumed.
func (m *Machine) moveTimeout() Time { return moveTimeoutFactor * moveTimeFactor * m.moves.resumeTime }

// expireMoves ends the moves whose request ended or whose next attempt produced
// no token before moveTimeout. If the request still runs on the server its Move
// was lost, and the move is retried.
func (m *Machine) expireMoves(now Time, server string, plan *movePlan) {
	for _, id := range slices.Sorted(maps.Keys(plan.inFlight)) {
		r, ok := m.requests[id]
		if ok && now < plan.inFlight[id]+m.moveTimeout() {
			continue
		}
		delete(plan.inFlight, id)
		if ok && isRunningOn(r, server) {
			plan.pending = append(plan.pending, id)
		}
	}
}

// requestsOn returns the streams on a backend server that may be moved, sorted,
// and the number of requests there that may not.
func (m *Machine) requestsOn(server string) (streams []request.ID, staying int) {
	for id, r := range m.requests {
		switch {
		case !isRunningOn(r, server):
		case isMovable(r):
			streams = append(streams, id)
		default:
			staying++
		}
	}
	slices.Sort(streams)
	return streams, staying
}

// isMovable reports whether a request's attempt may be ended on purpose. Moving a
// non-idempotent request would run it a second time, starting from its prompt,
// and a call of a plain service can't be resumed.
func isMovable(r *request.Request) bool { return r.Idempotent && r.Route == "" }

func isRunningOn(r *request.Request, server string) bool {
	return r.State == request.Dispatched && r.Path.Has(server)
}

// hasOtherPath reports whether a stream could continue without the server. If
// not, it is better left in place, since it may still finish in time.
func (m *Machine) hasOtherPath(now Time, r *request.Request, server string) bool {
	want, ok := m.requirements(r)
	if !ok {
		return false
	}
	_, err := m.router.Standby(m.routeRequest(now, r, want), r.Path, server)
	return err == nil
}

// nextMoveTime returns the time at which the next plan is due, or false if none is.
func (m *Machine) nextMoveTime() (at Time, ok bool) {
	for _, plan := range m.moves.plans {
		if !plan.finished && plan.dueAt != 0 && (!ok || plan.dueAt < at) {
			at, ok = plan.dueAt, true
		}
	}
	return at, ok
}
