// Package actors adds actors to a process's run.Group: functions that run until their
// context is cancelled, and HTTP servers.
package actors

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/oklog/run"
)

// AddContext adds an actor whose context is cancelled when the group stops.
func AddContext(group *run.Group, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error { return actor(ctx) }, func(error) { cancel() })
}

// AddServer adds an actor that serves HTTP until the group stops. A graceful shutdown
// has waited for the requests in flight by then, so remaining connections are closed.
func AddServer(group *run.Group, listener net.Listener, server *http.Server) {
	stopped, stop := context.WithCancel(context.Background())
	group.Add(
		func() error {
			err := server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				// Serve returns as soon as a graceful shutdown begins. The actor must
				// not return yet, since that would stop the group and cut off the
				// requests in flight that the shutdown waits for.
				<-stopped.Done()
			}
			return err
		},
		func(error) {
			stop()
			_ = server.Close()
		},
	)
}
