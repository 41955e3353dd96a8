package edge

import (
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes of connections, both ways. A byte that is forwarded passes a VM's link
// once in each direction, and is counted on one side only: that of callers, or of servers that other
// VMs use through this one.
type byteCounter struct{ bytes atomic.Int64 }

// listener counts the bytes of a listener's connections.
func (c *byteCounter) listener(listener net.Listener) net.Listener {
	return countingListener{listener, c}
}

// conn counts the bytes of a connection.
func (c *byteCounter) conn(conn net.Conn) net.Conn { return countingConn{conn, c} }

type countingListener struct {
	net.Listener
	counter *byteCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.conn(conn), nil
}

type countingConn struct {
	net.Conn
	counter *byteCounter
}

// CloseWrite closes the sending side. The HTTP server uses it after a response to a request whose body
// it hasn't read, so that the response isn't lost with a reset.
func (c countingConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return c.Conn.Close()
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.bytes.Add(int64(n))
	return n, err
}
