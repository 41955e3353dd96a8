package relay

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against arrivals at servers that the counter gives the wrong cause.
func TestRequestsAreCountedAsSentByCause(t *testing.T) {
	g := NewWithT(t)
	for cause, x := range map[string]*exchange{
		causeFirst:       {attemptHistory: attemptHistory{sends: 1, refusals: 1}},
		causeRefused:     {attemptHistory: attemptHistory{sends: 2, refusals: 1}},
		causeUnanswered:  {attemptHistory: attemptHistory{sends: 2, refusals: 1, mayHaveRun: true}},
		causeResumed:     {attemptHistory: attemptHistory{sends: 2, mayHaveRun: true}, delivered: delivered{events: 3}},
		causeReplacement: {attemptHistory: attemptHistory{sends: 2, mayHaveRun: true}, delivered: delivered{events: 3}, replaces: true},
	} {
		g.Expect(x.sendCause()).To(Equal(cause))
	}
}

// Guards against a retry that was sent and is given back, since a replacement of its attempt found no server.
func TestReplacementDoesNotOwnTheRetryOfItsAttempt(t *testing.T) {
	g := NewWithT(t)
	w := &watchdog{o: &openAttempt{}, base: exchange{retryTakenAt: time.Second}}
	g.Expect(w.forkLocked(nil).retryTakenAt).To(BeZero())
}
