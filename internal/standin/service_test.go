package standin_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/standin"
)

// Guards against a stand-in that still accepts connections after Kill, since its server's goroutine
// had not run yet: a request that should fail to connect is sent and lost.
func TestKilledStandInsAcceptNoConnections(t *testing.T) {
	g := NewWithT(t)
	for range 200 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		service := standin.StartService(listener)
		service.Kill()
		_, err = net.Dial("tcp", service.Address())
		g.Expect(err).To(HaveOccurred())
		engine := startEngine(t, standin.EngineOptions{})
		engine.Kill()
		_, err = net.Dial("tcp", engine.Address())
		g.Expect(err).To(HaveOccurred())
	}
}
