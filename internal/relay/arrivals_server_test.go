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

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// Guards against requests without a body that net/http sends again by itself over further kept connections,
// without a retry from the budget.
func TestRequestsWithoutABodyAreSentAgainOnlyWithARetry(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete, http.MethodPost} {
		t.Run(method, func(t *testing.T) { expectOneArrival(t, method) })
	}
}

// expectOneArrival sends a request without a body to a server that closes kept connections in place of
// responses, while the budget allows no retry.
func expectOneArrival(t *testing.T, method string) {
	g := NewWithT(t)
	const connections = 6
	var closes atomic.Bool
	var arrivals atomic.Int32
	var together sync.WaitGroup
	together.Add(connections)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		if closes.Load() {
			panic(http.ErrAbortHandler)
		}
		together.Done()
		together.Wait()
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(server.Close)
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second, MinVMs: 1}))
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{
		{Host: "a.example", Prefix: "/", Repeat: routes.Repeatable, MaxAttempts: 2, Shares: []routes.Share{{Service: "app", Weight: 1}}},
	}, []routes.Service{{Name: "app"}}, nil))
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		fleet.Replace(now, []backends.Server{{ID: "s1", Service: "app", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: connections}}, 1)
	})
	vm := relay.New(relay.Options{Log: logr.Discard(), Wire: platform.Requests{}, Dispatcher: d, DataCentre: "a", Proven: func() bool { return true }})
	call := func(id string) int {
		request := httptest.NewRequest(method, "http://a.example/x", nil)
		request.Header.Set("X-Request-Id", id)
		request.Header.Set("Idempotency-Key", id)
		response := httptest.NewRecorder()
		vm.ServeHTTP(response, request)
		return response.Code
	}
	var calls sync.WaitGroup
	for i := range connections {
		calls.Go(func() { call(fmt.Sprint("r", i)) })
	}
	calls.Wait()
	closes.Store(true)
	arrivals.Store(0)
	g.Expect(call("lost")).To(Equal(http.StatusBadGateway))
	g.Expect(arrivals.Load()).To(BeEquivalentTo(1))
}
