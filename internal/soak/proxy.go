package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is how a proxy handles bytes.
type proxyMode int

const (
	forwarding proxyMode = iota
	// blackholed accepts connections and forwards nothing.
	blackholed
	// delayed forwards bytes after delay.
	delayed
)

// delay is the additional latency of a delayed proxy.
const delay = 60 * time.Millisecond

// proxy forwards connections on loopback to a target. It is safe for concurrent use.
type proxy struct {
	address string

	mu       sync.Mutex
	listener net.Listener
	target   string
	mode     proxyMode
	// changed is closed and replaced when the mode changes.
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

// newProxy returns a proxy that listens. It forwards nothing until it has a target.
func newProxy() (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), listener: listener, changed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	go p.accept(listener)
	return p, nil
}

// setMode changes the mode.
func (p *proxy) setMode(is proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = is
	close(p.changed)
	p.changed = make(chan struct{})
}

// setTarget changes the target. With an empty target connections are refused.
func (p *proxy) setTarget(target string) error {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	if target == "" {
		p.reset()
		return p.close()
	}
	return p.listen()
}

// end stops listening and leaves connections to end with their target, as those of a process that is
// killed.
func (p *proxy) end() error {
	p.mu.Lock()
	p.target = ""
	p.mu.Unlock()
	return p.close()
}

// close stops listening.
func (p *proxy) close() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	err := p.listener.Close()
	p.listener = nil
	return err
}

func (p *proxy) listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.accept(listener)
	return nil
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A connection that copy closes, since its other side was, must be reset as well.
	for conn := range p.conns {
		setReset(conn)
	}
	for conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

// setReset makes the close of a connection reset it.
func setReset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that is gone needs no reset
	}
}

func (p *proxy) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn)
	}
}

// serve forwards one connection to the target.
func (p *proxy) serve(conn net.Conn) {
	defer conn.Close()
	if !p.track(conn) {
		return
	}
	defer p.untrack(conn)
	p.awaitForwarding()
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer far.Close()
	if !p.track(far) {
		return
	}
	defer p.untrack(far)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.copy(far, conn)
	}()
	p.copy(conn, far)
	<-done
}

func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.target == "" {
		return false
	}
	p.conns[conn] = struct{}{}
	return true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// awaitForwarding blocks until the mode lets bytes pass.
func (p *proxy) awaitForwarding() {
	for {
		p.mu.Lock()
		is, changed := p.mode, p.changed
		p.mu.Unlock()
		switch is {
		case blackholed:
			<-changed
			continue
		case delayed:
			time.Sleep(delay)
		case forwarding:
		}
		return
	}
}

// copy forwards bytes until one side closes, and then closes both.
func (p *proxy) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			p.awaitForwarding()
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			p.awaitForwarding() // an end doesn't pass either while nothing does
			if err != io.EOF {
				setReset(to)
			}
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
