// Package rawserver starts HTTP servers whose responses are bytes that a test writes itself.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// Respond writes the response to a request to its connection. The body of the request is not read yet.
type Respond func(conn *net.TCPConn, request *http.Request)

// Start starts a server until the end of the test and returns its address, host:port. respond is called for the
// requests on each connection until it closes the connection, or the other side does.
func Start(t testing.TB, respond Respond) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn.(*net.TCPConn), respond)
		}
	}()
	return listener.Addr().String()
}

func serve(conn *net.TCPConn, respond Respond) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		respond(conn, request)
	}
}

// Once returns a response to one request of a connection, which is closed in order after it.
func Once(response string) Respond {
	return func(conn *net.TCPConn, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, response)
		_ = conn.Close()
	}
}

// Reset closes a connection with a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// CloseInOrder closes a server's side of a connection, reads what the other side still sends, and closes it.
func CloseInOrder(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}
