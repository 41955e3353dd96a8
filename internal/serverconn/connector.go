// Package serverconn connects a VM to backend servers: directly, or through another VM while its own
// path to a server is lost. internal/core/reach decides which, from the results of the connects.
package serverconn

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"oleandershunt.example/oleandershunt/internal/core/reach"
	"oleandershunt.example/oleandershunt/internal/telemetry"
	"oleandershunt.example/oleandershunt/internal/tunnel"
	"oleandershunt.example/oleandershunt/internal/wire"
)

const (
	// connectTimeout bounds a direct connect. The network round trip takes a millisecond; a
	// partitioned or powered-off server doesn't respond at all.
	connectTimeout = 400 * time.Millisecond
	// firstWayTimeout bounds a direct connect if there are other VMs through which to connect
	// then. A VM with a processor share may be stopped for 100 ms.
	firstWayTimeout = 150 * time.Millisecond
	// stateLogsPerSecond and stateLogBurst limit the log lines on lost paths.
	stateLogsPerSecond = 2
	stateLogBurst      = 10
	// forgetInterval is the time between two removals of paths that are no longer used.
	forgetInterval = 10 * time.Second
)

// ErrPathLost is returned for a direct connect that isn't made since the path is lost.
var ErrPathLost = eris.New("path to the backend server is lost: connect through another VM")

// Tunnels opens connections through other VMs. tunnel.Dialer implements it.
type Tunnels interface {
	HasVMs() bool
	Dial(ctx context.Context, address string) (*tunnel.Conn, error)
	SetAside(vm string)
}

// Options are the dependencies of a Connector.
type Options struct {
	Log logr.Logger
	// Dial opens a direct connection.
	Dial wire.DialFunc
	// Now is the time since the start of the VM, including time suspended.
	Now func() time.Duration
	// Registered reports whether a backend server is registered at an address. Nil means that
	// every address is one.
	Registered func(address string) bool
}

// Listener is told what a Connector finds out.
type Listener interface {
	// PathsLost is called when further paths are found lost.
	PathsLost()
	// Unreachable is called at intervals, while no VM reaches any server, with the addresses that
	// don't respond.
	Unreachable(addresses []string)
	// Reachable is called with these addresses once a server is reached again.
	Reachable(addresses []string)
}

// noListener ignores everything.
type noListener struct{}

func (noListener) PathsLost()           {}
func (noListener) Unreachable([]string) {}
func (noListener) Reachable([]string)   {}

// Connector connects to backend servers. It is safe for concurrent use.
type Connector struct {
	options    Options
	logLimiter *rate.Limiter
	// wake wakes Run when there is something to probe.
	wake   chan struct{}
	checks checkGroup

	mu sync.Mutex
	// tunnels is nil without other VMs.
	tunnels  Tunnels
	listener Listener
	// pooled are the transports that keep unused connections.
	pooled      []*http.Transport
	table       *reach.Table
	state       reach.State
	forgottenAt time.Duration
}

// New returns a connector without other VMs.
func New(options Options) *Connector {
	return &Connector{
		options: options, table: reach.New(), listener: noListener{}, wake: make(chan struct{}, 1), checks: newCheckGroup(),
		logLimiter: rate.NewLimiter(stateLogsPerSecond, stateLogBurst),
	}
}

// SetTunnels sets how to connect through other VMs.
func (c *Connector) SetTunnels(tunnels Tunnels) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tunnels = tunnels
}

// SetListener sets who is told what the Connector finds out.
func (c *Connector) SetListener(listener Listener) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = listener
}

// otherVMs returns the tunnels, or nil if there are no other VMs.
func (c *Connector) otherVMs() Tunnels {
	c.mu.Lock()
	tunnels := c.tunnels
	c.mu.Unlock()
	if tunnels == nil || !tunnels.HasVMs() {
		return nil
	}
	return tunnels
}

// DialDirect connects to a server directly. It returns ErrPathLost at once while the path is lost.
// It implements wire.DialFunc.
func (c *Connector) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	c.mu.Lock()
	direct := c.table.Direct(address)
	c.mu.Unlock()
	if !direct {
		return nil, ErrPathLost
	}
	limit := connectTimeout
	if c.otherVMs() != nil {
		limit = firstWayTimeout
	}
	return c.connect(ctx, network, address, limit)
}

