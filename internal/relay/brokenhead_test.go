package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/platform"
)

// brokenResponses are responses whose part before the mark | may be cut anywhere and is never whole.
var brokenResponses = map[string]string{
	"length":           "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n|\r\n",
	"chunks":           "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n|\r\n",
	"trailers":         "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\n|\r\n",
	"HTTP/1.0":         "HTTP/1.0 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n|\r\n",
	"an interim one":   "HTTP/1.1 102 Processing\r\nX-Request-Id: %[1]s\r\n\r\nHTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %[1]s\r\nContent-Length: 0\r\n|\r\n",
	"its connection":   "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nConnection: close\r\n\r\n|",
	"folded in a line": "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length:\r\n 0\r\n|\r\n",
}

// Guards against a success with an empty or short body that looks whole, made of a response whose server stopped
// in its head or trailer and closed or reset the connection: a new or kept one, directly or through another VM.
func TestAResponseThatBreaksOffInItsHeadIsNoSuccess(t *testing.T) {
	for name, response := range brokenResponses {
		for _, way := range []string{"a new connection", "a kept connection", "another VM"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s over %s, reset %t", name, way, reset), func(t *testing.T) {
					expectNoSuccess(t, response, way, reset)
				})
			}
		}
	}
}

func expectNoSuccess(t *testing.T, response, way string, reset bool) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	var cut, kept, broken atomic.Int32
	go acceptBroken(listener, response, &cut, &kept, &broken, way == "a kept connection", reset)
	d := relay.NewDispatcher(bootclock.Now, budget.New(budget.Options{Window: 10 * time.Second, MinVMs: 1}))
	shares := []routes.Share{{Service: "app", Weight: 1}}
	d.SetTable(routes.New(1, routes.Limits{}, []routes.Route{
		{Host: "a.example", Prefix: "/plain/", Repeat: routes.Repeatable, MaxAttempts: 2, Shares: shares},
		{Host: "a.example", Prefix: "/stream/", Repeat: routes.Resumable, Stream: true, MaxAttempts: 2, TargetLatency: time.Second, Shares: shares},
	}, []routes.Service{{Name: "app"}}, nil))
	options := relay.Options{Log: logr.Discard(), Wire: platform.Requests{}, Dispatcher: d, DataCentre: "a", Proven: func() bool { return true }}
	if way == "another VM" {
		refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		options.Servers = serverconn.New(serverconn.Options{Log: logr.Discard(), Dial: refused, Now: bootclock.Now, Service: d.ServiceAt})
		options.Servers.SetTunnels(&otherVM{responds: true})
	}
	vm := relay.New(options)
	whole := strings.IndexByte(response, '|')
	processes := 0
	startProcess := func() { // which nothing is held against
		processes++
		d.WithFleet(func(now time.Duration, fleet *backends.Fleet) {
			fleet.Replace(now, []backends.Server{{ID: fmt.Sprint("s", processes), Service: "app", Address: listener.Addr().String(), DataCentre: "a", Slots: 4}}, history.Version(processes))
		})
	}
	for _, at := range []int{1, 12, 17, 30, 41, whole / 2, whole - 4, whole - 2, whole - 1, whole} {
		cut.Store(int32(at))
		for _, prefix := range []string{"/plain/", "/stream/"} {
			for _, method := range []string{http.MethodGet, http.MethodPost} {
				startProcess()
				if way == "a kept connection" {
					kept.Store(1)
					g.Expect(callVM(vm, method, prefix, "kept", processes).Code).To(Equal(http.StatusOK))
				}
				answer := callVM(vm, method, prefix, "broken", processes)
				g.Expect(broken.Swap(0)).To(BeEquivalentTo(1), "it reached the server once")
				g.Expect(answer.Code).To(Equal(http.StatusBadGateway), "%s %s, cut after %d bytes: %q", method, prefix, at, answer.Body)
			}
		}
	}
}

// callVM sends a request whose path nobody else's has, so that no other one's loss is held against it.
func callVM(vm http.Handler, method, prefix, id string, number int) (answer *httptest.ResponseRecorder) {
	request := httptest.NewRequest(method, fmt.Sprint("http://a.example", prefix, number), strings.NewReader("body"))
	request.Header.Set("X-Request-Id", id)
	answer = httptest.NewRecorder()
	answer.Code = http.StatusBadGateway // a connection that is closed without an answer
	defer func() { _ = recover() }()
	vm.ServeHTTP(answer, request)
	return answer
}

// acceptBroken serves connections whose response breaks off after cut bytes. If kept is set, the first one on a
// connection is whole.
func acceptBroken(listener net.Listener, response string, cut, kept, broken *atomic.Int32, keeps, reset bool) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			reader := bufio.NewReader(conn)
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				id := request.Header.Get("X-Request-Id")
				if keeps && id == "kept" && kept.CompareAndSwap(1, 0) {
					event := "id: 1\ndata: x\n\n"
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(event), event)
					continue
				}
				broken.Add(1)
				text, _, _ := strings.Cut(fmt.Sprintf(response, id), "|")
				_, _ = io.WriteString(conn, text[:min(int(cut.Load())+len(text)-strings.IndexByte(response, '|'), len(text))])
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				return
			}
		}()
	}
}
