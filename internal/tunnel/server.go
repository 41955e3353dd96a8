package tunnel

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/wire"
)

const (
	// maxTunnels bounds the open tunnels. Each takes two descriptors and some 20 kB.
	maxTunnels = 1000
	// copyBufferBytes is the size of a tunnel's buffer for each direction; an event has about 100
	// bytes.
	copyBufferBytes = 4 << 10
	// drainPollInterval is the interval at which Drain checks for open tunnels.
	drainPollInterval = 20 * time.Millisecond
)

// ServerOptions are the dependencies of a Server.
type ServerOptions struct {
	// Connect connects to a backend server directly, within ConnectTimeout. It returns one of this
	// package's errors.
	Connect func(ctx context.Context, address string) (net.Conn, error)
	// Registered reports whether a backend server is registered at an address.
	Registered func(address string) bool
}

// Server opens tunnels to backend servers for other VMs.
type Server struct {
	options ServerOptions

	mu       sync.Mutex
	open     int
	draining bool
}

// NewServer returns a server.
func NewServer(options ServerOptions) *Server { return &Server{options: options} }

// ServeHTTP opens the tunnel that a CONNECT request asks for, and returns when it has ended.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	err := s.serve(w, r)
	metrics.GetOrCreateCounter(`oleandershunt_tunnels_served_total{result="` + resultOf(err) + `"}`).Inc()
	if err != nil {
		http.Error(w, err.Error(), statusOf(err))
	}
}

// serve returns an error only if nothing was written.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) error {
	hijacker, ok := w.(http.Hijacker)
	if !ok || r.Method != http.MethodConnect {
		return ErrUnavailable
	}
	if !s.options.Registered(r.Host) {
		return ErrUnregistered
	}
	if !s.begin() {
		return ErrUnavailable
	}
	defer s.end()
	server, err := s.options.Connect(r.Context(), r.Host)
	if err != nil {
		return err
	}
	defer server.Close()
	peer, buffered, err := hijacker.Hijack()
	if err != nil {
		return err
	}
	defer peer.Close()
	// A peer that has lost power or is partitioned must not keep its request running.
	if conn, ok := peer.(*net.TCPConn); ok {
		if raw, err := conn.SyscallConn(); err == nil {
			_ = wire.EndSilent("", "", raw) // the tunnel ends later without it
		}
	}
	if _, err := io.WriteString(peer, "HTTP/1.1 200 Connection established\r\n\r\n"); err != nil {
		return nil // the peer has disconnected
	}
	copyBoth(peer, buffered.Reader, wire.DetectReset(server))
	return nil
}

// begin counts a tunnel unless no more may be opened.
func (s *Server) begin() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.open >= maxTunnels {
		return false
	}
	s.open++
	metrics.GetOrCreateCounter("oleandershunt_tunnels_open").Inc()
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
	metrics.GetOrCreateCounter("oleandershunt_tunnels_open").Dec()
}

// Open returns the number of open tunnels.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// StopOpening refuses new tunnels from now on.
func (s *Server) StopOpening() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Drain waits until all tunnels have ended or ctx ends. It returns the number of open tunnels.
func (s *Server) Drain(ctx context.Context) int {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.Open() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.Open()
		}
	}
	return 0
}

// copyBoth copies bytes between a peer and a server until either disconnects. fromPeer reads what
// the peer sent.
func copyBoth(peer net.Conn, fromPeer io.Reader, server net.Conn) {
	var peerLeft sync.WaitGroup
	peerLeft.Go(func() {
		if copyBytes(server, fromPeer) != nil {
			// The server takes no more of the request, and may have responded.
			_, _ = io.Copy(io.Discard, fromPeer)
		}
		// The peer sends nothing more once it has the response or has given up, so the server is
		// to stop working.
		_ = server.Close()
	})
	if err := copyBytes(peer, server); err != nil {
		// The response is incomplete, and the peer must not take it for a whole one.
		reset(peer)
	} else if conn, ok := peer.(*net.TCPConn); ok {
		_ = conn.CloseWrite()
	}
	peerLeft.Wait()
}

// copyBytes copies until the end of what from sends. A method of the connections that copies by
// another system call is not used, since that keeps two more descriptors for each tunnel.
func copyBytes(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, copyBufferBytes))
	return err
}

// reset closes a connection so that its other end reports an error.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// resultOf returns the label of a result in metrics.
func resultOf(err error) string {
	switch {
	case err == nil:
		return "opened"
	case errors.Is(err, ErrServerRefused):
		return "server_refused"
	case errors.Is(err, ErrServerSilent):
		return "server_silent"
	case errors.Is(err, ErrUnregistered):
		return "unregistered"
	case errors.Is(err, ErrUnsupported):
		return "unsupported"
	case errors.Is(err, ErrNoVM):
		return "no_vm"
	default:
		return "unavailable"
	}
}
