package edge

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against connections without a bound, each of which may hold a head that isn't complete, and
// against a limit that closed connections use up.
func TestConnectionsOfCallersAreBounded(t *testing.T) {
	g := NewWithT(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.NotFoundHandler()}
	t.Cleanup(func() { _ = server.Close() })
	const limit = 4
	go func() { _ = server.Serve(newConnectionLimit(limit).listener(inner)) }()
	open := func() net.Conn {
		conn, err := net.Dial("tcp", inner.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		return conn
	}
	closed := func(conn net.Conn) bool {
		_ = conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		return err == io.EOF
	}
	for range 3 {
		var conns []net.Conn
		for range limit {
			conns = append(conns, open())
		}
		for _, conn := range conns {
			g.Expect(closed(conn)).To(BeFalse())
		}
		beyond := open()
		g.Expect(closed(beyond)).To(BeTrue())
		g.Expect(beyond.Close()).To(Succeed())
		for _, conn := range conns {
			g.Expect(conn.Close()).To(Succeed())
		}
		g.Eventually(func() bool {
			conn := open()
			defer conn.Close()
			return closed(conn)
		}, "5s").Should(BeFalse())
		time.Sleep(50 * time.Millisecond) // the server has seen the last connection end
	}
	g.Expect(maxConnections(0)).To(BeZero(), "no limit of memory")
	g.Expect(maxConnections(284)).To(BeNumerically("~", 1800, 100))
}
