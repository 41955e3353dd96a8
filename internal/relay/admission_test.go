package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	netwire "oleandershunt.example/oleandershunt/internal/wire"
	"oleandershunt.example/oleandershunt/platform"
)

// orderServer has capacity for one stream, which lasts takes, and records the order in which
// requests reach it.
type orderServer struct {
	takes time.Duration

	mu      sync.Mutex
	order   []string
	running atomic.Int32
}

func (s *orderServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.mu.Lock()
	s.order = append(s.order, request.Header.Get("X-Request-Id"))
	s.mu.Unlock()
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	end := time.After(s.takes)
	for event := 1; ; event++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", event)
		w.(http.Flusher).Flush()
		select {
		case <-time.After(50 * time.Millisecond):
		case <-end:
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *orderServer) ids() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.order...)
}

// newOrderVM starts a VM before one server. Accounts "high" and "low" have the keys of the same name and
// the priorities 0 and 5.
func newOrderVM(t *testing.T, server *orderServer) *httptest.Server {
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: 600 * time.Millisecond,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	service := routes.Service{Name: "llm", Engine: smallEngine()}
	vm, d, _ := newVMWith(t, platform.Requests{}, netwire.Dial, budget.Options{Window: 10 * time.Second, MinVMs: 1}, route, service, listener)
	accounts := map[string]routes.Account{
		"high": {Name: "high", Priority: 0, HasPriority: true},
		"low":  {Name: "low", Priority: 5, HasPriority: true},
	}
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{service}, accounts))
	return vm
}

// call sends a request with a key and returns its status, Retry-After and the reason and execution of a refusal.
func call(ctx context.Context, g *WithT, vm *httptest.Server, id, key string) (status int, retryAfter float64, refusal map[string]string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, vm.URL+"/", strings.NewReader("{}"))
	g.Expect(err).NotTo(HaveOccurred())
	request.Host = "a.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("X-Token-Count", "100,10")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, 0, nil
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	_ = json.Unmarshal(body, &refusal)
	retryAfter, _ = strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, retryAfter, refusal
}

// Guards against a less urgent request starting before an urgent one that arrived later, when both
// wait for capacity.
func TestTheMoreUrgentRequestStartsFirst(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 150 * time.Millisecond}
	vm := newOrderVM(t, server)
	var callers sync.WaitGroup
	for i, key := range []string{"low", "low", "high"} {
		callers.Go(func() {
			status, _, _ := call(t.Context(), g, vm, fmt.Sprint(key, i), key)
			g.Expect(status).To(Equal(http.StatusOK))
		})
		time.Sleep(30 * time.Millisecond) // the order of arrival
	}
	callers.Wait()
	g.Expect(server.ids()).To(Equal([]string{"low0", "high2", "low1"}))
}

// Guards against requests being sent to a server that is known to be full at the end of their wait:
// such a request is refused as not run, and no server has seen it.
func TestARequestThatFindsNoCapacityIsRefusedAsNotRun(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 4 * time.Second}
	vm := newOrderVM(t, server)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go call(ctx, g, vm, "first", "high")
	g.Eventually(server.ids, "2s").Should(HaveLen(1))
	start := time.Now()
	status, retryAfter, refusal := call(t.Context(), g, vm, "second", "high")
	g.Expect(status).To(Equal(http.StatusServiceUnavailable))
	g.Expect(refusal).To(Equal(map[string]string{"reason": "overloaded", "execution": "not_run"}))
	g.Expect(retryAfter).To(BeNumerically(">", 0))
	g.Expect(time.Since(start)).To(BeNumerically("<", 1900*time.Millisecond), "callers give up after 2 s")
	g.Expect(server.ids()).To(Equal([]string{"first"}))
}

// Guards against a request that runs although its caller disconnected while it was queued, and
// against its place in the queue being lost to others.
func TestACallerThatLeavesTheQueueTakesNoSlot(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 300 * time.Millisecond}
	vm := newOrderVM(t, server)
	ctx, leave := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() { call(t.Context(), g, vm, "first", "high") })
	g.Eventually(server.ids, "2s").Should(HaveLen(1))
	callers.Go(func() { call(ctx, g, vm, "left", "high") })
	time.Sleep(50 * time.Millisecond)
	callers.Go(func() { call(t.Context(), g, vm, "next", "low") })
	time.Sleep(50 * time.Millisecond)
	leave()
	callers.Wait()
	g.Expect(server.ids()).To(Equal([]string{"first", "next"}))
}

// Guards against servers that go on with requests whose callers have disconnected, while many other
// requests wait on the VM.
func TestNothingRunsAfterItsCallerLeft(t *testing.T) {
	g := NewWithT(t)
	server := &orderServer{takes: 10 * time.Second}
	vm := newOrderVM(t, server)
	ctx, leave := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	callers.Go(func() { call(ctx, g, vm, "running", "low") })
	g.Eventually(server.running.Load, "2s").Should(BeEquivalentTo(1))
	waiting, stop := context.WithCancel(t.Context())
	for i := range 200 {
		callers.Go(func() { call(waiting, g, vm, fmt.Sprint("w", i), "low") })
	}
	time.Sleep(200 * time.Millisecond)
	leave()
	g.Eventually(func() []string { return server.ids() }, "500ms").Should(HaveLen(2), "the slot goes to a waiting request")
	stop()
	g.Eventually(server.running.Load, "500ms").Should(BeZero())
	callers.Wait()
}

// Guards against requests waiting on the VM in a deployment whose configuration distinguishes none: no
// engine, account, gap target or different priorities. Its plain servers queue them, as before.
func TestUndifferentiatedRequestsWaitAtTheServers(t *testing.T) {
	g := NewWithT(t)
	release := make(chan struct{})
	var running atomic.Int32
	server := signed(t, func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		<-release
		_, _ = io.WriteString(w, "x")
	})
	route := signalRoutes()["safe"]
	route.TargetLatency = time.Second
	vm, _, configure := newVM(t, budget.Options{Window: 10 * time.Second, MinVMs: 1}, route, serviceOf(route), server)
	configure()
	const requests = 20 // five times the slots
	var callers sync.WaitGroup
	for i := range requests {
		callers.Go(func() { g.Expect(statusOf(g, vm, fmt.Sprint("r", i))).To(Equal(http.StatusOK)) })
	}
	g.Eventually(running.Load, "2s").Should(BeEquivalentTo(requests))
	close(release)
	callers.Wait()
}
