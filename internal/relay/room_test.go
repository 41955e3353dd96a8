package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// smallServer runs one request at a time for a while, and refuses others as it does for
// want of room.
type smallServer struct {
	busy  atomic.Bool
	takes time.Duration
	// refused counts the offers that it did not run.
	refused atomic.Int32
}

func (s *smallServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	if !s.busy.CompareAndSwap(false, true) {
		s.refused.Add(1)
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.busy.Store(false)
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	w.(http.Flusher).Flush()
	time.Sleep(s.takes)
}

// smallFront is a VM before servers that each hold all layers and have room for one request.
func smallFront(t *testing.T, repeats budget.Options, servers ...*httptest.Server) *httptest.Server {
	front, configure := unconfiguredFront(t, repeats, servers...)
	configure()
	return front
}

// smallEngine runs 80 layers on cards with room for one request.
func smallEngine() *routes.Engine {
	return &routes.Engine{Layers: 80, LayerMB: 1, TokenBytes: 1 << 20, Step: time.Millisecond, Prompt: 100, Answer: 10, Cards: map[string]routes.Card{"c": {MB: 250, Pace: 1}}}
}

// unconfiguredFront is the same before its first configuration, and what brings that in force.
func unconfiguredFront(t *testing.T, repeats budget.Options, servers ...*httptest.Server) (front *httptest.Server, configure func()) {
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, Attempts: 2, Target: 600 * time.Millisecond,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	front, _, configure = frontOf(t, repeats, route, routes.Service{Name: "llm", Engine: smallEngine()}, servers...)
	return front, configure
}

// frontOf is a VM before servers of a service, what decides in it, and what brings its first
// configuration in force, which has one route.
func frontOf(t *testing.T, repeats budget.Options, route routes.Route, service routes.Service, servers ...*httptest.Server) (front *httptest.Server, d *relay.Dispatcher, configure func()) {
	return frontWith(t, platform.Requests{}, repeats, route, service, servers...)
}

// frontWith is the same with a wire of its own.
func frontWith(t *testing.T, wire relay.Wire, repeats budget.Options, route routes.Route, service routes.Service, servers ...*httptest.Server) (front *httptest.Server, d *relay.Dispatcher, configure func()) {
	start := time.Now()
	d = relay.NewDispatcher(func() time.Duration { return time.Since(start) + time.Second }, budget.New(repeats))
	table := routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{service}, nil)
	var list []backends.Server
	for i, server := range servers {
		listed := backends.Server{
			ID: fmt.Sprint("s", i+1), Service: service.Name, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 4,
		}
		if service.Engine != nil {
			listed.Card, listed.Slots = "c", 0
			listed.Holds = []backends.Held{{Layers: api.Layers{From: 0, To: 80}}}
		}
		list = append(list, listed)
	}
	d.Fleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
	d.Members("vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	front = httptest.NewServer(relay.New(relay.Options{
		Log: logr.Discard(), Wire: wire, Engines: &engines{asked: make(map[string]int)}, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, Patience: time.Second,
	}))
	t.Cleanup(front.Close)
	return front, d, func() { d.SetTable(table) }
}

// ask sends a request to a VM and returns the status of its answer, which is read whole.
func ask(g *WithT, front *httptest.Server, id string) int {
	return answerTo(g, front, id).StatusCode
}

// answerTo sends a request to a VM and returns the head of its answer, which is read whole.
func answerTo(g *WithT, front *httptest.Server, id string) *http.Response {
	head, _ := wholeAnswerTo(g, front, id)
	return head
}

