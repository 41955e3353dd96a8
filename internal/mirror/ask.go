package mirror

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/history"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// answer is the answer of a VM.
type answer struct {
	vm    string
	page  platform.MirrorPage
	proof Proof
	// valid is set if the VM had valid data.
	valid bool
}

// fetchFrom requests changes from a VM, and skips it for a while if it has no valid answer, which returns false.
func (f *Follower) fetchFrom(ctx context.Context, vm string, version history.Version) (platform.MirrorPage, bool) {
	a := f.ask(ctx, vm, version)
	if f.isValid(a, version) {
		return f.take(a), true
	}
	backoff := sourceBackoff
	if version == 0 {
		backoff = startBackoff
	}
	f.mu.Lock()
	f.backoffUntil[vm] = f.Now() + backoff
	if f.substitute == vm {
		f.substitute = ""
	}
	f.mu.Unlock()
	return platform.MirrorPage{}, false
}

// ask requests changes from a VM.
func (f *Follower) ask(ctx context.Context, vm string, version history.Version) answer {
	wait, timeout := f.callTimes(version)
	sent := f.Now()
	response, err := f.call(ctx, vm, version, wait, timeout)
	if err == nil && response.Starting && wait == startWait {
		sent = f.Now()
		response, err = f.call(ctx, vm, version, LongPollWait, LongPollWait+callTimeout)
	}
	a := answer{vm: vm}
	if err == nil {
		a.page, a.proof, a.valid = decode(f.Kind, response, sent)
		a.proof.VerifiedAt = min(a.proof.VerifiedAt, f.Now())
	}
	return a
}

func (f *Follower) call(ctx context.Context, vm string, version history.Version, wait, timeout time.Duration) (*entriesv1.ChangesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Rounded up, so that a proof that was valid at the call is too old after the wait.
	waitMillis := (wait + time.Millisecond - 1).Milliseconds()
	request := &entriesv1.ChangesRequest{Known: uint64(version), WaitMillis: uint32(waitMillis), Packed: true}
	return f.Fetch(ctx, vm, request)
}

// callTimes returns how long a request may wait for a change, and its timeout. A VM that has objects waits until its
// proof is too old at most, and gives up in time to read the platform.
func (f *Follower) callTimes(version history.Version) (wait, timeout time.Duration) {
	if version == 0 {
		if f.FirstStart {
			return LongPollWait, LongPollWait + callTimeout
		}
		return startWait, startTimeout
	}
	age := f.proofAge()
	wait = min(max(f.trust()-age, 0), LongPollWait)
	return wait, max(min(wait+callTimeout, f.age(firstReadFraction)-age), minCallTimeout)
}

// isValid reports whether an answer may be used.
func (f *Follower) isValid(a answer, version history.Version) bool {
	valid := a.valid && a.page.Version.History() >= version.History() && f.Now()-a.proof.VerifiedAt < f.trust()
	result := "nothing"
	if valid {
		result = "learnt"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_mirror_answers_total{result=%q}", result)).Inc()
	return valid
}

// take records the proof of a valid answer and returns its changes.
func (f *Follower) take(a answer) platform.MirrorPage {
	f.mu.Lock()
	f.fallback = false
	f.mu.Unlock()
	if f.log.mergeProof(a.vm, a.proof) {
		f.log.sink.HandleError(platform.ErrUnavailable)
	}
	return a.page
}
