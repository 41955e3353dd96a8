package route_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/route"
)

// A queueing simulation in virtual time. A server processes as many tokens at once
// as its batch size, first come first served, and each takes its step time. Every
// token of a stream passes the stages of the path in order. Each VM has its own
// router and learns of other VMs' streams only from delayed load reports.

const (
	modelLayers   = 24
	reportSpacing = 500 * time.Millisecond
	reportLag     = 700 * time.Millisecond
	vmCount       = 9
)

var dataCentres = []string{"bornova", "gaziemir", "karsiyaka"}

type simulatedServer struct {
	route.Server
	stepTime time.Duration
	batch    int

	busy    int
	streams int
	queue   []*stream
}

type stream struct {
	id      string
	vm      int
	stages  []*simulatedServer
	stage   int
	tokens  int
	wanted  int
	started time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// workload configures a simulation.
type workload struct {
	policy  route.Policy
	seed    uint64
	vms     int
	choices int
	// load is the offered rate as a multiple of the bound.
	load     float64
	duration time.Duration
	warmUp   time.Duration
	// recordedCapacity returns the capacity in the record of server i, given the
	// true one. If nil the records are correct.
	recordedCapacity func(i int, capacity float64) float64
	delay            time.Duration
	// limit bounds the streams in flight. 0 means no limit.
	limit int
	// lag is the mean age of a report on arrival.
	lag time.Duration
}

// simulationResult holds the measurements after the warm-up.
type simulationResult struct {
	bound      float64
	throughput float64
	finished   int
	tokenGap   time.Duration
}

type simulation struct {
	workload   workload
	now        time.Duration
	events     eventQueue
	seq        int
	engines    map[string]*simulatedServer
	ordered    []*simulatedServer
	routers    []*route.Router
	random     *rand.Rand
	started    int
	inFlight   int
	result     simulationResult
	streamTime time.Duration
}

// heterogeneousServers returns 30 servers of five kinds with 6, 12, 18 or 24 layers
// each, spread unevenly over three data centres.
func heterogeneousServers() []*simulatedServer {
	kinds := []struct {
		perLayer time.Duration
		batch    int
	}{{1 * time.Millisecond, 4}, {2 * time.Millisecond, 8}, {3 * time.Millisecond, 8}, {4 * time.Millisecond, 4}, {8 * time.Millisecond, 4}}
	ranges := []api.Layers{
		{From: 0, To: 12},
		{From: 12, To: 24},
		{From: 0, To: 6},
		{From: 6, To: 12},
		{From: 12, To: 18},
		{From: 18, To: 24},
		{From: 0, To: 24},
		{From: 6, To: 24},
		{From: 0, To: 12},
		{From: 12, To: 24},
	}
	var servers []*simulatedServer
	for i := range 30 {
		kind := kinds[(i*7+i/10)%len(kinds)]
		layers := ranges[i%len(ranges)]
		step := time.Duration(layers.Len()) * kind.perLayer
		servers = append(servers, &simulatedServer{
			Server: route.Server{
				Name:            fmt.Sprintf("server-%02d", i),
				Address:         fmt.Sprintf("10.0.0.%d:80", i),
				DataCentre:      dataCentres[(i*i+i/3)%len(dataCentres)],
				Model:           "scorer",
				Version:         "1",
				Layers:          layers,
				TokensPerSecond: float64(kind.batch) / step.Seconds(),
				Eligible:        true,
				Incarnation:     1,
			},
			stepTime: step,
			batch:    kind.batch,
		})
	}
	return servers
}

func simulate(w workload) simulationResult {
	q := &simulation{workload: w, engines: make(map[string]*simulatedServer), random: rand.New(rand.NewPCG(w.seed, 7))}
	q.ordered = heterogeneousServers()
	var actual, recorded []route.Server
	for i, e := range q.ordered {
		q.engines[e.Name] = e
		actual = append(actual, e.Server)
		record := e.Server
		if w.recordedCapacity != nil {
			record.TokensPerSecond = w.recordedCapacity(i, record.TokensPerSecond)
		}
		recorded = append(recorded, record)
	}
	router := q.newRouter(0, actual)
	q.result.bound = router.Bound("scorer", "1", modelLayers).TokensPerSecond
	for vm := range w.vms {
		q.routers = append(q.routers, q.newRouter(vm, recorded))
	}
	q.at(0, q.report)
	q.arrive()
	heap.Init(&q.events)
	for len(q.events) > 0 && q.events[0].at < w.duration {
		next := heap.Pop(&q.events).(event)
		q.now = next.at
		next.run()
	}
	measured := (w.duration - w.warmUp).Seconds()
	q.result.tokenGap = q.streamTime / time.Duration(max(q.result.throughput, 1))
	q.result.throughput /= measured
	return q.result
}

func (q *simulation) newRouter(vm int, servers []route.Server) *route.Router {
	router := route.New(route.Options{
		Policy:     q.workload.policy,
		DataCentre: dataCentres[vm%len(dataCentres)],
		Seed:       q.workload.seed + uint64(vm),
		Choices:    q.workload.choices,
	})
	for _, from := range dataCentres {
		for _, to := range dataCentres {
			if from != to {
				router.SetLink(route.Link{From: from, To: to, Delay: q.workload.delay})
			}
		}
	}
	router.SetServers(servers)
	return router
}

func (q *simulation) at(delay time.Duration, run func()) {
	q.seq++
	heap.Push(&q.events, event{at: q.now + delay, seq: q.seq, run: run})
}

// report sends every server's load report to every VM, with a random delay.
func (q *simulation) report() {
	for _, e := range q.ordered {
		report := route.Report{
			Server:  e.Name,
			At:      q.now,
			Running: min(e.streams, e.batch),
			Waiting: max(e.streams-e.batch, 0),
		}
		for _, router := range q.routers {
			lag := time.Duration(q.random.Int64N(int64(2 * q.workload.lag)))
			q.at(lag, func() { router.ObserveLoad(q.now, report) })
		}
	}
	q.at(reportSpacing, q.report)
}

const meanTokens = 100

// arrive starts a stream, unless it is refused, and schedules the next arrival.
func (q *simulation) arrive() {
	rate := q.workload.load * q.result.bound / meanTokens
	q.at(time.Duration(q.random.ExpFloat64()/rate*float64(time.Second)), q.arrive)
	if q.now == 0 || q.workload.limit > 0 && q.inFlight >= q.workload.limit {
		return
	}
	q.started++
	vm := q.random.IntN(len(q.routers))
	s := &stream{id: fmt.Sprint(q.started), vm: vm, wanted: 20 + q.random.IntN(2*(meanTokens-20)+1), started: q.now}
	path, err := q.routers[vm].Choose(route.Request{ID: s.id, Now: q.now, Model: "scorer", Version: "1", Layers: modelLayers})
	if err != nil {
		panic(err)
	}
	for _, stage := range path {
		e := q.engines[stage.Server]
		e.streams++
		s.stages = append(s.stages, e)
	}
	q.inFlight++
	q.enter(s)
}

// enter adds a stream's token to the queue of its current stage.
func (q *simulation) enter(s *stream) {
	e := s.stages[s.stage]
	e.queue = append(e.queue, s)
	q.serve(e)
}

func (q *simulation) serve(e *simulatedServer) {
	for e.busy < e.batch && len(e.queue) > 0 {
		s := e.queue[0]
		e.queue = e.queue[1:]
		e.busy++
		q.at(e.stepTime, func() {
			e.busy--
			q.leave(s)
			q.serve(e)
		})
	}
}

// leave moves a token from its stage to the next one or to the caller.
func (q *simulation) leave(s *stream) {
	previous := s.stages[s.stage]
	s.stage = (s.stage + 1) % len(s.stages)
	if s.stage == 0 && q.countToken(s) {
		return
	}
	if s.stages[s.stage].DataCentre == previous.DataCentre {
		q.enter(s)
		return
	}
	q.at(q.workload.delay, func() { q.enter(s) })
}

// countToken counts a token and reports whether it was the stream's last. After
// the last it ends the stream.
func (q *simulation) countToken(s *stream) bool {
	s.tokens++
	if q.now >= q.workload.warmUp {
		q.result.throughput++
	}
	if s.tokens < s.wanted {
		return false
	}
	if q.now >= q.workload.warmUp {
		q.result.finished++
		q.streamTime += q.now - s.started
	}
	for _, e := range s.stages {
		e.streams--
	}
	q.inFlight--
	q.routers[s.vm].RecordProgress(s.id, q.now, s.tokens)
	q.routers[s.vm].Release(s.id)
	return true
}
