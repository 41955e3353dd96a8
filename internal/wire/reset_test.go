package wire_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/testutil/rawserver"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// heldConn is a connection whose peer's side has ended and whose write returns only once its deadline is set.
type heldConn struct {
	net.Conn
	writing, deadline chan struct{}
	once              sync.Once
	failure           error
}

func newHeldConn(failure error) *heldConn {
	return &heldConn{writing: make(chan struct{}), deadline: make(chan struct{}), failure: failure}
}

// Read implements net.Conn.
func (*heldConn) Read([]byte) (int, error) { return 0, io.EOF }

// Write implements net.Conn.
func (c *heldConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.deadline
	return 0, c.failure
}

// SetWriteDeadline implements net.Conn.
func (c *heldConn) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.deadline) })
	return nil
}

// Guards against taking a connection for ended in order because the read finds its end before the write that
// the reset was reported to has returned.
func TestAResetIsDetectedBeforeTheWriteThatTookItReturns(t *testing.T) {
	for failure, end := range map[error]error{
		syscall.ECONNRESET:        io.ErrUnexpectedEOF,
		syscall.ETIMEDOUT:         io.ErrUnexpectedEOF,
		syscall.EPIPE:             io.EOF,
		os.ErrDeadlineExceeded:    io.EOF,
		errors.New("any failure"): io.ErrUnexpectedEOF,
	} {
		g := NewWithT(t)
		held := newHeldConn(&net.OpError{Op: "write", Err: failure})
		conn := wire.DetectReset(held)
		var write sync.WaitGroup
		write.Go(func() { _, _ = conn.Write([]byte("x")) })
		<-held.writing
		_, err := conn.Read(make([]byte, 1))
		g.Expect(err).To(MatchError(end), "%v", failure)
		write.Wait()
	}
}

// Guards against a part of a response that any reader of responses takes for the whole one, since it was reset
// while the request was being written, and against refusing a whole one that its server sends as early.
func TestTransportsTellAResetFromTheEndOfAResponse(t *testing.T) {
	const uploadBytes, times = 8 << 20, 10
	respondEarly := func(body string, end func(*net.TCPConn)) rawserver.Respond {
		return func(conn *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
			time.Sleep(20 * time.Millisecond)
			end(conn)
		}
	}
	reset := rawserver.Start(t, respondEarly("part", rawserver.Reset))
	inOrder := rawserver.Start(t, respondEarly("whole", rawserver.CloseInOrder))
	pooled, fresh := wire.Transports(time.Second, nil, 1)
	for name, transport := range map[string]http.RoundTripper{"pooled": pooled, "fresh": fresh} {
		read := func(address string) ([]byte, error) {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, "http://"+address, bytes.NewReader(make([]byte, uploadBytes)))
			NewWithT(t).Expect(err).NotTo(HaveOccurred())
			response, err := transport.RoundTrip(request)
			if err != nil {
				return nil, err
			}
			defer response.Body.Close()
			return io.ReadAll(response.Body)
		}
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for range times {
				body, err := read(reset)
				g.Expect(err).To(HaveOccurred(), "%q", body)
				g.Expect(read(inOrder)).To(BeEquivalentTo("whole"))
			}
		})
	}
}
