package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// lateRig is a VM with a clock of its own, before a server that refuses all requests and one that is busy until
// the test frees it.
type lateRig struct {
	*WithT
	dispatcher *relay.Dispatcher
	vm         *relay.Handler
	clock      atomic.Int64
	// seen are the requests that reached a server, again counts the arrivals beyond the first of each, and
	// ended the requests that ended.
	seen  sync.Map
	again atomic.Int32
	ended atomic.Int32
	// refuses is set once the second server refuses, too.
	refuses atomic.Bool
	// missing is the number of requests that the first server waits for before it refuses any, and gathered is closed
	// once they are there.
	missing    atomic.Int32
	gathered   chan struct{}
	busy, full backends.Server
	free       func()
	calls      sync.WaitGroup
	sent       int
}

func newLateRig(t *testing.T, slack float64) *lateRig {
	r := &lateRig{WithT: NewWithT(t), gathered: make(chan struct{})}
	now := func() time.Duration { return time.Duration(r.clock.Load()) }
	r.clock.Store(int64(20 * time.Second))
	r.dispatcher = relay.NewDispatcher(now, budget.New(budget.Options{Slack: slack, Window: 10 * time.Second, MinVMs: 1}))
	shares := []routes.Share{{Service: "app", Weight: 1}}
	r.dispatcher.SetTable(routes.New(1, routes.Limits{}, []routes.Route{
		{Host: "a.example", Prefix: "/x/", Repeat: routes.Repeatable, MaxAttempts: 2, TargetLatency: 100 * time.Second, Shares: shares},
		{Host: "a.example", Prefix: "/y/", Repeat: routes.Repeatable, MaxAttempts: 2, TargetLatency: 100 * time.Second, Priority: 1, Shares: shares},
		{Host: "a.example", Prefix: "/soon/", Repeat: routes.Repeatable, MaxAttempts: 2, TargetLatency: 400 * time.Millisecond, Shares: shares},
	}, []routes.Service{{Name: "app"}}, nil))
	freed := make(chan struct{})
	r.free = sync.OnceFunc(func() { close(freed) })
	r.full = r.server(t, "full", 1000, func(w http.ResponseWriter) {
		if r.missing.Load() > 0 {
			if r.missing.Add(-1) == 0 {
				close(r.gathered)
			}
			select {
			case <-r.gathered:
			case <-freed:
			}
		}
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r.busy = r.server(t, "busy", 1, func(w http.ResponseWriter) {
		<-freed
		if r.refuses.Load() {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Response-Seal", "seal")
	})
	r.vm = relay.New(relay.Options{Log: logr.Discard(), Wire: platform.Requests{}, Dispatcher: r.dispatcher, DataCentre: "a", Proven: func() bool { return true }})
	t.Cleanup(func() { r.free(); r.calls.Wait() })
	return r
}

func (r *lateRig) server(t *testing.T, id string, slots int, respond func(http.ResponseWriter)) backends.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get("X-Request-Id")
		if _, seen := r.seen.LoadOrStore(id, true); seen {
			r.again.Add(1)
		}
		w.Header().Set("X-Request-Id", id)
		respond(w)
	}))
	t.Cleanup(func() { r.free(); server.Close() })
	return backends.Server{ID: id, Service: "app", DataCentre: "a", Slots: slots, Address: strings.TrimPrefix(server.URL, "http://")}
}

func (r *lateRig) use(servers ...backends.Server) {
	r.dispatcher.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Replace(now, servers, 1) })
}

// fullServers returns servers that all refuse: one that refused gets no more requests for a moment.
func (r *lateRig) fullServers(count int) (servers []backends.Server) {
	for i := range count {
		server := r.full
		server.ID = fmt.Sprint(server.ID, i)
		servers = append(servers, server)
	}
	return servers
}

func (r *lateRig) call(prefix string, count int) {
	for range count {
		r.sent++
		request := httptest.NewRequest(http.MethodGet, "http://a.example"+prefix, nil)
		request.Header.Set("X-Request-Id", fmt.Sprint("r", r.sent))
		r.calls.Go(func() {
			r.vm.ServeHTTP(httptest.NewRecorder(), request)
			r.ended.Add(1)
		})
	}
}

// occupy sends requests to the busy server until it takes no more.
func (r *lateRig) occupy() {
	r.use(r.busy)
	for r.dispatcher.Waiting("app") == 0 { // until the server takes no more
		r.call("/x/", 1)
		sent := r.sent
		r.Eventually(func() int {
			running := 0
			r.dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { running = fleet.PublishUsage()["busy"].Running })
			return running + r.dispatcher.Waiting("app")
		}, "5s").Should(Equal(sent))
	}
}

// retries returns the retries that the VM counts in the window.
func (r *lateRig) retries() int { return budget.Totals(r.dispatcher.RetryCounts())["app"].Retries }

// Guards against retries that wait for capacity and reach servers within one window with as many later ones,
// since they counted only for the time at which they were taken from the budget.
func TestRetriesCountForTheTimeAtWhichTheyAreSent(t *testing.T) {
	const requests, slack = 40, 20
	r := newLateRig(t, slack)
	r.occupy()
	r.use(append(r.fullServers(requests), r.busy)...)
	r.missing.Store(requests) // the first refusal would keep the others off the servers, which have one address
	r.call("/x/", requests)
	r.Eventually(r.gathered, "5s").Should(BeClosed())
	r.Eventually(r.retries, "5s").Should(BeNumerically(">", slack/2))
	r.Expect(r.again.Load()).To(BeNumerically("<", slack/5), "most wait for the busy server")

	r.clock.Store(int64(29 * time.Second))
	r.again.Store(0)
	r.free()
	r.calls.Wait()
	r.Expect(r.again.Load()).To(BeNumerically(">", slack/2))

	r.clock.Store(int64(31 * time.Second))
	r.refuses.Store(true)
	r.call("/x/", requests)
	r.calls.Wait()
	r.Expect(r.again.Load()).To(BeNumerically("<=", slack), "arrivals beyond the first within two seconds")
}

// Guards against a budget that is used up by retries that were taken and for which no server was found.
func TestRetriesThatNoServerTakesAreGivenBack(t *testing.T) {
	const requests, slack = 40, 20
	r := newLateRig(t, slack)
	r.occupy()
	r.use(append(r.fullServers(requests), r.busy)...)
	r.call("/soon/", requests)
	r.Eventually(func() int32 {
		r.clock.Store(min(r.clock.Load()+int64(20*time.Millisecond), int64(25*time.Second)))
		r.dispatcher.WithFleet(func(time.Duration, *backends.Fleet) {}) // looks at the queue
		return r.ended.Load()
	}, "5s").Should(BeNumerically(">=", requests))
	r.Expect(r.retries()-int(r.again.Load())).To(BeNumerically("<=", r.dispatcher.Waiting("app")), "what waits still may use its own")
}
