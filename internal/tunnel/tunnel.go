// Package tunnel connects a VM to a backend server through another VM: an HTTP CONNECT to the peer
// server of that VM, which opens the connection and copies bytes. Everything else about a request
// stays with the VM that sends it.
package tunnel

import (
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// ConnectTimeout bounds a VM's own connect to a backend server for a tunnel.
const ConnectTimeout = 200 * time.Millisecond

// Errors of a tunnel that could not be opened. The server's VM is the one in between.
var (
	// ErrServerRefused: the server rejects connects from the VM, which reaches other servers.
	ErrServerRefused = eris.New("backend server refuses connections from other VMs as well: it has ended")
	// ErrServerSilent: the server does not respond to the VM.
	ErrServerSilent = eris.New("backend server does not respond to other VMs either: see whether it is running")
	// ErrUnregistered: the VM knows no server at the address.
	ErrUnregistered = eris.New("address belongs to no registered backend server")
	// ErrUnavailable: the VM opens no tunnels now. It has lost its own paths, stops, or has too many.
	ErrUnavailable = eris.New("VM opens no tunnels now: choose another one")
	// ErrUnsupported: the VM runs a build without tunnels.
	ErrUnsupported = eris.New("VM has no tunnels: finish the upgrade of the VMs")
	// ErrNoVM: there is no other VM, or none that could be asked.
	ErrNoVM = eris.New("no other VM can connect to the backend server")
)

// statuses are the HTTP statuses that stand for the errors.
var statuses = map[int]error{
	http.StatusBadGateway:         ErrServerRefused,
	http.StatusGatewayTimeout:     ErrServerSilent,
	http.StatusForbidden:          ErrUnregistered,
	http.StatusServiceUnavailable: ErrUnavailable,
}

// statusOf returns the HTTP status for an error.
func statusOf(err error) int {
	for status, known := range statuses {
		if errors.Is(err, known) {
			return status
		}
	}
	return http.StatusServiceUnavailable
}

// errorOf returns the error for the HTTP status of a response that opens no tunnel.
func errorOf(status int) error {
	if err, ok := statuses[status]; ok {
		return err
	}
	return ErrUnsupported
}
