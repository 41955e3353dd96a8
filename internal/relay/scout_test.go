package relay_test

import (
	"errors"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/chain"
)

// longPatience is so long that nothing but the stream's own cadence has its path looked into
// while a test runs.
const longPatience = time.Minute

// flowing is a rig whose runs stream some events before they fall silent.
func flowing(t *testing.T) *rig {
	r := newRigWith(t, 100, longPatience)
	r.lead = 8
	return r
}

// Symptom: each answer whose stream moves is late by its pause. Sequence: a server inside the
// path crashes; its port refuses connections. Cause: the path is looked into only after a
// silence that is longer than the target for pauses, whatever the stream's cadence was.
func TestAnOverdueStreamMovesOffACrashedServer(t *testing.T) {
	r := flowing(t)
	r.engines.dead = map[string]error{r.list[2].Address: errors.Join(errors.New("dial"), syscall.ECONNREFUSED)}
	response := r.begin()
	defer response.Body.Close()
	var path chain.Path
	r.Eventually(r.engines.moved, "5s").Should(Receive(&path))
	r.Expect(path.String()).To(HaveSuffix("s4[40,80)"))
	r.Consistently(r.found, "50ms").ShouldNot(Receive(), "the others are told only what a server says")
	close(r.goOn)
}

// Symptom and cause as above. Sequence: the server is dark, and says nothing at all.
func TestAnOverdueStreamMovesOffADarkServer(t *testing.T) {
	r := flowing(t)
	r.engines.dead = map[string]error{r.list[2].Address: nil}
	response := r.begin()
	defer response.Body.Close()
	var path chain.Path
	r.Eventually(r.engines.moved, "5s").Should(Receive(&path))
	r.Expect(path.String()).To(HaveSuffix("s4[40,80)"))
	close(r.goOn)
}

// Symptom: streams leave healthy servers. Sequence: this VM's links are cut, or those of a
// whole data centre; no server answers. Cause: each is taken for dead.
func TestAVMThatNobodyAnswersBlamesNobody(t *testing.T) {
	r := flowing(t)
	r.engines.dead = map[string]error{}
	for _, server := range r.list {
		r.engines.dead[server.Address] = syscall.ECONNREFUSED
	}
	response := r.begin()
	defer response.Body.Close()
	r.Eventually(r.engines.reports, "5s").Should(BeNumerically(">=", 2))
	r.Consistently(r.engines.moved, "200ms").ShouldNot(Receive())
	close(r.goOn)
}

// Symptom: the servers of silent paths are asked again and again. Sequence: all of them
// answer, and the stream is slow. Cause: a silence is looked into anew each time.
func TestAnOverdueStreamAsksItsServersOnce(t *testing.T) {
	r := flowing(t)
	response := r.begin()
	defer response.Body.Close()
	r.Eventually(r.engines.reports, "5s").Should(Equal(2))
	r.Consistently(r.engines.reports, "500ms").Should(Equal(2))
	r.Consistently(r.engines.moved, "10ms").ShouldNot(Receive())
	close(r.goOn)
}

// Symptom: streams leave a server that works. Sequence: a stream is overdue for a reason of its
// own; the answer of a server on its path is lost, while another stream through it flows.
// Cause: one lost packet is taken for a dead server.
func TestAServerThroughWhichOthersFlowIsNotBlamed(t *testing.T) {
	r := flowing(t)
	r.engines.dead = map[string]error{r.list[2].Address: nil, r.list[3].Address: nil}
	r.lead = 8
	silent := r.begin()
	defer silent.Body.Close()
	r.mu.Lock()
	r.steady = true
	r.mu.Unlock()
	steady := r.begin()
	defer steady.Body.Close()
	r.Eventually(r.engines.reports, "5s").Should(BeNumerically(">=", 2))
	r.Consistently(r.engines.moved, "300ms").ShouldNot(Receive())
	close(r.goOn)
}
