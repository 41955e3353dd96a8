package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// signalServer answers requests at once, and may ask for a pause or say that it leaves.
type signalServer struct {
	mu sync.Mutex
	// pause is what its refusals ask for, in seconds; empty where it takes requests.
	pause string
	// leaves says that its answers say so.
	leaves bool
	// arrived is when requests came.
	arrived []time.Time
}

func (s *signalServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.mu.Lock()
	s.arrived = append(s.arrived, time.Now())
	pause, leaves := s.pause, s.leaves
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	if leaves {
		w.Header().Set("Server-Leaving", "1")
	}
	if pause != "" {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Retry-After", pause)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// start lets the server listen.
func (s *signalServer) start(t *testing.T) *httptest.Server {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server
}

// between counts the requests that came in a span after the first one.
func (s *signalServer) between(from, to time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, at := range s.arrived {
		if after := at.Sub(s.arrived[0]); after > from && after <= to {
			count++
		}
	}
	return count
}

// signalRoutes are the kinds of requests, each with a service of its own.
func signalRoutes() map[string]routes.Route {
	route := func(repeat routes.Repeat, stream bool) routes.Route {
		return routes.Route{
			Host: "a.example", Prefix: "/", Repeat: repeat, Stream: stream, Attempts: 3, Target: 300 * time.Millisecond,
			Shares: []routes.Share{{Service: "llm", Weight: 1}},
		}
	}
	return map[string]routes.Route{
		"safe": route(routes.Freely, false), "unsafe": route(routes.Once, false),
		"stream that may be resumed": route(routes.Resumable, true), "stream": route(routes.Once, true),
	}
}

// signalFront is a VM before servers of a kind of requests. Streams go to a model's servers.
func signalFront(t *testing.T, route routes.Route, servers ...*httptest.Server) *httptest.Server {
	front, _, configure := frontOf(t, budget.Options{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second, VMs: 1}, route, serviceOf(route), servers...)
	configure()
	return front
}

// serviceOf is the service of a route: a model's for streams.
func serviceOf(route routes.Route) routes.Service {
	service := routes.Service{Name: "llm"}
	if route.Stream {
		service.Engine = smallEngine()
	}
	return service
}

// load sends so many requests a second to a VM for a time, and returns their answers.
func load(g *WithT, front *httptest.Server, perSecond int, span time.Duration) []*http.Response {
	var callers sync.WaitGroup
	answers := make([]*http.Response, int(span.Seconds()*float64(perSecond)))
	for i := range answers {
		callers.Go(func() { answers[i] = answerTo(g, front, fmt.Sprint("r", i)) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return answers
}

// statuses counts answers by status.
func statuses(answers []*http.Response) map[int]int {
	counts := make(map[int]int)
	for _, answer := range answers {
		counts[answer.StatusCode]++
	}
	return counts
}

// The rule on pauses: at most mostInPause requests from pauseGrace after the refusal on.
const (
	pauseGrace  = 500 * time.Millisecond
	mostInPause = 2
)

// Guards against: a server that asked for a pause goes on getting requests of the VM.
func TestAServerThatAsksForAPauseGetsNoMoreRequests(t *testing.T) {
	for kind, route := range signalRoutes() {
		for text, pause := range map[string]time.Duration{"3.2": 3200 * time.Millisecond, "1.5": 1500 * time.Millisecond} {
			t.Run(kind+" for "+text, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				resting, free := &signalServer{pause: text}, &signalServer{}
				front := signalFront(t, route, resting.start(t), free.start(t))
				counts := statuses(load(g, front, 40, pause+200*time.Millisecond))
				g.Expect(resting.between(pauseGrace, pause)).To(BeNumerically("<=", mostInPause))
				g.Expect(counts).To(Equal(map[int]int{http.StatusOK: counts[http.StatusOK]}), "another server is free")
			})
		}
	}
}

// Guards against: a server that stands alone is offered requests in its pause, or callers wait for what can't be.
func TestAServerAloneGetsNothingInItsPause(t *testing.T) {
	for kind, route := range signalRoutes() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			resting := &signalServer{pause: "2"}
			front := signalFront(t, route, resting.start(t))
			answerTo(g, front, "first")
			asked := time.Now()
			answers := load(g, front, 30, time.Second)
			g.Expect(time.Since(asked)).To(BeNumerically("<", 1500*time.Millisecond), "they are told at once")
			g.Expect(resting.between(pauseGrace, 2*time.Second)).To(BeNumerically("<=", mostInPause))
			g.Expect(statuses(answers)).To(Equal(map[int]int{http.StatusServiceUnavailable: len(answers)}))
			after, err := strconv.ParseFloat(answers[0].Header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after).To(BeNumerically("~", 1.9, 0.2), "when the pause ends")
		})
	}
}

// Guards against: a server that says that it leaves goes on getting requests of the VM.
func TestAServerThatSaysThatItLeavesGetsNoMoreRequests(t *testing.T) {
	for kind, route := range signalRoutes() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			leaving, free := &signalServer{leaves: true}, &signalServer{}
			front := signalFront(t, route, leaving.start(t), free.start(t))
			answers := load(g, front, 40, 1500*time.Millisecond)
			g.Expect(leaving.between(pauseGrace, time.Hour)).To(BeZero())
			g.Expect(statuses(answers)).To(Equal(map[int]int{http.StatusOK: len(answers)}))
		})
	}
}

