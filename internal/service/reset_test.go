package service_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/service"
)

// Guards against returning a part of a response as the whole one: its server reset the connection while the
// request was being written.
func TestAResponseThatIsResetDuringTheUploadIsAnError(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err = http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
				time.Sleep(20 * time.Millisecond)
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	client := service.NewClient()
	for _, idempotent := range []bool{false, true} {
		call := service.Call{Address: listener.Addr().String(), Method: http.MethodPut, URI: "/", Header: make(http.Header), Body: make([]byte, 8<<20), Idempotent: idempotent}
		response, err := client.Do(t.Context(), call)
		g.Expect(err).To(MatchError(service.ErrMayHaveStarted), "%q", response.BufferedBody)
	}
}
