package soak

import (
	"net"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against resets that look like the proper end of a response that ends with its connection.
func TestAProxyResetsBothSides(t *testing.T) {
	g := NewWithT(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer target.Close()
	way, err := newProxy()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(way.setTarget(target.Addr().String())).To(Succeed())
	var conns []net.Conn
	for range 50 {
		conn, err := net.Dial("tcp", way.address)
		g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		far, err := target.Accept()
		g.Expect(err).NotTo(HaveOccurred())
		defer far.Close()
		conns = append(conns, conn)
	}
	g.Eventually(func() int {
		way.mu.Lock()
		defer way.mu.Unlock()
		return len(way.conns)
	}, "2s").Should(Equal(2 * len(conns)))
	way.reset()
	for _, conn := range conns {
		_, err := conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(syscall.ECONNRESET))
	}
	g.Expect(way.close()).To(Succeed())
}
