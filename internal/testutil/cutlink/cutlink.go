// Package cutlink cuts a VM off from the backend servers, in tests and in soak runs.
package cutlink

import (
	"context"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"oleandershunt.example/oleandershunt/internal/wire"
)

// State is the state of a VM's path to the backend servers.
type State string

// The states of a path.
const (
	Up State = ""
	// Silent: open connections and new ones get no response.
	Silent State = "silent"
	// Reset: open connections were reset, and new ones are refused.
	Reset State = "reset"
	// Refused: open connections work, and new ones are refused.
	Refused State = "refused"
)

// Cuts are the ways in which a VM loses its servers.
var Cuts = []State{Silent, Reset, Refused}

// Link is one VM's path to the backend servers.
type Link struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
	conns   map[*conn]struct{}
	// dials counts the connections that were opened.
	dials int
	// dark are the addresses to which connects hang.
	dark []string
}

// New returns a link that is up.
func New() *Link {
	return &Link{changed: make(chan struct{}), conns: make(map[*conn]struct{})}
}

// Set changes the state of the path.
func (l *Link) Set(state State) {
	l.mu.Lock()
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	var reset []*conn
	if state == Reset {
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

func (l *Link) current() (State, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.changed
}

// Opened returns the number of connections opened so far.
func (l *Link) Opened() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials
}

// Dial implements wire.DialFunc.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch state, _ := l.current(); state {
	case Silent:
		<-ctx.Done()
		return nil, ctx.Err()
	case Reset, Refused:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case Up:
	}
	if l.isDark(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	direct, err := wire.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	linked := &conn{Conn: direct, link: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dials++
	l.conns[linked] = struct{}{}
	return linked, nil
}

// conn is a connection over a Link.
type conn struct {
	net.Conn
	link   *Link
	once   sync.Once
	closed chan struct{}
}

func (c *conn) tcp() *net.TCPConn { return c.Conn.(*net.TCPConn) }

// awaitLink waits while the path is silent. It returns false if the connection was closed.
func (c *conn) awaitLink() bool {
	for {
		state, changed := c.link.current()
		if state != Silent {
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
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.awaitLink() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. What is written while the path is silent is lost.
func (c *conn) Write(p []byte) (int, error) {
	if state, _ := c.link.current(); state == Silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.link.mu.Lock()
		defer c.link.mu.Unlock()
		delete(c.link.conns, c)
	})
	return c.Conn.Close()
}

// followInterval is the time between two readings of a state file.
const followInterval = 20 * time.Millisecond

// Follow sets the state that a file holds in its first line, as often as it changes. Further lines are the
// addresses of servers to which connects hang. Without the file the path is up.
func (l *Link) Follow(file string) {
	for {
		text, err := os.ReadFile(file)
		if err != nil {
			text = nil
		}
		first, rest, _ := strings.Cut(string(text), "\n")
		if state, _ := l.current(); state != State(strings.TrimSpace(first)) {
			l.Set(State(strings.TrimSpace(first)))
		}
		l.setDark(strings.Fields(rest))
		time.Sleep(followInterval)
	}
}

func (l *Link) setDark(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dark = addresses
}

func (l *Link) isDark(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Contains(l.dark, address)
}