// lateWire has something happen between the choice of a server and the moment at which the
// request is written.
type lateWire struct {
	platform.Requests
	between func(attempt relay.Attempt)
}

func (w lateWire) Write(header http.Header, attempt relay.Attempt) {
	w.between(attempt)
	w.Requests.Write(header, attempt)
}

// Guards against: a request reaches a server that asked for a pause, or said that it leaves, before it was written.
func TestARequestIsNotSentToAServerThatWantsNoneAnyMore(t *testing.T) {
	words := map[string]func(now time.Duration, fleet *backends.Fleet){
		"pause":   func(now time.Duration, fleet *backends.Fleet) { fleet.Pause(now, "s1", time.Minute) },
		"leaving": func(now time.Duration, fleet *backends.Fleet) { fleet.SaysLeaving(now, "s1") },
	}
	for word, said := range words {
		for kind, route := range signalRoutes() {
			t.Run(word+" "+kind, func(t *testing.T) {
				g := NewWithT(t)
				unwilling, free := &signalServer{}, &signalServer{}
				var d *relay.Dispatcher
				wire := lateWire{between: func(attempt relay.Attempt) {
					if attempt.Server == "s1" {
						d.Fleet(said)
					}
				}}
				front, dispatcher, configure := frontWith(t, wire, budget.Options{Window: 10 * time.Second, VMs: 1}, route, serviceOf(route), unwilling.start(t), free.start(t))
				d = dispatcher
				configure()
				g.Expect(statuses(load(g, front, 20, 300*time.Millisecond))).To(Equal(map[int]int{http.StatusOK: 6}), "no repeat is taken for it")
				g.Expect(unwilling.arrived).To(BeEmpty())
			})
		}
	}
}

// Guards against: a request runs on more servers than its route allows, since one of them says that it leaves.
func TestALeavingServerThatAnsweredCountsAsOneThatRanTheRequest(t *testing.T) {
	g := NewWithT(t)
	route := signalRoutes()["safe"]
	route.Attempts = 2
	var servers []*httptest.Server
	var ran atomic.Int32
	for range 4 {
		var once sync.Once
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			once.Do(func() { ran.Add(1) })
			w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
			w.Header().Set("X-Response-Seal", "seal")
			w.Header().Set("Server-Leaving", "1")
			w.WriteHeader(http.StatusInternalServerError)
		}))
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	g.Expect(ask(g, signalFront(t, route, servers...), "r1")).To(Equal(http.StatusInternalServerError))
	g.Expect(ran.Load()).To(BeEquivalentTo(2))
}
