package edge

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// connectionBytes is the memory of a caller's connection at most: its buffers, its goroutine and a head
	// that isn't complete.
	connectionBytes = maxHeaderBytes + 16<<10
	// connectionFraction is the fraction of the process's memory that callers' connections may take.
	connectionFraction = 0.3
)

// maxConnections returns how many connections of callers a VM with so much memory accepts; 0 is no limit.
func maxConnections(memoryMB float64) int64 {
	return int64(connectionFraction * memoryMB * (1 << 20) / connectionBytes)
}

// connectionLimit bounds the connections of a listener. What is beyond the limit is closed unread, so that
// its caller may send the request elsewhere.
type connectionLimit struct {
	max      int64
	open     atomic.Int64
	gauge    *metrics.Gauge
	rejected *metrics.Counter
}

func newConnectionLimit(limit int64) *connectionLimit {
	return &connectionLimit{
		max: limit, gauge: metrics.GetOrCreateGauge("oleandershunt_callers_connections", nil),
		rejected: metrics.GetOrCreateCounter("oleandershunt_callers_connections_rejected_total"),
	}
}

// listener returns a listener with the limit.
func (l *connectionLimit) listener(listener net.Listener) net.Listener {
	return limitedListener{listener, l}
}

type limitedListener struct {
	net.Listener
	limit *connectionLimit
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if open := l.limit.open.Add(1); l.limit.max == 0 || open <= l.limit.max {
			l.limit.gauge.Set(float64(open))
			return &limitedConn{Conn: conn, limit: l.limit}, nil
		}
		l.limit.open.Add(-1)
		l.limit.rejected.Inc()
		_ = conn.Close()
	}
}

type limitedConn struct {
	net.Conn
	limit *connectionLimit
	once  sync.Once
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.limit.gauge.Set(float64(c.limit.open.Add(-1))) })
	return c.Conn.Close()
}

// CloseWrite closes the sending side, as the HTTP server does before it closes a connection.
func (c *limitedConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return c.Close()
}
