package edge_test

import (
	"io"
	"net"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a response that is none in the protocol and that reaches callers from a model's server, or through
// another VM.
func TestAResponseWithAnInvalidHeadIsRefusedOnEachWay(t *testing.T) {
	const signed = "X-Request-Id: r\r\nX-Response-Seal: seal\r\n"
	for name, response := range map[string]string{
		"status 000":                   "HTTP/1.1 000 No\r\n" + signed + "Content-Length: 4\r\n\r\nbody",
		"blank in a name":              "HTTP/1.1 200 OK\r\n" + signed + "X Odd: 1\r\nContent-Length: 15\r\n\r\n" + event(1),
		"blank after the chunks' name": "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding : chunked\r\n\r\nf\r\n" + event(1) + "\r\n0\r\n\r\n",
		"control byte in a name":       "HTTP/1.1 200 OK\r\n" + signed + "X-\x01Odd: 1\r\nContent-Length: 15\r\n\r\n" + event(1),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			vms := vmsBefore(t, func(conn *net.TCPConn, request *http.Request) {
				if request.ContentLength == 0 {
					respondOK(conn, request)
					return
				}
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, response)
				_ = conn.Close()
			})
			for way, vm := range vms {
				for _, path := range uploadPaths {
					status, body, _ := vm.upload(path, "r", 1)
					vm.Expect(status).To(Equal(http.StatusBadGateway), "%s, %s: %q", way, path, body)
					vm.Expect(body).To(ContainSubstring(`"may_have_run"`), "%s, %s", way, path)
				}
			}
		})
	}
}
