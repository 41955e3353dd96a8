package service_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/service"
	"oleandershunt.example/oleandershunt/internal/testutil/rawserver"
)

// Guards against returning a part of a response as the whole one: its server reset the connection while the
// request was being written.
func TestAResponseThatIsResetDuringTheUploadIsAnError(t *testing.T) {
	address := rawserver.Start(t, func(conn *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart")
		time.Sleep(20 * time.Millisecond)
		rawserver.Reset(conn)
	})
	for _, idempotent := range []bool{false, true} {
		call := service.Call{Address: address, Method: http.MethodPut, URI: "/", Header: make(http.Header), Body: make([]byte, 8<<20), Idempotent: idempotent}
		response, err := service.NewClient().Do(t.Context(), call)
		NewWithT(t).Expect(err).To(MatchError(service.ErrMayHaveStarted), "%q", response.BufferedBody)
	}
}
