package relay

import (
	"errors"
	"time"
)

// errVMEnds is why no server is chosen for a request that may outlast the VM.
var errVMEnds = errors.New("VM stops before the request's time is over")

// vmEnd is when the VM ends. The zero value is not usable.
type vmEnd struct {
	// known is closed once at is set.
	known chan struct{}
	at    time.Time
}

// EndAt says that the VM ends at a time, and that callers reach other VMs. From now on a request is only sent to a
// server if its own time is over by then, and otherwise refused as not run: at the end, it would be cut without an
// answer. Requests that servers have are not affected. It must be called once.
func (h *Handler) EndAt(at time.Time) {
	h.end.at = at
	close(h.end.known)
}

// outlastsVM reports whether a request whose response has not begun may take longer than the VM lives.
func (h *Handler) outlastsVM(x *exchange) bool {
	select {
	case <-h.end.known:
	default:
		return false
	}
	deadline, limited := x.ctx.Deadline()
	return !x.headWritten && (!limited || deadline.After(h.end.at))
}
