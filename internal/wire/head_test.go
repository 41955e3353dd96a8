package wire_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/net/http/httpguts"

	"oleandershunt.example/oleandershunt/internal/testutil/rawserver"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const validHead = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Odd:\ta\r\n b\r\nContent-Length: 12\r\n\r\n"

// Guards against a verdict on a head that depends on how its bytes arrive.
func TestAHeadIsCheckedHoweverItArrives(t *testing.T) {
	g := NewWithT(t)
	const body = "X Odd: body\n"
	for invalid, response := range map[bool]string{
		false: validHead + body,
		true:  strings.Replace(validHead, "X-Odd", "X Odd", 1) + body,
	} {
		for cut := range len(response) {
			parts := io.MultiReader(strings.NewReader(response[:cut]), strings.NewReader(response[cut:]))
			read, err := io.ReadAll(wire.CheckHead(parts))
			if invalid {
				g.Expect(err).To(MatchError(wire.ErrInvalidHead), "cut after %d", cut)
				continue
			}
			g.Expect(err).NotTo(HaveOccurred(), "cut after %d", cut)
			g.Expect(string(read)).To(Equal(response))
		}
		_, err := io.ReadAll(wire.CheckHead(iotest.OneByteReader(strings.NewReader(response))))
		g.Expect(err != nil).To(Equal(invalid))
	}
}

// Guards against a head without an end that is kept in memory.
func TestAHeadThatIsTooLongIsInvalid(t *testing.T) {
	g := NewWithT(t)
	for _, start := range []string{"", "HTTP/1.1 200 OK\r\nX-Odd: "} {
		endless := io.MultiReader(strings.NewReader(start), neverEnds{})
		n, err := io.Copy(io.Discard, wire.CheckHead(endless))
		g.Expect(err).To(MatchError(wire.ErrInvalidHead))
		g.Expect(n).To(BeNumerically("<", 65<<10))
	}
}

type neverEnds struct{}

// Read implements io.Reader.
func (neverEnds) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat([]byte("x"), len(p))), nil
}

// responder is a server that responds to each request on its kept connections with the next of its responses, in
// pieces.
type responder struct {
	responses []string
	requests  atomic.Int32
}

func (s *responder) respond(conn *net.TCPConn, _ *http.Request) {
	response := s.responses[min(int(s.requests.Add(1)), len(s.responses))-1]
	const pieceBytes = 700
	for piece := range slices.Chunk([]byte(response), pieceBytes) {
		_, _ = conn.Write(piece)
		time.Sleep(time.Millisecond)
	}
}

// get returns the body of the response to a request.
func get(t *testing.T, transport http.RoundTripper, url string) (string, error) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against checking bodies, or a part of a head, as the head of the next response on a kept connection.
func TestOnlyHeadsAreCheckedOnAKeptConnection(t *testing.T) {
	g := NewWithT(t)
	s := &responder{}
	var bodies []string
	for i := range 20 {
		body := strings.Repeat("X Odd: no head\n", 1+137*(i%5))
		bodies = append(bodies, body)
		s.responses = append(s.responses, fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", 400*(i%4)), len(body), body))
	}
	s.responses = append(s.responses, "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n")
	transport := wire.NewTransport(time.Second, nil)
	t.Cleanup(transport.CloseIdleConnections)
	url := "http://" + rawserver.Start(t, s.respond)
	for _, body := range bodies {
		g.Expect(get(t, transport, url)).To(Equal(body))
	}
	_, err := get(t, transport, url)
	g.Expect(err).To(MatchError(wire.ErrInvalidHead))
}

// Guards against a second send of a request, inside the HTTP library, whose response on a kept connection is invalid
// from its first byte on.
func TestARequestWithAnInvalidResponseIsSentOnce(t *testing.T) {
	g := NewWithT(t)
	s := &responder{responses: []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 000 No\r\nContent-Length: 0\r\n\r\n"}}
	transport := wire.NewTransport(time.Second, nil)
	t.Cleanup(transport.CloseIdleConnections)
	url := "http://" + rawserver.Start(t, s.respond)
	_, err := get(t, transport, url)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = get(t, transport, url)
	g.Expect(err).To(MatchError(wire.ErrInvalidHead))
	g.Expect(err).To(MatchError(ContainSubstring(`"000"`)))
	g.Expect(s.requests.Load()).To(BeEquivalentTo(2))
}

// FuzzCheckHead checks that a response that is read through CheckHead has a status and names of the protocol.
func FuzzCheckHead(f *testing.F) {
	f.Add([]byte(validHead))
	f.Add([]byte("HTTP/1.1 000 No\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 200\nTransfer-Encoding : chunked\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		response, err := http.ReadResponse(bufio.NewReader(wire.CheckHead(bytes.NewReader(data))), nil)
		if err != nil {
			return
		}
		defer response.Body.Close()
		g := NewWithT(t)
		g.Expect(response.StatusCode).To(And(BeNumerically(">=", 100), BeNumerically("<", 600), Not(Equal(http.StatusSwitchingProtocols))))
		for name := range response.Header {
			g.Expect(httpguts.ValidHeaderFieldName(name)).To(BeTrue(), "%q", name)
		}
	})
}