// DialThrough connects to a server through another VM. It implements wire.DialFunc.
func (c *Connector) DialThrough(ctx context.Context, _, address string) (net.Conn, error) {
	tunnels := c.otherVMs()
	if tunnels == nil {
		return nil, tunnel.ErrNoVM
	}
	conn, err := tunnels.Dial(ctx, address)
	if err != nil && ctx.Err() != nil {
		return nil, err // the request has ended
	}
	c.update(func(table *reach.Table) {
		if err == nil {
			table.Relayed(address)
		} else {
			table.NotRelayed(address)
		}
	})
	if err != nil {
		return nil, err
	}
	return conn, nil
}

// connect connects directly and records the result.
func (c *Connector) connect(ctx context.Context, network, address string, limit time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	conn, err := c.options.Dial(limited, network, address)
	failure, isPath := classify(err)
	switch {
	case err == nil:
		c.update(func(table *reach.Table) { table.Connected(c.options.Now(), address) })
	case isPath && ctx.Err() == nil:
		c.update(func(table *reach.Table) { table.Failed(c.options.Now(), address, failure) })
	}
	return conn, err
}

// classify returns how a connect failed, or false if the cause is this VM, such as a lack of
// descriptors.
func classify(err error) (reach.Failure, bool) {
	timeout := net.Error(nil)
	switch {
	case err == nil:
		return 0, false
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return reach.Refused, true
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH),
		errors.As(err, &timeout) && timeout.Timeout():
		return reach.Silent, true
	default:
		return 0, false
	}
}

// update changes the table, and logs and reports what follows from that.
func (c *Connector) update(change func(*reach.Table)) {
	c.mu.Lock()
	now, lost := c.options.Now(), c.table.LostCount()
	change(c.table)
	if now-c.forgottenAt >= forgetInterval {
		c.forgottenAt = now
		c.table.Forget(now, c.registered)
	}
	state, before := c.table.State(), c.state
	c.state = state
	if state != before {
		c.logState(state, c.table.Failing())
	}
	moreLost := c.table.LostCount() > lost || state == reach.Lost && before != reach.Lost
	_, probing := c.table.NextProbe(now)
	listener := c.listener
	c.mu.Unlock()
	if probing {
		select {
		case c.wake <- struct{}{}:
		default: // it is being woken already
		}
	}
	if moreLost {
		c.closeSilent()
		listener.PathsLost()
	}
}

// closeSilent closes the unused connections if those over lost paths get no response: a request
// sent over one would be lost. Where only new connections are rejected, open ones still work.
func (c *Connector) closeSilent() {
	c.mu.Lock()
	silent, pooled := c.table.AnySilentlyLost(), c.pooled
	c.mu.Unlock()
	if !silent {
		return
	}
	for _, transport := range pooled {
		transport.CloseIdleConnections()
	}
}

func (c *Connector) registered(address string) bool {
	return c.options.Registered == nil || c.options.Registered(address)
}

func (c *Connector) logState(state reach.State, failing []string) {
	if !c.logLimiter.Allow() {
		return
	}
	if state == reach.Direct {
		telemetry.ServersRegained.Log(c.options.Log)
		return
	}
	example := ""
	if len(failing) > 0 {
		example = failing[0]
	}
	telemetry.ServersLost.Log(c.options.Log, "state", state.String(), "failing", len(failing), "example", example)
}

// State returns the state of this VM's paths.
func (c *Connector) State() reach.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.State()
}

// SetAside keeps new connections off another VM for a time, since one through it fell silent.
func (c *Connector) SetAside(vm string) {
	if tunnels := c.otherVMs(); tunnels != nil {
		tunnels.SetAside(vm)
	}
}

// Isolated reports whether no server is reached, neither directly nor through another VM.
func (c *Connector) Isolated() bool { return c.State() == reach.Isolated }

// SilentlyLost reports whether the path to a server is lost and open connections to it get no
// response.
func (c *Connector) SilentlyLost(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.SilentlyLost(address)
}