// wholeAnswerTo sends a request to a VM and returns its answer.
func wholeAnswerTo(g *WithT, front *httptest.Server, id string) (head *http.Response, body string) {
	request, err := http.NewRequest(http.MethodPost, front.URL+"/", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Token-Count", "100,10")
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(HaveOccurred())
	return response, string(text)
}

// Symptom: after a loss of power of all VMs 525 requests are refused within 0.3 s as
// no_configuration. Sequence: a VM takes callers from its start on, and learns its
// configuration 0.14 s later. Cause: what comes before that is refused at once, though it
// could be served in time.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(&smallServer{})
	t.Cleanup(server.Close)
	front, configure := unconfiguredFront(t, budget.Options{Window: 10 * time.Second}, server)
	time.AfterFunc(100*time.Millisecond, configure)
	g.Expect(ask(g, front, "r1")).To(Equal(http.StatusOK))
}

func TestARequestIsRefusedWhereNoConfigurationComes(t *testing.T) {
	g := NewWithT(t)
	front, _ := unconfiguredFront(t, budget.Options{Window: 10 * time.Second})
	g.Expect(ask(g, front, "r1")).To(Equal(http.StatusServiceUnavailable))
}

// Symptom: a request is refused after four offers in 17 ms, though servers have room 120 ms
// later. Sequence: many servers of a data centre are full for a moment, while their VM
// believes that they have room. Cause: the offers are made one right after the other.
func TestOffersAreSpreadOverTheTimeThatARequestMayWait(t *testing.T) {
	g := NewWithT(t)
	small := &smallServer{}
	small.busy.Store(true)
	var servers []*httptest.Server
	for range 6 {
		server := httptest.NewServer(small)
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	front := smallFront(t, budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, VMs: 1}, servers...)
	time.AfterFunc(120*time.Millisecond, func() { small.busy.Store(false) })
	g.Expect(ask(g, front, "r1")).To(Equal(http.StatusOK))
	g.Expect(small.refused.Load()).To(BeNumerically("<=", 3))
}

// Symptom: requests are refused after one offer. Sequence: the servers of one data centre
// are full; its VMs use up their parts of the repeats of a moment, while those of other data
// centres need none. Cause: a repeat that isn't allowed now ends the request, though one is
// allowed a moment later.
func TestARequestWaitsForARepeat(t *testing.T) {
	g := NewWithT(t)
	small := &smallServer{}
	small.busy.Store(true)
	full := httptest.NewServer(small)
	t.Cleanup(full.Close)
	free := httptest.NewServer(&smallServer{})
	t.Cleanup(free.Close)
	// The ratio leaves less than one repeat for a single request, and one for three.
	front := smallFront(t, budget.Options{Ratio: 0.5, Window: 10 * time.Second, VMs: 1}, full, free)
	var callers sync.WaitGroup
	callers.Go(func() { g.Expect(ask(g, front, "r1")).To(Equal(http.StatusOK), "the one that was refused") })
	g.Eventually(small.refused.Load, "5s").Should(BeEquivalentTo(1))
	small.busy.Store(false) // what has to be waited for is the repeat
	for i := range 4 {
		g.Expect(ask(g, front, fmt.Sprint("next", i))).To(Equal(http.StatusOK))
	}
	callers.Wait()
}

// Symptom: for a second after servers were lost, requests are refused after one or two
// offers; the repeats that all VMs have together are used up. Sequence: three requests come
// at once for a server that has room for one, and takes 400 ms for each. Cause: after half
// of the target, 300 ms, they are offered to the full server, and refused by it.
func TestRequestsWaitForRoomRatherThanBeRefused(t *testing.T) {
	g := NewWithT(t)
	small := &smallServer{takes: 400 * time.Millisecond}
	server := httptest.NewServer(small)
	t.Cleanup(server.Close)
	front := smallFront(t, budget.Options{Ratio: 0.2, Slack: 1, Window: 10 * time.Second, VMs: 1}, server)

	var callers sync.WaitGroup
	statuses := make([]int, 3)
	for i := range statuses {
		callers.Go(func() {
			statuses[i] = ask(g, front, fmt.Sprint("r", i))
		})
	}
	callers.Wait()
	g.Expect(statuses).To(Equal([]int{200, 200, 200}))
	g.Expect(small.refused.Load()).To(BeZero(), "nothing was offered to the full server")
}
