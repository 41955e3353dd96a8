package core

import (
	"time"

	"oleandershunt.example/oleandershunt/internal/core/poison"
	"oleandershunt.example/oleandershunt/internal/core/request"
)

const (
	// confirmAttemptTimeout is how long the VM has to answer one ConfirmSuspicion.
	confirmAttemptTimeout = 500 * time.Millisecond
	// confirmRetryInterval is the pause before ConfirmSuspicion is sent again.
	confirmRetryInterval = 200 * time.Millisecond
	// confirmTimeout is how long a request whose body was on several lost servers
	// waits for VMs that don't answer. It covers the time to detect that they
	// have failed.
	confirmTimeout = 3 * time.Second
)

// checkSuspicion reports whether a request may be dispatched without asking the
// other VMs about crashes by its body. If not, it sends ConfirmSuspicion and makes
// the request wait. Otherwise a caller that sends a body to one VM after another
// could crash servers through each of them until the findings have spread.
func (m *Machine) checkSuspicion(now Time, r *request.Request) bool {
	crashes := m.lifecycle.poison.CrashCount(now, bodyOf(r))
	if crashes == 0 || r.ConfirmedAttempt > r.Attempt || mayContinueUnconfirmed(r, crashes) {
		return true
	}
	if r.ConfirmBy == 0 {
		r.ConfirmBy = min(now+confirmTimeout, r.Deadline)
	}
	r.Confirming = true
	r.Transition(request.Resuming)
	m.waitUntil(r, min(now+confirmAttemptTimeout, r.Deadline))
	m.note(now, r, Note{Step: StepWaiting, Until: r.ConfirmBy, Text: "its body may have crashed a server; the other VMs are asked what they know of it"})
	m.emit(ConfirmSuspicion{Request: r.ID})
	return false
}

// mayContinueUnconfirmed reports whether a request is suspected only because of
// its own first loss, or of a second one before which it had made progress. Most
// such losses are not the request's fault, and asking would pause its stream.
func mayContinueUnconfirmed(r *request.Request, crashes int) bool {
	if crashes > r.SuspectedCrashes {
		return false
	}
	return crashes < crashesNeedingProof || crashes == crashesNeedingProof && r.LastProgress >= poison.MinProgressTokens
}

func (m *Machine) suspicionConfirmed(now Time, e SuspicionConfirmed) []Action {
	r, ok := m.requests[e.Request]
	if !ok || !r.Confirming || r.State != request.Resuming {
		return m.finishStep(now)
	}
	if len(e.Missing) > 0 {
		m.confirmationFailed(now, r)
		return m.finishStep(now)
	}
	r.Confirming, r.ConfirmIncomplete, r.ConfirmBy = false, false, 0
	r.ConfirmedAttempt = r.Attempt + 1
	r.WaitUntil = 0
	m.confirmationDone(now, r)
	return m.finishStep(now)
}

// confirmationFailed decides on a request whose body other VMs may know more
// about, as not all of them answered. After one crash the request may run, on
// servers without another isolated attempt. After more it asks again, and is
// refused after confirmTimeout.
func (m *Machine) confirmationFailed(now Time, r *request.Request) {
	r.Confirming = false
	r.WaitUntil = 0
	switch {
	case m.lifecycle.poison.CrashCount(now, bodyOf(r)) < crashesNeedingProof:
		r.ConfirmedAttempt, r.ConfirmIncomplete = r.Attempt+1, true
		m.confirmationDone(now, r)
	case now >= r.ConfirmBy && now < r.Deadline:
		m.endRefused(now, r, request.ReasonAttempts, proofTimeout)
	default:
		m.waitUntil(r, min(now+confirmRetryInterval, r.Deadline))
	}
}

// confirmationDone continues with a request after a confirmation. If proof or a
// verdict on its body is pending, here or on another VM, the request waits for it
// once before each attempt and then asks the other VMs again.
func (m *Machine) confirmationDone(now Time, r *request.Request) {
	if r.ProofWaitAttempt <= r.Attempt && now < r.Deadline && m.lifecycle.poison.DecisionPending(bodyOf(r)) {
		r.ConfirmedAttempt = 0
		m.awaitProof(now, r, min(now+proofTimeout, r.Deadline))
		return
	}
	m.resume(now, r)
}
