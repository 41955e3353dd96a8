package relay_test

import (
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
)

// Guards against requests queueing for a server's rate until their callers disconnect.
func TestARequestBeyondAServersRateIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	var runs atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		w.Header().Set("Server-Limit", "2")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}))
	t.Cleanup(server.Close)
	vm := newSmallVM(t, budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1}, server)
	g.Expect(statusOf(g, vm, "first")).To(Equal(http.StatusOK))

	var callers sync.WaitGroup
	var served atomic.Int32
	for i := range 12 {
		callers.Go(func() {
			start := time.Now()
			response := responseTo(g, vm, fmt.Sprint("r", i))
			if response.StatusCode == http.StatusOK {
				served.Add(1)
				return
			}
			g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
			retryAfter, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(retryAfter).To(BeNumerically(">", 1.4), "the requests queued before use up the rate until then")
			g.Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		})
	}
	callers.Wait()
	g.Expect(served.Load()).To(BeNumerically("~", 2, 1))
	g.Expect(runs.Load()).To(Equal(served.Load() + 1))
}

// newVMWithRefusingServer starts a VM and a server that sets a rate in its first response and
// refuses all later requests. sent counts the requests that reach the server.
func newVMWithRefusingServer(t *testing.T, g *WithT, retries budget.Options) (vm *httptest.Server, sent *atomic.Int32) {
	sent = new(atomic.Int32)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		if sent.Add(1) > 1 {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("X-Response-Seal", "seal")
		w.Header().Set("Server-Limit", "2")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}))
	t.Cleanup(server.Close)
	vm = newSmallVM(t, retries, server)
	g.Expect(statusOf(g, vm, "first")).To(Equal(http.StatusOK))
	return vm, sent
}

// Guards against a request that a server refused being reported as rate-limited.
func TestRequestQueuedForARateReportsTheServersRefusal(t *testing.T) {
	g := NewWithT(t)
	vm, sent := newVMWithRefusingServer(t, g, budget.Options{Window: 10 * time.Second, MinVMs: 1})
	var callers sync.WaitGroup
	var refused atomic.Int32
	for i := range 6 {
		callers.Go(func() {
			if _, body := responseAndBodyTo(g, vm, fmt.Sprint("r", i)); strings.Contains(body, "servers_refused") {
				refused.Add(1)
			}
		})
	}
	callers.Wait()
	g.Expect(sent.Load()).To(BeNumerically(">", 1))
	g.Expect(refused.Load()).To(Equal(sent.Load() - 1))
}

// Guards against a refusal without a rate ending the limit that its server set.
func TestARefusalDoesNotEndARateLimit(t *testing.T) {
	g := NewWithT(t)
	vm, sent := newVMWithRefusingServer(t, g, budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1})
	start := time.Now()
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { g.Expect(statusOf(g, vm, fmt.Sprint("r", i))).To(Equal(http.StatusServiceUnavailable)) })
	}
	callers.Wait()
	g.Expect(float64(sent.Load())).To(BeNumerically("<=", 2+2*time.Since(start).Seconds()))
}
