package edge

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	. "github.com/onsi/gomega"
)

// Guards against a process that does nothing and isn't restarted: a task fails and the
// group stops the others, but the graceful shutdown keeps waiting for its signal.
func TestFailedActorEndsTheProcess(t *testing.T) {
	g := NewWithT(t)
	failure := errors.New("listener broke")
	stop := newStopper(Parts{Log: logr.Discard(), current: newCurrentSettings(Settings{})})
	var group run.Group
	group.Add(func() error { return failure }, func(error) {})
	group.Add(func() error { return stop.wait(context.Background(), nil) }, stop.interrupt)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	g.Eventually(ended, "5s").Should(Receive(MatchError(failure)))
	g.Expect(stop.stopping()).To(BeTrue())
}
