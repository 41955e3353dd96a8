package relay_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/pace"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// pacedEngine returns a model whose server has memory for many requests and reads 2.5 typical prompts a
// second beside its streams: one may wait for its first event at a latency target of a second.
func pacedEngine() *routes.Engine {
	engine := smallEngine()
	engine.Cards = map[string]routes.Card{"c": {MB: 1e9, Pace: 1}}
	engine.ReadPerSecond = 50 // the card reads ten times as fast
	return engine
}

// readingServer holds back the first event of each stream until release returns, and counts the streams
// that wait for it.
type readingServer struct {
	release func(waiting int)
	status  int

	mu            sync.Mutex
	waiting, most int
}

func (s *readingServer) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	w.Header().Set("X-Request-Id", request.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	if s.status != 0 {
		w.WriteHeader(s.status)
		return
	}
	s.mu.Lock()
	s.waiting++
	s.most = max(s.most, s.waiting)
	waiting := s.waiting
	s.mu.Unlock()
	s.release(waiting)
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
}

// newPacedVM starts a VM before a server of a model.
func newPacedVM(t *testing.T, server http.Handler, engine *routes.Engine, target time.Duration) *httptest.Server {
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	route := routes.Route{
		Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: target,
		Shares: []routes.Share{{Service: "llm", Weight: 1}},
	}
	vm, _, configure := newVM(t, budget.Options{Window: 10 * time.Second, StartedAt: -10 * time.Second, MinVMs: 1}, route, routes.Service{Name: "llm", Engine: engine}, listener)
	configure()
	return vm
}

// sendTogether sends requests at the same time and returns the number of complete responses.
func sendTogether(g *WithT, vm *httptest.Server, requests int) int {
	var callers sync.WaitGroup
	var mu sync.Mutex
	complete := 0
	for i := range requests {
		callers.Go(func() {
			status := statusOf(g, vm, fmt.Sprint("r", i))
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				complete++
			}
		})
	}
	callers.Wait()
	return complete
}

// Guards against prompts that wait at a server with memory for them but without time to read them: the
// others wait in the queue, and start when first events arrive.
func TestStreamsWaitForTheFirstEventsOfOthers(t *testing.T) {
	g := NewWithT(t)
	server := &readingServer{release: func(int) { time.Sleep(30 * time.Millisecond) }} // the reading of a prompt
	vm := newPacedVM(t, server, pacedEngine(), time.Second)
	g.Expect(sendTogether(g, vm, 8)).To(Equal(8))
	g.Expect(server.most).To(BeNumerically("<=", 5), "the limit of one grows with each first event; without it all eight wait at once")
	g.Expect(server.waiting).To(BeZero())
}

// Guards against other decisions than without limits where the configuration has no figures for the
// reading of prompts, or the route no latency target. The server answers only when all streams wait.
func TestWithoutFiguresOrTargetStreamsAreNotLimited(t *testing.T) {
	const streams = 8
	unknown := pacedEngine()
	unknown.ReadPerSecond = 0
	for name, test := range map[string]struct {
		engine *routes.Engine
		target time.Duration
	}{
		"no figures": {unknown, 2 * time.Second},
		"no target":  {pacedEngine(), 0},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			all := make(chan struct{})
			server := &readingServer{release: func(waiting int) {
				if waiting == streams {
					close(all)
				}
				<-all
			}}
			vm := newPacedVM(t, server, test.engine, test.target)
			g.Expect(sendTogether(g, vm, streams)).To(Equal(streams))
		})
	}
}

// Guards against attempts that keep their place after they failed without a first event: the limit
// would prevent all further ones.
func TestFailedAttemptsGiveUpTheirPlaces(t *testing.T) {
	g := NewWithT(t)
	server := &readingServer{release: func(int) {}, status: http.StatusBadRequest}
	vm := newPacedVM(t, server, pacedEngine(), time.Second)
	for i := range 20 {
		g.Expect(statusOf(g, vm, fmt.Sprint("failed", i))).NotTo(Equal(http.StatusServiceUnavailable))
	}
	server.status = 0
	g.Expect(statusOf(g, vm, "served")).To(Equal(http.StatusOK))
}

// Guards against an error that doesn't name the limit, or that the queue takes for a lack of servers.
func TestLimitErrorNamesTheLimit(t *testing.T) {
	g := NewWithT(t)
	err := error(&relay.LimitError{Service: "llm", Limit: pace.Starting, State: pace.State{StartingLimit: 4.5, Starting: 4, Running: 9}})
	g.Expect(errors.Is(err, backends.ErrFull)).To(BeTrue())
	g.Expect(err.Error()).To(ContainSubstring("4 starting streams"))
	g.Expect(err.Error()).To(ContainSubstring("limit 4.5"))
	g.Expect(strings.Contains((&relay.LimitError{Limit: pace.Running, State: pace.State{RunningLimit: 9, Running: 9}}).Error(), "9 running")).To(BeTrue())
}
