// Package testutil holds what the tests and benchmarks of several packages
// share: readings of the process, connections that count their bytes, and the
// fixed search of property tests. Only test files import it.
package testutil

import (
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Heap is the heap in use after a collection, in bytes. It is signed, so that a
// difference may be below 0.
func Heap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// CPUTime is the processor time that the process has used. On a busy machine it
// says more than the clock.
func CPUTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// CountListener adds the bytes of a listener's connections, both ways, to a counter.
func CountListener(listener net.Listener, bytes *atomic.Int64) net.Listener {
	return countedListener{listener, bytes}
}

// CountConn adds the bytes of a connection, both ways, to a counter.
func CountConn(conn net.Conn, bytes *atomic.Int64) net.Conn { return countedConn{conn, bytes} }

type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return CountConn(conn, l.bytes), nil
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
