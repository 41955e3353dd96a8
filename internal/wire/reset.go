package wire

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// DetectReset returns a connection whose Read returns io.EOF only if the peer has closed the connection, and
// io.ErrUnexpectedEOF if it was reset or timed out during a write.
//
// The kernel reports such a failure once. If it reports it to a write, the next read finds the end of the
// connection, and a response that ends with its connection looks whole.
//
// A write that waits when Read finds the end of the connection is ended, and so are later ones.
func DetectReset(conn net.Conn) net.Conn { return &resetDetector{Conn: conn} }

type resetDetector struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// failure is the error of the first write that failed.
	failure error
}

// Write implements net.Conn.
func (c *resetDetector) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetDetector) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	if failure := c.endWrites(); tookReset(failure) {
		return n, fmt.Errorf("connection broke while the request was written: %w: %w", io.ErrUnexpectedEOF, failure)
	}
	return n, io.EOF
}

// endWrites ends a write that waits, and returns the error of the first write that failed.
func (c *resetDetector) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed, which ends a write as well
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// tookReset reports whether a write took the report of a failure that the reads after it don't see. EPIPE is
// reported if the reset came after the peer had closed its side.
func tookReset(failure error) bool {
	return failure != nil && !errors.Is(failure, syscall.EPIPE) && !errors.Is(failure, os.ErrDeadlineExceeded) && !errors.Is(failure, net.ErrClosed)
}
