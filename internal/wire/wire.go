// Package wire holds what the clients of engines and of plain services share:
// transports which never send a request twice by themselves, and the proof that
// no byte of a request has left the process.
package wire

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"oleandershunt.example/oleandershunt/internal/schedclock"
)

// Sizes of the buffers that a connection holds. A stream's frames are far
// smaller, and thousands of streams are open at a time.
const (
	readBytes  = 1 << 10
	writeBytes = 1 << 10
)

// maxHeadBytes bounds the head of a response: a server in trouble may send one that doesn't end.
const maxHeadBytes = 64 << 10

// countingConn counts the bytes that the kernel took from the process.
type countingConn struct {
	net.Conn
	// dialed is the connection as it was dialled.
	dialed  net.Conn
	written atomic.Int64
	// next is the request that is to be written, until its first byte is.
	next atomic.Pointer[Sent]
	// responses reads from the connection.
	responses headReader
}

func newCountingConn(dialed net.Conn) *countingConn {
	c := &countingConn{Conn: DetectReset(dialed), dialed: dialed}
	c.responses.from = c.Conn
	return c
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) { return c.responses.Read(p) }

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	if next := c.next.Swap(nil); next != nil {
		if err := next.stop(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial opens a connection that ends when its peer goes silent; see EndSilent.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Control: EndSilent}
	return dialer.DialContext(ctx, network, address)
}

// Transport is an HTTP/1.1 transport that returns ErrInvalidHead for a response with an invalid head. The body of a
// response that a reset has cut ends with an error, see DetectReset. Requests can be watched with WatchSent.
type Transport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var responses *headReader
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*countingConn); ok {
			responses = &conn.responses
			responses.expect()
		}
	}}
	response, err := t.Transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && responses != nil {
		// net/http hides the error of a first line.
		err = cmp.Or(responses.invalid(), err)
	}
	return response, err
}

// NewTransport returns a transport whose connects end after a time by the clock, which may be nil.
func NewTransport(connect time.Duration, clock *schedclock.Clock) *Transport {
	return NewTransportVia(Dial, connect, clock)
}

// NewTransportVia is NewTransport with a dial function.
func NewTransportVia(dial DialFunc, connect time.Duration, clock *schedclock.Clock) *Transport {
	return &Transport{&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			limited, cancel := clock.WithTimeout(ctx, connect)
			defer cancel()
			conn, err := dial(limited, network, address)
			if err != nil {
				return nil, err
			}
			return newCountingConn(conn), nil
		},
		DisableCompression: true,
		IdleConnTimeout:    idleTime,
		ReadBufferSize:     readBytes,
		WriteBufferSize:    writeBytes,
		// The default of net/http is 10 MB for each response.
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
}

// silentLimit is how long the kernel sends unanswered data again before it ends
// the connection. Without it a connection that went silent without a reset, as
// behind a cut, would be used for a quarter of an hour.
const silentLimit = 2 * time.Second

// EndSilent is a net.Dialer's Control that ends connections which went silent.
func EndSilent(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentLimit.Milliseconds()))
	})
	return errors.Join(err, failed)
}

// Transports makes two transports: one that keeps up to idlePerHost unused
// connections to each host, and one that opens a connection for each request. On
// a reused connection, a write error can't tell a request that never arrived
// from one that ran just before the peer closed; what must not run twice takes
// the second. The clock may be nil.
func Transports(connect time.Duration, clock *schedclock.Clock, idlePerHost int) (pooled, fresh *Transport) {
	return TransportsVia(Dial, connect, clock, idlePerHost)
}

// TransportsVia is Transports with a dial function.
func TransportsVia(dial DialFunc, connect time.Duration, clock *schedclock.Clock, idlePerHost int) (pooled, fresh *Transport) {
	pooled = NewTransportVia(dial, connect, clock)
	pooled.MaxIdleConnsPerHost = idlePerHost
	fresh = NewTransportVia(dial, connect, clock)
	fresh.DisableKeepAlives = true
	return pooled, fresh
}

// idleTime is how long an unused connection is kept.
const idleTime = 90 * time.Second

// Sent tells whether bytes of one request have left the process.
type Sent struct {
	conn   atomic.Pointer[countingConn]
	before atomic.Int64
	// may tells whether the request is still to be sent; nil for always.
	may      func() bool
	withheld atomic.Bool
	// broken is set once bytes have left over a connection that another one replaced.
	broken atomic.Bool
	cancel context.CancelCauseFunc
}

// errWithheld marks a request that was withheld when its first byte was to be written.
var errWithheld = errors.New("request was withheld before it was written")

// errBroken ends a request that net/http would write again since its connection broke without a response.
var errBroken = errors.New("kept connection broke after the request was written")

// WatchSent returns a context for one request made through a Transport, which writes it once at most.
func WatchSent(ctx context.Context) (context.Context, *Sent) { return WatchSentWhile(ctx, nil) }

// WatchSentWhile is the same for a request that is only to be sent if may says so at the
// moment at which it is written, which a connect delays. A withheld request ends with an error.
// A nil may always says so.
func WatchSentWhile(ctx context.Context, may func() bool) (context.Context, *Sent) {
	ctx, cancel := context.WithCancelCause(ctx)
	return (&Sent{may: may, cancel: cancel}).watch(ctx)
}

func (s *Sent) watch(ctx context.Context) (context.Context, *Sent) {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn}), s
}

// stop is called before the first byte over each connection, and returns why the request is not
// written, or nil. The context ends then, or net/http would try the next kept connection.
func (s *Sent) stop() error {
	switch {
	case s.broken.Load():
		s.cancel(errBroken)
		return errBroken
	case s.may != nil && !s.may():
		s.withheld.Store(true)
		s.cancel(errWithheld)
		return errWithheld
	default:
		return nil
	}
}

// Withheld tells whether the request was withheld; no byte of it has left then.
func (s *Sent) Withheld() bool { return s.withheld.Load() }

func (s *Sent) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	if s.Any() {
		s.broken.Store(true)
	}
	s.before.Store(conn.written.Load())
	conn.next.Store(s)
	s.conn.Store(conn)
}

// Connected tells whether there was a connection for the request. Without one, the connect failed.
func (s *Sent) Connected() bool { return s.conn.Load() != nil }

// Conn is the connection for the request, as it was dialled, or nil without one.
func (s *Sent) Conn() net.Conn {
	conn := s.conn.Load()
	if conn == nil {
		return nil
	}
	return conn.dialed
}

// Any is false only when no byte of the request has left: the peer can't have
// started work. Bytes that the kernel took may have arrived.
func (s *Sent) Any() bool {
	conn := s.conn.Load()
	return s.broken.Load() || conn != nil && conn.written.Load() > s.before.Load()
}

type onceBody struct{ io.Reader }

// OnceBody hides a reader's type from net/http, which would otherwise keep a
// copy of the body and silently send it again when a reused connection turns
// out to be closed. Such a repeat would run a request twice without the core
// knowing; without a copy the transport returns the error instead.
func OnceBody(body io.Reader) io.Reader { return onceBody{body} }
