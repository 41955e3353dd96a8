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
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	netwire "oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// smallServer runs one request at a time and refuses others for lack of capacity. takes is how
// long a request runs.
type smallServer struct {
	busy  atomic.Bool
	takes time.Duration
	// refused counts the requests that it did not run.
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

// newSmallVM starts a VM before servers that each hold all layers and have capacity for one
// request.
func newSmallVM(t *testing.T, retries budget.Options, servers ...*httptest.Server) *httptest.Server {
	retries.StartedAt = -retries.Window // nothing that was used before counts any more
	vm, configure := newUnconfiguredVM(t, retries, servers...)
	configure()
	return vm
}

// smallEngine returns a model of 80 layers on accelerators with capacity for one request.
func smallEngine() *routes.Engine {
	return &routes.Engine{Layers: 80, LayerMB: 1, TokenBytes: 1 << 20, Step: time.Millisecond, TypicalPrompt: 100, TypicalAnswer: 10, Cards: map[string]routes.Card{"c": {MB: 250, Pace: 1}}}
}

// newUnconfiguredVM is newSmallVM without a configuration; configure applies the first one.
func newUnconfiguredVM(t *testing.T, retries budget.Options, servers ...*httptest.Server) (vm *httptest.Server, configure func()) {
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: 600 * time.Millisecond,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	vm, _, configure = newVM(t, retries, route, routes.Service{Name: "llm", Engine: smallEngine()}, servers...)
	return vm, configure
}

// newVM starts a VM before servers of one service. It returns the VM's dispatcher and a
// function that applies its first configuration, which has one route.
func newVM(t *testing.T, retries budget.Options, route routes.Route, service routes.Service, servers ...*httptest.Server) (vm *httptest.Server, d *relay.Dispatcher, configure func()) {
	return newVMWith(t, platform.Requests{}, netwire.Dial, retries, route, service, servers...)
}

// newVMWith is newVM with the given Wire and way to the servers.
func newVMWith(t *testing.T, wire relay.Wire, dial netwire.DialFunc, retries budget.Options, route routes.Route, service routes.Service, servers ...*httptest.Server) (vm *httptest.Server, d *relay.Dispatcher, configure func()) {
	start := time.Now()
	d = relay.NewDispatcher(func() time.Duration { return time.Since(start) + time.Second }, budget.New(retries))
	table := routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{service}, nil)
	var list []backends.Server
	for i, server := range servers {
		listed := backends.Server{
			ID: fmt.Sprint("s", i+1), Service: service.Name, Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 4,
		}
		if service.Engine != nil {
			listed.Card, listed.Slots = "c", 0
			listed.LayerRanges = []backends.LayerRange{{Layers: api.Layers{From: 0, To: 80}}}
		}
		list = append(list, listed)
	}
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, list, 1) })
	d.SetMembers("vm-1", []lease.VM{{Name: "vm-1", DataCentre: "a"}})
	connector := serverconn.New(serverconn.Options{Log: logr.Discard(), Dial: dial, Now: bootclock.Now, Service: d.ServiceAt})
	go func() { _ = connector.Run(t.Context()) }()
	vm = httptest.NewServer(relay.New(relay.Options{
		Servers: connector, Log: logr.Discard(), Wire: wire, Engines: &engines{reportCalls: make(map[string]int)}, Dispatcher: d, DataCentre: "a",
		Proven: func() bool { return true }, StallTimeout: time.Second,
	}))
	t.Cleanup(vm.Close)
	return vm, d, func() { d.SetTable(table) }
}

// statusOf sends a request to a VM and returns the status of its response, which is read
// completely.
func statusOf(g *WithT, vm *httptest.Server, id string) int {
	return responseTo(g, vm, id).StatusCode
}

// responseTo sends a request to a VM and returns the head of its response, which is read
// completely.
func responseTo(g *WithT, vm *httptest.Server, id string) *http.Response {
	head, _ := responseAndBodyTo(g, vm, id)
	return head
}

