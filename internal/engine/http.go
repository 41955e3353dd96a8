package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/schedclock"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const (
	contentTypeJSON = "application/json"
	headerUserAgent = "User-Agent"
)

// DefaultConnectTimeout bounds connecting to an engine. A dead machine never answers;
// within a data centre or between neighbouring ones, a live one answers within
// milliseconds.
const DefaultConnectTimeout = 500 * time.Millisecond

// HTTPClient is a Client for engines with an HTTP interface.
type HTTPClient struct {
	pooled   *http.Client
	unpooled *http.Client
}

// NewHTTPClient returns a client with its own connections and DefaultConnectTimeout.
func NewHTTPClient() *HTTPClient { return NewHTTPClientWithTimeout(DefaultConnectTimeout, nil) }

// NewHTTPClientWithTimeout returns a client with the given connect timeout, measured by
// clock, which may be nil.
func NewHTTPClientWithTimeout(connect time.Duration, clock *schedclock.Clock) *HTTPClient {
	pooled, unpooled := wire.Transports(connect, clock, maxIdlePerServer)
	return &HTTPClient{
		pooled:   &http.Client{Transport: pooled},
		unpooled: &http.Client{Transport: unpooled},
	}
}

// Open implements Client.
func (c *HTTPClient) Open(ctx context.Context, attempt AttemptRequest) (Stream, error) {
	body, err := json.Marshal(attempt)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	ctx, sent := wire.WatchSent(ctx)
	request, err := newPost(ctx, attempt.Path[0].Address+PathAttempts, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotStarted, err)
	}
	client := c.pooled
	if attempt.Once {
		client = c.unpooled
	}
	wire.Inject(ctx, request.Header)
	response, err := client.Do(request)
	if err != nil {
		return nil, attemptError(err, sent.Any())
	}
	if response.StatusCode != http.StatusOK {
		return nil, refusalError(response)
	}
	return newStream(response.Body), nil
}

// attemptError wraps the error of an attempt in ErrNotStarted if no byte of it left this
// process, which proves that nothing ran, and in ErrMayHaveStarted otherwise.
func attemptError(err error, sent bool) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrMayHaveStarted, err)
	}
	return fmt.Errorf("%w: %w", ErrNotStarted, err)
}

func refusalError(response *http.Response) error {
	defer response.Body.Close()
	refusal, err := decodeRefusal(response.Body)
	if err != nil || refusal.Started {
		return fmt.Errorf("%w: status %d", ErrMayHaveStarted, response.StatusCode)
	}
	return fmt.Errorf("%w: status %d: %s", ErrNotStarted, response.StatusCode, refusal.Message)
}

// decodeRefusal decodes an engine's refusal. It returns an error for a body that is not
// one: such a body does not prove that no work started.
func decodeRefusal(body io.Reader) (Refusal, error) {
	var refusal Refusal
	data, err := io.ReadAll(io.LimitReader(body, maxRefusalBytes))
	if err != nil {
		return refusal, err
	}
	if err := json.Unmarshal(data, &refusal); err != nil {
		return refusal, err
	}
	if refusal.Message == "" {
		return refusal, eris.New("refusal has no message")
	}
	return refusal, nil
}

// Cancel implements Client.
func (c *HTTPClient) Cancel(ctx context.Context, address string, attempt Attempt) error {
	return post(ctx, c.pooled, address+PathCancel, attempt)
}

// Capabilities implements Client.
func (c *HTTPClient) Capabilities(ctx context.Context, address string) (Capabilities, error) {
	var capabilities Capabilities
	err := c.get(ctx, address+PathCapabilities, &capabilities)
	return capabilities, err
}

// CacheEvents implements Client.
func (c *HTTPClient) CacheEvents(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.get(ctx, address+PathCacheEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

// ExportKV implements Client.
func (c *HTTPClient) ExportKV(ctx context.Context, address, request string) (KV, error) {
	var kv KV
	err := c.get(ctx, address+PathKV+"?request="+url.QueryEscape(request), &kv)
	var refused *refusedError
	if errors.As(err, &refused) && refused.refusal.Kind == RefusalAbsent {
		return kv, fmt.Errorf("%w: %s", ErrKVAbsent, request)
	}
	return kv, err
}

// ImportKV implements Client.
func (c *HTTPClient) ImportKV(ctx context.Context, address string, kv KV) error {
	return post(ctx, c.pooled, address+PathKV, kv)
}

// Order implements Client.
func (c *HTTPClient) Order(ctx context.Context, address string, order Order) error {
	ctx, sent := wire.WatchSent(ctx)
	// Orders use a new connection: on a reused one that the engine is closing, an order
	// can be sent but never arrive, which leaves its outcome unknown.
	err := post(ctx, c.unpooled, address+PathOrders, order)
	var refused *refusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.refusal.Kind == RefusalStaleFence:
		return fmt.Errorf("%w: %w", ErrStaleFence, err)
	case errors.As(err, &refused), !sent.Any():
		return fmt.Errorf("%w: %w", ErrOrderRefused, err)
	default:
		return fmt.Errorf("%w: %w", ErrOrderUnknown, err)
	}
}

// refusedError is an answer other than 200 that carries the engine's reason.
type refusedError struct {
	status  int
	refusal Refusal
}

// Error implements error.
func (e *refusedError) Error() string {
	return fmt.Sprintf("engine refused with status %d: %s", e.status, e.refusal.Message)
}

func (c *HTTPClient) get(ctx context.Context, target string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target, nil)
	if err != nil {
		return err
	}
	// Drop Go's default User-Agent: probes are most of the traffic to engines besides
	// work, and the header is of no use to them.
	request.Header[headerUserAgent] = nil
	return do(c.pooled, request, into)
}

func post(ctx context.Context, client *http.Client, target string, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	request, err := newPost(ctx, target, body)
	if err != nil {
		return err
	}
	return do(client, request, nil)
}

func newPost(ctx context.Context, target string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target, wire.OnceBody(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	request.Header.Set("Content-Type", contentTypeJSON)
	return request, nil
}

func do(client *http.Client, request *http.Request, into any) error {
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body := io.LimitReader(response.Body, maxResponseBytes)
	if response.StatusCode != http.StatusOK {
		refusal, err := decodeRefusal(body)
		if err != nil {
			return eris.Errorf("engine at %s answered status %d: check that the address is an engine's", request.URL.Host, response.StatusCode)
		}
		return &refusedError{status: response.StatusCode, refusal: refusal}
	}
	if into == nil {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	return json.NewDecoder(body).Decode(into)
}
