package relay

import (
	"context"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

const (
	// silentServerPatience is how long a stream in progress waits for a server that accepts
	// connections but doesn't respond: a sound server may pause for a second. Callers disconnect
	// after 2 s.
	silentServerPatience = 1200 * time.Millisecond
	// silentCheckInterval is the time between two requests for the report of a silent server, and
	// silentTime how long it gets no requests after each.
	silentCheckInterval = 200 * time.Millisecond
	silentTime          = 600 * time.Millisecond
)

// silentServers is the set of servers whose response is waited for. It is safe for concurrent use.
type silentServers struct {
	mu      sync.Mutex
	waiting map[string]bool
}

func newSilentServers() *silentServers { return &silentServers{waiting: make(map[string]bool)} }

// begin reports whether the server wasn't waited for yet, and adds it if so.
func (s *silentServers) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[id] {
		return false
	}
	s.waiting[id] = true
	return true
}

func (s *silentServers) end(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

// handleSilentServer keeps new requests off a server that accepts connections but doesn't respond.
// The stream moves at once if it has no event yet, and otherwise after a while.
func (w *watchdog) handleSilentServer(first backends.Server, err error) {
	w.h.awaitResponse(first)
	w.mu.Lock()
	begun, silence := w.delivered.events > 0, time.Since(w.lastActivity)
	w.mu.Unlock()
	if begun && silence < silentServerPatience {
		w.resetTimer(min(w.h.StallTimeout/2, silentServerPatience-silence))
		return
	}
	w.logStalled(first, err)
	w.move(first.ID)
}

// awaitResponse keeps new requests off a server until it sends a report, for suspectUnresponsive at
// most.
func (h *Handler) awaitResponse(server backends.Server) {
	if !h.silentServers.begin(server.ID) {
		return
	}
	h.Dispatcher.markSilent(silentTime, server.Address)
	go func() {
		defer h.silentServers.end(server.ID)
		ctx, cancel := context.WithTimeout(context.Background(), suspectUnresponsive)
		defer cancel()
		for ctx.Err() == nil && !h.Dispatcher.removed(server.ID) {
			if _, err := h.reports.get(ctx, server.Address, silentCheckInterval/2); err == nil {
				h.Dispatcher.markResponding(server.Address)
				return
			}
			h.Dispatcher.markSilent(silentTime, server.Address)
			time.Sleep(silentCheckInterval)
		}
	}()
}
