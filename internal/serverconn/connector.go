// Package serverconn connects a VM to backend servers: directly, or through another VM while its own
// path to a server is lost. internal/core/reach decides which, from the results of the connects.
package serverconn

import (
	"context"
	"errors"
	"net"
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
	SetAside(vm, address string)
}

// Options are the dependencies of a Connector.
type Options struct {
	Log logr.Logger
	// Dial opens a direct connection.
	Dial wire.DialFunc
	// Now is the time since the start of the VM, including time suspended.
	Now func() time.Duration
	// Service returns the service of the server that is registered at an address, or false if there
	// is none.
	Service func(address string) (string, bool)
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
	pooled []*wire.Transport
	// services are the paths to the servers of each service that were used.
	services    map[string]*servicePaths
	forgottenAt time.Duration
}

// servicePaths are the paths to the servers of one service. logged is their state in the last log
// line.
type servicePaths struct {
	*reach.Table
	logged reach.State
}

// New returns a connector without other VMs.
func New(options Options) *Connector {
	return &Connector{
		options: options, services: make(map[string]*servicePaths), listener: noListener{}, wake: make(chan struct{}, 1), checks: newCheckGroup(),
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

// serviceOf returns the service of the server at an address; empty if none is registered there.
func (c *Connector) serviceOf(address string) string {
	service, _ := c.options.Service(address)
	return service
}

// paths returns the paths to the servers of a service. c.mu must be held.
func (c *Connector) paths(service string) *servicePaths {
	paths, ok := c.services[service]
	if !ok {
		paths = &servicePaths{Table: reach.New()}
		c.services[service] = paths
	}
	return paths
}

// view calls use with the paths to the servers of the service of which one is at an address.
func (c *Connector) view(address string, use func(paths *servicePaths)) {
	service := c.serviceOf(address)
	c.mu.Lock()
	defer c.mu.Unlock()
	use(c.paths(service))
}

// DialDirect connects to a server directly. It returns ErrPathLost at once while the path is lost.
// It implements wire.DialFunc.
func (c *Connector) DialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	var direct bool
	c.view(address, func(paths *servicePaths) { direct = paths.Direct(address) })
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
	c.update(address, func(paths *servicePaths) {
		if err == nil {
			paths.Relayed(address)
		} else {
			paths.NotRelayed(address)
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
		c.update(address, func(paths *servicePaths) { paths.Connected(c.options.Now(), address) })
	case isPath && ctx.Err() == nil:
		c.update(address, func(paths *servicePaths) { paths.Failed(c.options.Now(), address, failure) })
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

// update changes the paths to the servers of a service, and logs and reports what follows from that.
func (c *Connector) update(address string, change func(paths *servicePaths)) {
	service := c.serviceOf(address)
	c.mu.Lock()
	now, paths := c.options.Now(), c.paths(service)
	lost, before := paths.LostCount(), paths.State()
	change(paths)
	if now-c.forgottenAt >= forgetInterval {
		c.forgottenAt = now
		c.forget(now)
	}
	state := paths.State()
	if state == reach.Direct {
		c.logState(service, paths)
	}
	moreLost := paths.LostCount() > lost || state == reach.Lost && before != reach.Lost
	_, probing := paths.NextProbe(now)
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

// forget removes the paths that expired and those to servers that are gone. c.mu must be held.
func (c *Connector) forget(now time.Duration) {
	for service, paths := range c.services {
		paths.Forget(now, func(address string) bool {
			current, registered := c.options.Service(address)
			return registered && current == service
		})
		if paths.Empty() && paths.logged == reach.Direct {
			delete(c.services, service)
		}
	}
}

// closeSilent closes the unused connections if those over lost paths get no response: a request
// sent over one would be lost. Where only new connections are rejected, open ones still work.
func (c *Connector) closeSilent() {
	c.mu.Lock()
	silent, pooled := false, c.pooled
	for _, paths := range c.services {
		silent = silent || paths.AnySilentlyLost()
	}
	c.mu.Unlock()
	if !silent {
		return
	}
	for _, transport := range pooled {
		transport.CloseIdleConnections()
	}
}

// logState logs the state of the paths to the servers of a service if it has changed. c.mu must be
// held.
func (c *Connector) logState(service string, paths *servicePaths) {
	state := paths.State()
	if state == paths.logged || !c.logLimiter.Allow() {
		return
	}
	paths.logged = state
	if state == reach.Direct {
		telemetry.ServersRegained.Log(c.options.Log, "service", service)
		return
	}
	failing := paths.Failing()
	telemetry.ServersLost.Log(c.options.Log, "service", service, "state", state.String(), "failing", len(failing), "example", failing[0])
}

// State returns the state of this VM's paths to the servers of a service.
func (c *Connector) State(service string) reach.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths(service).State()
}

// SilentlyLost reports whether the path to a server is lost and open connections to it get no
// response.
func (c *Connector) SilentlyLost(address string) (lost bool) {
	c.view(address, func(paths *servicePaths) { lost = paths.SilentlyLost(address) })
	return lost
}

// SetAside keeps new connections to a server's service off another VM for a time, since one through
// it fell silent.
func (c *Connector) SetAside(vm, address string) {
	if tunnels := c.otherVMs(); tunnels != nil {
		tunnels.SetAside(vm, address)
	}
}

// VMResponds reports whether another VM answers a request.
func (c *Connector) VMResponds(ctx context.Context, vm string) bool {
	tunnels, ok := c.otherVMs().(interface {
		Responds(ctx context.Context, vm string) bool
	})
	return ok && tunnels.Responds(ctx, vm)
}

// Isolated reports whether no server of a service is reached, neither directly nor through another
// VM.
func (c *Connector) Isolated(service string) bool { return c.State(service) == reach.Isolated }
