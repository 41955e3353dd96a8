package serverconn_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/serverconn"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// newCheckedServer returns a connector with a server, and the number of connections that the server got.
func newCheckedServer(t *testing.T) (*serverconn.Connector, *httptest.Server, *atomic.Int32) {
	connections := new(atomic.Int32)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	c := serverconn.New(serverconn.Options{Log: logr.Discard(), Dial: wire.Dial, Now: bootclock.Now, Service: func(string) (string, bool) { return service, true }})
	return c, server, connections
}

// Guards against a verdict from before a connection's end that says that its server lives.
func TestCheckEndUsesNoEarlierVerdict(t *testing.T) {
	g := NewWithT(t)
	c, server, _ := newCheckedServer(t)
	address := strings.TrimPrefix(server.URL, "http://")
	g.Expect(c.Check(t.Context(), address)).To(Equal(serverconn.Reached))
	server.Close()
	g.Expect(c.Check(t.Context(), address)).To(Equal(serverconn.Reached), "a verdict that is used again")
	g.Expect(c.CheckEnd(t.Context(), address)).To(Equal(serverconn.Ended))
}

// Guards against a connection to a server for each response that ends with its own.
func TestCheckEndIsShared(t *testing.T) {
	g := NewWithT(t)
	c, server, connections := newCheckedServer(t)
	address := strings.TrimPrefix(server.URL, "http://")
	const ends, interval = 100, 5 * time.Millisecond
	start := time.Now()
	verdicts := make(chan serverconn.Verdict, ends)
	for range ends {
		go func() { verdicts <- c.CheckEnd(t.Context(), address) }()
		time.Sleep(interval)
	}
	for range ends {
		g.Eventually(verdicts, "5s").Should(Receive(Equal(serverconn.Reached)))
	}
	const shared = 100 * time.Millisecond
	g.Expect(connections.Load()).To(BeNumerically("<=", time.Since(start)/shared+2), "one each 100 ms")
}
