// Package service is the client for plain services. It forwards a client's request
// to one backend server and returns the response.
package service

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/schedclock"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// maxBufferedBytes is the largest response that is buffered completely before it is
// returned, so that an idempotent call can be retried unnoticed by the client if
// the service crashes while it responds. Larger responses are streamed.
const maxBufferedBytes = 256 << 10

// maxIdlePerServer bounds the idle connections kept open to one server.
const maxIdlePerServer = 16

// DefaultConnectTimeout bounds the time to connect to a service.
const DefaultConnectTimeout = 500 * time.Millisecond

// ErrNotStarted means that no byte of the call was sent, so that the service cannot
// have run it.
var ErrNotStarted = eris.New("service was not reached: try another backend server")

// ErrMayHaveStarted means that the call failed after its first byte was sent.
var ErrMayHaveStarted = eris.New("service may have run the call: repeat it only if it is idempotent")

// Call is one request to a plain service.
type Call struct {
	Address string
	Method  string
	// URI is the path and query.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Idempotent allows the call to be repeated. Only such calls reuse connections.
	Idempotent bool
}

// Answer is a service's response. Its body is Start, followed by Rest unless Rest
// is nil. The receiver must close Rest.
type Answer struct {
	Status int
	Header http.Header
	Start  []byte
	Rest   io.ReadCloser
}

// Client calls plain services.
type Client struct {
	pooled *http.Client
	fresh  *http.Client
}

// NewClient returns a client with DefaultConnectTimeout. It opens a new connection
// for every call that is not idempotent; see wire.Transports for the reason.
func NewClient() *Client { return NewClientWithTimeout(DefaultConnectTimeout, nil) }

// NewClientWithTimeout returns a client with the connect timeout, measured by
// clock. The clock may be nil.
func NewClientWithTimeout(connect time.Duration, clock *schedclock.Clock) *Client {
	pooled, fresh := wire.Transports(connect, clock, maxIdlePerServer)
	return &Client{pooled: client(pooled), fresh: client(fresh)}
}

func client(transport *http.Transport) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Do makes one call. Its errors wrap ErrNotStarted or ErrMayHaveStarted.
func (c *Client) Do(ctx context.Context, call Call) (Answer, error) {
	ctx, sent := wire.WatchSent(ctx)
	request, err := newRequest(ctx, call)
	if err != nil {
		return Answer{}, fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	client := c.fresh
	if call.Idempotent {
		client = c.pooled
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{}, callError(err, sent.Any())
	}
	answer, err := readAnswer(response)
	if err != nil {
		_ = response.Body.Close()
		return Answer{}, callError(err, true)
	}
	return answer, nil
}

// newRequest sets a one-time body reader even for an empty body, because net/http
// retries a request without a body by itself when a reused connection breaks.
func newRequest(ctx context.Context, call Call) (*http.Request, error) {
	body := wire.OnceBody(bytes.NewReader(call.Body))
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.URI, body)
	if err != nil {
		return nil, err
	}
	request.Header = call.Header
	request.Host = call.Host
	request.ContentLength = int64(len(call.Body))
	wire.Inject(ctx, request.Header)
	return request, nil
}

// readAnswer buffers a small response completely and the start of a larger one.
func readAnswer(response *http.Response) (Answer, error) {
	answer := Answer{Status: response.StatusCode, Header: response.Header}
	start := new(bytes.Buffer)
	_, err := io.CopyN(start, response.Body, maxBufferedBytes+1)
	answer.Start = start.Bytes()
	if errors.Is(err, io.EOF) {
		return answer, response.Body.Close()
	}
	answer.Rest = response.Body
	return answer, err
}

func callError(err error, sent bool) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrMayHaveStarted, err)
	}
	return fmt.Errorf("%w: %w", ErrNotStarted, err)
}
