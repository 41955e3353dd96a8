package platform

import (
	"math/rand/v2"
	"net/http"
	"time"

	"golang.org/x/time/rate"
)

// HeaderVM carries the name of the calling VM. The platform uses it to count calls.
const HeaderVM = "Vm-Name"

// Defaults of a client.
const (
	// DefaultCallTimeout is the timeout of a call other than a watch. The platform
	// normally answers in milliseconds; one that takes longer counts as down.
	DefaultCallTimeout = 2 * time.Second
	// DefaultBookmark is the interval of the bookmarks that a watch requests.
	DefaultBookmark = 2 * time.Second
	// DefaultCallsPerSecond and DefaultCallBurst are a VM's call budget. The
	// platform accepts about 2,000 reads per second from the whole fleet.
	DefaultCallsPerSecond = 40
	DefaultCallBurst      = 80
	// maxMissedBookmarks is the number of missed bookmarks after which a watch
	// counts as silent.
	maxMissedBookmarks = 3
	// maxIdleConnections limits the idle connections to the platform. Watches also
	// use connections.
	maxIdleConnections = 8
)

// Clock is a client's source of time. Tests inject their own.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once after the duration.
	After(time.Duration) <-chan time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// SystemClock returns the clock of the operating system.
func SystemClock() Clock { return systemClock{} }

// Option configures a Client.
type Option func(*Client)

// WithVM sets the VM name that every call carries.
func WithVM(name string) Option { return func(c *Client) { c.httpWire().vm = name } }

// WithCallTimeout sets the timeout of calls other than watches.
func WithCallTimeout(limit time.Duration) Option { return func(c *Client) { c.callTimeout = limit } }

// WithBookmark sets the interval of a watch's bookmarks. A watch that misses three
// is considered dead and ends with ErrWatchSilent.
func WithBookmark(interval time.Duration) Option { return func(c *Client) { c.bookmark = interval } }

// WithGather sets how long a polling watch waits after changes, so that the next call
// returns a larger batch. The default is 0.
func WithGather(span time.Duration) Option { return func(c *Client) { c.gather = span } }

// WithBudget sets the call budget: a sustained rate per second and a burst.
func WithBudget(perSecond float64, burst int) Option {
	return func(c *Client) { c.budget = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithLongestBackoff sets the maximum delay between attempts. The default is 10 s.
func WithLongestBackoff(limit time.Duration) Option {
	return func(c *Client) { c.maxBackoff = limit }
}

// WithClock sets the clock for back-off and watch timeouts.
func WithClock(clock Clock) Option { return func(c *Client) { c.clock = clock } }

// WithRandom sets the random source, in [0, 1), of the back-off jitter.
func WithRandom(random func() float64) Option { return func(c *Client) { c.random = random } }

// WithTransport sets the HTTP transport of the built-in HTTP API.
func WithTransport(transport http.RoundTripper) Option {
	return func(c *Client) { c.httpWire().http.Transport = transport }
}

// httpWire returns the built-in HTTP wire, to which the HTTP options apply. For a
// client with another Wire it returns a throwaway, so that the options have no effect.
func (c *Client) httpWire() *httpWire {
	if wire, ok := c.wire.(*httpWire); ok {
		return wire
	}
	return &httpWire{http: new(http.Client)}
}

// NewClient returns a client of the built-in HTTP object API at a base URL such as
// http://10.0.0.1:80. A VM must use a single client, which holds the VM's call budget.
func NewClient(base string, options ...Option) *Client {
	return NewClientOn(&httpWire{
		base: base,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnections}},
	}, options...)
}

// NewClientOn returns a client of the object API that wire implements.
func NewClientOn(wire Wire, options ...Option) *Client {
	c := &Client{
		wire:        wire,
		callTimeout: DefaultCallTimeout,
		bookmark:    DefaultBookmark,
		budget:      rate.NewLimiter(DefaultCallsPerSecond, DefaultCallBurst),
		clock:       SystemClock(),
		random:      rand.Float64,
		maxBackoff:  maxBackoff,
	}
	for _, option := range options {
		option(c)
	}
	return c
}
