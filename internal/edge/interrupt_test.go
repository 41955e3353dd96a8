package edge

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/oklog/run"
	. "github.com/onsi/gomega"
)

// Symptom: a process does nothing and isn't started again. Sequence: a duty fails by
// itself; the group ends the others. Cause: the planned stop goes on waiting for its
// signal, so the group never returns.
func TestADutyThatFailsEndsTheProcess(t *testing.T) {
	g := NewWithT(t)
	failure := errors.New("listener broke")
	stop := newStopper(Parts{Log: logr.Discard(), current: newCurrent(Settings{})})
	var group run.Group
	group.Add(func() error { return failure }, func(error) {})
	group.Add(func() error { return stop.wait(context.Background(), nil) }, stop.interrupt)
	ended := make(chan error, 1)
	go func() { ended <- group.Run() }()
	g.Eventually(ended, "5s").Should(Receive(MatchError(failure)))
	g.Expect(stop.stopping()).To(BeTrue())
}
