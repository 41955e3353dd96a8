package relay_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
)

// signed starts a server that calls serve after adding the headers of a valid response.
func signed(t *testing.T, serve http.HandlerFunc) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		serve(w, request)
	}))
	t.Cleanup(server.Close)
	return server
}

// Guards against refusing a request for the reason for which another one waits. A stream that broke on
// the first server waits for the second one, which is paused; requests that arrived meanwhile were
// refused as paused although the first server was free.
func TestARequestIsNotRefusedForTheReasonOfAnother(t *testing.T) {
	g := NewWithT(t)
	route := signalRoutes()["stream that may be resumed"]
	free := signed(t, func(w http.ResponseWriter, request *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		if request.Header.Get("X-Request-Id") == "broken" {
			_, _ = io.WriteString(w, "id: 2\nda")
		}
	})
	resumes := make(chan struct{}, 1)
	paused := signed(t, func(w http.ResponseWriter, _ *http.Request) {
		resumes <- struct{}{}
		_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
	})
	vm, d, configure := newVM(t, budget.Options{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second, MinVMs: 1}, route, serviceOf(route), free, paused)
	configure()
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Pause(now, "s2", 1500*time.Millisecond) })
	var callers sync.WaitGroup
	callers.Go(func() { g.Expect(statusOf(g, vm, "broken")).To(Equal(http.StatusOK)) })
	g.Eventually(func() int { return d.Waiting("llm") }, "1s", "5ms").Should(Equal(1))
	g.Expect(statusOf(g, vm, "next")).To(Equal(http.StatusOK))
	g.Expect(resumes).To(BeEmpty(), "the other request still waits")
	callers.Wait()
}

// Guards against refusing a plain request at once that one server didn't run, while the other servers are
// full for a moment.
func TestARetryOfAPlainRequestWaitsForCapacity(t *testing.T) {
	g := NewWithT(t)
	route := signalRoutes()["safe"]
	route.TargetLatency, route.TargetGap = 4*time.Second, time.Second // the gap target makes requests wait on the VM
	const full = 8                                                    // twice the slots of a server
	refusing := &signalServer{pause: "60"}
	release := make(chan struct{})
	var busy atomic.Int32
	held := signed(t, func(w http.ResponseWriter, _ *http.Request) {
		busy.Add(1)
		<-release
		_, _ = io.WriteString(w, "x")
	})
	vm, d, configure := newVM(t, budget.Options{Ratio: 0.2, Slack: 1000, Window: 10 * time.Second, MinVMs: 1}, route, serviceOf(route), refusing.start(t), held)
	configure()
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) { fleet.Pause(now, "s1", 500*time.Millisecond) })
	var callers sync.WaitGroup
	for range full {
		callers.Go(func() { g.Expect(statusOf(g, vm, "held")).To(Equal(http.StatusOK)) })
	}
	g.Eventually(busy.Load, "2s").Should(BeEquivalentTo(full))
	callers.Go(func() { g.Expect(statusOf(g, vm, "retried")).To(Equal(http.StatusOK)) })
	refused := func() int { return refusing.between(-1, time.Hour) }
	g.Eventually(refused, "2s", "5ms").Should(Equal(1))
	g.Eventually(func() int { return d.Waiting("llm") }, "1s", "5ms").Should(Equal(1))
	close(release)
	callers.Wait()
}
