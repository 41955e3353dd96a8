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

// Guards against: requests queue for a server's rate until their callers are gone.
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
	front := smallFront(t, budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, VMs: 1}, server)
	g.Expect(ask(g, front, "first")).To(Equal(http.StatusOK))

	var callers sync.WaitGroup
	var served atomic.Int32
	for i := range 12 {
		callers.Go(func() {
			begun := time.Now()
			answer := answerTo(g, front, fmt.Sprint("r", i))
			if answer.StatusCode == http.StatusOK {
				served.Add(1)
				return
			}
			g.Expect(answer.StatusCode).To(Equal(http.StatusServiceUnavailable))
			after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(after).To(BeNumerically(">", 1.4), "those before it take what may be sent until then")
			g.Expect(time.Since(begun)).To(BeNumerically("<", time.Second))
		})
	}
	callers.Wait()
	g.Expect(served.Load()).To(BeNumerically("~", 2, 1))
	g.Expect(runs.Load()).To(Equal(served.Load() + 1))
}

// refusingFront is a VM before a server that set a rate in its first answer, and refuses all
// requests after that. sent counts what reaches the server.
func refusingFront(t *testing.T, g *WithT, repeats budget.Options) (front *httptest.Server, sent *atomic.Int32) {
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
	front = smallFront(t, repeats, server)
	g.Expect(ask(g, front, "first")).To(Equal(http.StatusOK))
	return front, sent
}

// Guards against: a request that a server refused is told that its rate was the cause.
func TestARequestThatWaitedForARateIsToldWhyItIsRefused(t *testing.T) {
	g := NewWithT(t)
	front, sent := refusingFront(t, g, budget.Options{Window: 10 * time.Second, VMs: 1})
	var callers sync.WaitGroup
	var refused atomic.Int32
	for i := range 6 {
		callers.Go(func() {
			if _, body := wholeAnswerTo(g, front, fmt.Sprint("r", i)); strings.Contains(body, "servers_refused") {
				refused.Add(1)
			}
		})
	}
	callers.Wait()
	g.Expect(sent.Load()).To(BeNumerically(">", 1))
	g.Expect(refused.Load()).To(Equal(sent.Load() - 1))
}

// Guards against: a refusal without a rate ends the limit that its server set.
func TestARefusalDoesNotEndALimit(t *testing.T) {
	g := NewWithT(t)
	front, sent := refusingFront(t, g, budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, VMs: 1})
	begun := time.Now()
	var callers sync.WaitGroup
	for i := range 8 {
		callers.Go(func() { g.Expect(ask(g, front, fmt.Sprint("r", i))).To(Equal(http.StatusServiceUnavailable)) })
	}
	callers.Wait()
	g.Expect(float64(sent.Load())).To(BeNumerically("<=", 2+2*time.Since(begun).Seconds()))
}
