package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"

	"oleandershunt.example/oleandershunt/internal/core/backpressure"
	"oleandershunt.example/oleandershunt/internal/core/chain"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/wire"
)

// linkState is the state of a VM's path to the backend servers.
type linkState int

const (
	linkUp linkState = iota
	// linkSilent: open connections and new ones get no response.
	linkSilent
	// linkReset: open connections were reset, and new ones are refused.
	linkReset
	// linkRefused: open connections work, and new ones are refused.
	linkRefused
)

// cutStates are the ways in which a VM loses its servers.
var cutStates = map[string]linkState{"silent": linkSilent, "reset": linkReset, "new connections refused": linkRefused}

// serverLink is one VM's path to the backend servers.
type serverLink struct {
	mu      sync.Mutex
	state   linkState
	changed chan struct{}
	conns   map[*linkConn]struct{}
	// dials counts the connections that were opened.
	dials int
}

func newServerLink() *serverLink {
	return &serverLink{changed: make(chan struct{}), conns: make(map[*linkConn]struct{})}
}

// set changes the state of the path.
func (l *serverLink) set(state linkState) {
	l.mu.Lock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	var reset []*linkConn
	if state == linkReset {
		for conn := range l.conns {
			reset = append(reset, conn)
		}
	}
	l.mu.Unlock()
	for _, conn := range reset {
		_ = conn.tcp().SetLinger(0)
		_ = conn.Close()
	}
}

func (l *serverLink) current() (linkState, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

func (l *serverLink) opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// dial implements wire.DialFunc.
func (l *serverLink) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch state, _ := l.current(); state {
	case linkSilent:
		<-ctx.Done()
		return nil, ctx.Err()
	case linkReset, linkRefused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case linkUp:
	}
	conn, err := wire.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	linked := &linkConn{Conn: conn, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials++
	l.conns[linked] = struct{}{}
	return linked, nil
}

// linkConn is a connection over a serverLink.
type linkConn struct {
	net.Conn
	link   *serverLink
	once   sync.Once
	closed chan struct{}
}

func (c *linkConn) tcp() *net.TCPConn { return c.Conn.(*net.TCPConn) }

// awaitLink waits while the path is silent. It returns false if the connection was closed.
func (c *linkConn) awaitLink() bool {
	for {
		state, changed := c.link.current()
		if state != linkSilent {
			return true
		}
		select {
		case <-changed:
		case <-c.closed:
			return false
		}
	}
}

// Read implements net.Conn. What arrives while the path is silent is held back.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.awaitLink() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. What is written while the path is silent is lost.
func (c *linkConn) Write(p []byte) (int, error) {
	if state, _ := c.link.current(); state == linkSilent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.conns, c)
	})
	return c.Conn.Close()
}

// httpEngines fetches servers' reports over HTTP. A server that answers has nothing stalled.
type httpEngines struct{ client *http.Client }

func newHTTPEngines(transport http.RoundTripper) relay.Engines {
	return httpEngines{client: &http.Client{Transport: transport}}
}

func (e httpEngines) Report(ctx context.Context, address string) (relay.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/report", nil)
	if err != nil {
		return relay.Report{}, err
	}
	response, err := e.client.Do(request)
	if err != nil {
		return relay.Report{}, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return relay.Report{Queued: 1}, err
}

func (httpEngines) Place(context.Context, string, string, relay.Order) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}

func (httpEngines) Repath(context.Context, string, string, string, chain.Path) (backpressure.Signals, error) {
	return backpressure.Signals{}, nil
}
