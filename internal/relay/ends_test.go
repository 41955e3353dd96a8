package relay_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/platform"
)

// lines collects log lines. It is safe for concurrent use.
type lines struct {
	mu  sync.Mutex
	all []string
}

func (l *lines) add(_, line string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, line)
}

func (l *lines) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.all, "\n")
}

// panickingWire panics where a request is written for a server.
type panickingWire struct{ relay.Wire }

func (panickingWire) Write(http.Header, relay.Attempt) { panic("no such header") }

// newStreamHandler returns a handler of one stream route before one server, with its log.
func newStreamHandler(t *testing.T, wire relay.Wire, serve http.HandlerFunc) (*relay.Handler, *lines) {
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Ratio: 0.2, Slack: 100, Window: 10 * time.Second, MinVMs: 1}))
	route := routes.Route{Name: "all", Host: "a.example", Prefix: "/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: time.Second, Shares: []routes.Share{{Service: "app", Weight: 1}}}
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{route}, []routes.Service{{Name: "app"}}, nil))
	d.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
		fleet.Replace(now, []backends.Server{{ID: "s1", Service: "app", Address: strings.TrimPrefix(server.URL, "http://"), DataCentre: "a", Slots: 4}}, 1)
	})
	log := &lines{}
	return relay.New(relay.Options{
		Log: funcr.New(log.add, funcr.Options{}), Wire: wire, Dispatcher: d, DataCentre: "a", Proven: func() bool { return true },
	}), log
}

func streamRequest() *http.Request {
	request := httptest.NewRequest(http.MethodPost, "http://a.example/x", nil)
	request.Header.Set("X-Request-Id", "r1")
	return request
}

func sendEvents(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Response-Seal", "seal")
	_, _ = io.WriteString(w, eventOne+eventTwo)
}

// Guards against a request that ends by a panic of its goroutine without a line that names it.
func TestAPanicOfARequestIsLogged(t *testing.T) {
	g := NewWithT(t)
	handler, log := newStreamHandler(t, panickingWire{platform.Requests{}}, sendEvents)
	g.Expect(func() { handler.ServeHTTP(httptest.NewRecorder(), streamRequest()) }).To(PanicWith(http.ErrAbortHandler))
	g.Expect(log.text()).To(And(ContainSubstring(`"event"=4232`), ContainSubstring(`"request"="r1"`), ContainSubstring("no such header"), ContainSubstring("ends_test.go")))
}

// brokenWriter is a connection to a caller on which writes fail.
type brokenWriter struct{ *httptest.ResponseRecorder }

func (brokenWriter) Write([]byte) (int, error) { return 0, errors.New("no buffer space") }

// Guards against a response that breaks off since it can't be written, without a line that names the
// request, where the caller's connection was not seen to close.
func TestAnUnwrittenResponseIsLogged(t *testing.T) {
	g := NewWithT(t)
	handler, log := newStreamHandler(t, platform.Requests{}, sendEvents)
	g.Expect(func() { handler.ServeHTTP(brokenWriter{httptest.NewRecorder()}, streamRequest()) }).To(PanicWith(http.ErrAbortHandler))
	g.Expect(log.text()).To(And(ContainSubstring(`"event"=4233`), ContainSubstring(`"request"="r1"`), ContainSubstring("no buffer space")))
}

// Guards against requests that the end of a VM's stop cuts without a line that names them, or with one that
// says that their callers left.
func TestRequestsThatAStopCutsAreLogged(t *testing.T) {
	g := NewWithT(t)
	handler, log := newStreamHandler(t, platform.Requests{}, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		w.Header().Set("X-Response-Seal", "seal")
		_, _ = io.WriteString(w, eventOne)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	vm := httptest.NewServer(handler)
	defer vm.Close()
	request := streamRequest()
	target, err := url.Parse(vm.URL + "/x")
	g.Expect(err).NotTo(HaveOccurred())
	request.URL, request.RequestURI = target, ""
	response, err := http.DefaultClient.Do(request)
	g.Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	handler.RecordCutByStop()
	vm.CloseClientConnections()
	g.Eventually(handler.InFlight, "5s").Should(BeZero())
	g.Expect(log.text()).To(And(ContainSubstring(`"event"=4236 "request"="r1"`), Not(ContainSubstring(`"event"=4207`))))
}
