package node

import (
	"context"
	"errors"
	"net/http"

	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/loop"
)

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// addLoop adds the core's loop, and returns what ends it before the group. The
// actor goes on even then, as in actors.AddServer.
func addLoop(group *run.Group, decisions *loop.Loop) context.CancelFunc {
	ctx, cancel := context.WithCancel(context.Background())
	stopped, stop := context.WithCancel(context.Background())
	group.Add(
		func() error {
			err := decisions.Run(ctx)
			<-stopped.Done()
			return err
		},
		func(error) {
			cancel()
			stop()
		},
	)
	return cancel
}
