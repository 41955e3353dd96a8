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
	netwire "oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// signalServer responds to requests at once, and may ask for a pause or announce that it
// leaves.
type signalServer struct {
	mu sync.Mutex
	// pause is the Retry-After of its refusals, in seconds; empty if it accepts requests.
	pause string
	// leaves says that its responses announce that it leaves.
	leaves bool
	// arrived holds the arrival times of requests.
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

// start starts the server.
func (s *signalServer) start(t *testing.T) *httptest.Server {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return server
}

// between counts the requests that arrived more than from and at most to after the first one.
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

// signalRoutes returns a route for each kind of request.
func signalRoutes() map[string]routes.Route {
	route := func(repeat routes.RepeatPolicy, stream bool) routes.Route {
		return routes.Route{
			Host: "a.example", Prefix: "/", Repeat: repeat, Stream: stream, MaxAttempts: 3, TargetLatency: 300 * time.Millisecond,
			Shares: []routes.Share{{Service: "llm", Weight: 1}},
		}
	}
	return map[string]routes.Route{
		"safe": route(routes.Repeatable, false), "unsafe": route(routes.AtMostOnce, false),
		"stream that may be resumed": route(routes.Resumable, true), "stream": route(routes.AtMostOnce, true),
	}
}

// newSignalVM starts a VM before servers of a route's service.
func newSignalVM(t *testing.T, route routes.Route, servers ...*httptest.Server) *httptest.Server {
	vm, _, configure := newVM(t, budget.Options{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second, MinVMs: 1}, route, serviceOf(route), servers...)
	configure()
	return vm
}

// serviceOf returns the service of a route: a model for streams.
func serviceOf(route routes.Route) routes.Service {
	service := routes.Service{Name: "llm"}
	if route.Stream {
		service.Engine = smallEngine()
	}
	return service
}

// load sends requests to a VM at a constant rate for span, and returns the responses.
func load(g *WithT, vm *httptest.Server, perSecond int, span time.Duration) []*http.Response {
	var callers sync.WaitGroup
	responses := make([]*http.Response, int(span.Seconds()*float64(perSecond)))
	for i := range responses {
		callers.Go(func() { responses[i] = responseTo(g, vm, fmt.Sprint("r", i)) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return responses
}

// statuses counts responses by status.
func statuses(responses []*http.Response) map[int]int {
	counts := make(map[int]int)
	for _, response := range responses {
		counts[response.StatusCode]++
	}
	return counts
}

// Limits on requests during a pause: at most maxInPause requests, counted from pauseGrace after
// the first refusal.
const (
	pauseGrace = 500 * time.Millisecond
	maxInPause = 2
)

// Guards against further requests of the VM to a server that asked for a pause.
func TestAServerThatAsksForAPauseGetsNoMoreRequests(t *testing.T) {
	for kind, route := range signalRoutes() {
		for text, pause := range map[string]time.Duration{"3.2": 3200 * time.Millisecond, "1.5": 1500 * time.Millisecond} {
			t.Run(kind+" for "+text, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				paused, free := &signalServer{pause: text}, &signalServer{}
				vm := newSignalVM(t, route, paused.start(t), free.start(t))
				counts := statuses(load(g, vm, 40, pause+200*time.Millisecond))
				g.Expect(paused.between(pauseGrace, pause)).To(BeNumerically("<=", maxInPause))
				g.Expect(counts).To(Equal(map[int]int{http.StatusOK: counts[http.StatusOK]}), "another server is free")
			})
		}
	}
}

// Guards against requests to the only server during its pause, and callers that wait for the
// pause to end.
func TestTheOnlyServerGetsNoRequestsDuringItsPause(t *testing.T) {
	for kind, route := range signalRoutes() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			paused := &signalServer{pause: "2"}
			vm := newSignalVM(t, route, paused.start(t))
			responseTo(g, vm, "first")
			start := time.Now()
			responses := load(g, vm, 30, time.Second)
			g.Expect(time.Since(start)).To(BeNumerically("<", 1500*time.Millisecond), "refused at once")
			g.Expect(paused.between(pauseGrace, 2*time.Second)).To(BeNumerically("<=", maxInPause))
			g.Expect(statuses(responses)).To(Equal(map[int]int{http.StatusServiceUnavailable: len(responses)}))
			retryAfter, err := strconv.ParseFloat(responses[0].Header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(retryAfter).To(BeNumerically("~", 1.9, 0.2), "when the pause ends")
		})
	}
}

// Guards against further requests of the VM to a server that announced that it leaves.
func TestALeavingServerGetsNoMoreRequests(t *testing.T) {
	for kind, route := range signalRoutes() {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			leaving, free := &signalServer{leaves: true}, &signalServer{}
			vm := newSignalVM(t, route, leaving.start(t), free.start(t))
			responses := load(g, vm, 40, 1500*time.Millisecond)
			g.Expect(leaving.between(pauseGrace, time.Hour)).To(BeZero())
			g.Expect(statuses(responses)).To(Equal(map[int]int{http.StatusOK: len(responses)}))
		})
	}
}

// hookedWire calls between after the choice of a server and before the request is written.
type hookedWire struct {
	platform.Requests
	between func(attempt relay.Attempt)
}

func (w hookedWire) Write(header http.Header, attempt relay.Attempt) {
	w.between(attempt)
	w.Requests.Write(header, attempt)
}

// Guards against sending a request to a server that asked for a pause or announced that it
// leaves after it was chosen and before the request was written.
func TestAnAttemptOnAPausedOrLeavingServerIsWithheld(t *testing.T) {
	signals := map[string]func(now time.Duration, fleet *backends.Fleet){
		"pause":   func(now time.Duration, fleet *backends.Fleet) { fleet.Pause(now, "s1", time.Minute) },
		"leaving": func(now time.Duration, fleet *backends.Fleet) { fleet.MarkLeaving(now, "s1") },
	}
	for signal, apply := range signals {
		for kind, route := range signalRoutes() {
			t.Run(signal+" "+kind, func(t *testing.T) {
				g := NewWithT(t)
				unavailable, free := &signalServer{}, &signalServer{}
				var d *relay.Dispatcher
				wire := hookedWire{between: func(attempt relay.Attempt) {
					if attempt.Server == "s1" {
						d.WithFleet(apply)
					}
				}}
				vm, dispatcher, configure := newVMWith(t, wire, netwire.Dial, budget.Options{Window: 10 * time.Second, MinVMs: 1}, route, serviceOf(route), unavailable.start(t), free.start(t))
				d = dispatcher
				configure()
				g.Expect(statuses(load(g, vm, 20, 300*time.Millisecond))).To(Equal(map[int]int{http.StatusOK: 6}), "withheld attempts take no retry")
				g.Expect(unavailable.arrived).To(BeEmpty())
			})
		}
	}
}

// Guards against running a request on more servers than its route allows because some of them
// announce that they leave.
func TestALeavingServerCountsTowardsTheAttempts(t *testing.T) {
	g := NewWithT(t)
	route := signalRoutes()["safe"]
	route.MaxAttempts = 2
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
	g.Expect(statusOf(g, newSignalVM(t, route, servers...), "r1")).To(Equal(http.StatusInternalServerError))
	g.Expect(ran.Load()).To(BeEquivalentTo(2))
}