// responseAndBodyTo sends a request to a VM and returns its response and body.
func responseAndBodyTo(g *WithT, vm *httptest.Server, id string) (head *http.Response, body string) {
	request, err := http.NewRequest(http.MethodPost, vm.URL+"/", strings.NewReader("{}"))
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

// Guards against refusing requests that arrive before the VM has its first configuration. After
// a power loss of all VMs, 525 requests within 0.3 s were refused as no_configuration, although
// the configuration arrived 0.14 s after the start.
func TestARequestWaitsForTheFirstConfiguration(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewServer(&smallServer{})
	t.Cleanup(server.Close)
	vm, configure := newUnconfiguredVM(t, budget.Options{Window: 10 * time.Second}, server)
	time.AfterFunc(100*time.Millisecond, configure)
	g.Expect(statusOf(g, vm, "r1")).To(Equal(http.StatusOK))
}

func TestARequestIsRefusedWithoutAConfiguration(t *testing.T) {
	g := NewWithT(t)
	vm, _ := newUnconfiguredVM(t, budget.Options{Window: 10 * time.Second})
	g.Expect(statusOf(g, vm, "r1")).To(Equal(http.StatusServiceUnavailable))
}

// Guards against offers in quick succession: a request was refused after four offers in 17 ms,
// although servers had capacity 120 ms later. Its VM's view of many full servers in a data
// centre was outdated for a moment.
func TestARefusedRequestBacksOffBetweenOffers(t *testing.T) {
	g := NewWithT(t)
	small := &smallServer{}
	small.busy.Store(true)
	var servers []*httptest.Server
	for range 6 {
		server := httptest.NewServer(small)
		t.Cleanup(server.Close)
		servers = append(servers, server)
	}
	vm := newSmallVM(t, budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1}, servers...)
	time.AfterFunc(120*time.Millisecond, func() { small.busy.Store(false) })
	g.Expect(statusOf(g, vm, "r1")).To(Equal(http.StatusOK))
	g.Expect(small.refused.Load()).To(BeNumerically("<=", 3))
}

// Guards against refusing a request because no retry is allowed at that moment. When the
// servers of one data centre are full, its VMs use up their share of the retries while the VMs
// of other data centres need none; a retry is allowed a moment later.
func TestARequestWaitsForRetryBudget(t *testing.T) {
	g := NewWithT(t)
	small := &smallServer{}
	small.busy.Store(true)
	full := httptest.NewServer(small)
	t.Cleanup(full.Close)
	free := httptest.NewServer(&smallServer{})
	t.Cleanup(free.Close)
	// The ratio leaves less than one retry for a single request, and one for three.
	vm := newSmallVM(t, budget.Options{Ratio: 0.5, Window: 10 * time.Second, MinVMs: 1}, full, free)
	var callers sync.WaitGroup
	callers.Go(func() { g.Expect(statusOf(g, vm, "r1")).To(Equal(http.StatusOK), "the refused request") })
	g.Eventually(small.refused.Load, "5s").Should(BeEquivalentTo(1))
	small.busy.Store(false) // from here on only the retry budget is missing
	for i := range 4 {
		g.Expect(statusOf(g, vm, fmt.Sprint("next", i))).To(Equal(http.StatusOK))
	}
	callers.Wait()
}

// Guards against offering requests to a full server before capacity can be free: after servers
// are lost, such offers use up the shared retry budget within a second. Three requests arrive
// at once for a server that has capacity for one and takes 400 ms for each; half of their
// target is 300 ms.
func TestRequestsWaitForCapacity(t *testing.T) {
	g := NewWithT(t)
	small := &smallServer{takes: 400 * time.Millisecond}
	server := httptest.NewServer(small)
	t.Cleanup(server.Close)
	vm := newSmallVM(t, budget.Options{Ratio: 0.2, Slack: 1, Window: 10 * time.Second, MinVMs: 1}, server)

	var callers sync.WaitGroup
	statuses := make([]int, 3)
	for i := range statuses {
		callers.Go(func() {
			statuses[i] = statusOf(g, vm, fmt.Sprint("r", i))
		})
	}
	callers.Wait()
	g.Expect(statuses).To(Equal([]int{200, 200, 200}))
	g.Expect(small.refused.Load()).To(BeZero(), "requests offered to the full server")
}

// Guards against a busy server that is left alone for 4 s because it refused a request late: under overload
// requests wait at servers for memory or a slot, and each such refusal took the server from the others.
func TestALateRefusalOfABusyServerIsNoSilence(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	end := sync.OnceFunc(func() { close(release) })
	defer end() // also after a failure, since the server waits for its handlers
	var held atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		switch id {
		case "late":
			time.Sleep(1100 * time.Millisecond)
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case "next":
		default:
			held.Add(1)
			<-release
		}
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = io.WriteString(w, "x")
	}))
	t.Cleanup(server.Close)
	route := routes.Route{Host: "a.example", Prefix: "/", Repeat: routes.Repeatable, MaxAttempts: 2, TargetLatency: 2 * time.Second, Shares: []routes.Share{{Service: "app", Weight: 1}}}
	vm, _, configure := newVM(t, budget.Options{Window: 10 * time.Second, MinVMs: 1}, route, routes.Service{Name: "app"}, server)
	configure()
	var callers sync.WaitGroup
	for i := range 3 { // of four slots
		callers.Go(func() { g.Expect(statusOf(g, vm, fmt.Sprint("held", i))).To(Equal(http.StatusOK)) })
	}
	g.Eventually(held.Load, "2s").Should(BeEquivalentTo(3))
	g.Expect(statusOf(g, vm, "late")).To(Equal(http.StatusServiceUnavailable))
	g.Expect(statusOf(g, vm, "next")).To(Equal(http.StatusOK), "it waits for 0.2 s")
	end()
	callers.Wait()
}
