package service_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/service"
	"oleandershunt.example/oleandershunt/internal/testutil/rawserver"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// Guards against returning what a server in trouble sent as a response: a status that no response has, or a body
// that is framed in another way than its server meant.
func TestAResponseWithAnInvalidHeadIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"status 000":                    "HTTP/1.1 000 No\r\nContent-Length: 2\r\n\r\nok",
		"blank after the length's name": "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok",
		"blank after the chunks' name":  "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			address := rawserver.Start(t, rawserver.Once(response))
			for _, idempotent := range []bool{false, true} {
				call := service.Call{Address: address, Method: http.MethodGet, URI: "/", Header: make(http.Header), Idempotent: idempotent}
				returned, err := service.NewClient().Do(t.Context(), call)
				NewWithT(t).Expect(err).To(And(MatchError(service.ErrMayHaveStarted), MatchError(wire.ErrInvalidHead)), "%q", returned.BufferedBody)
			}
		})
	}
}
