package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/tally"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	// reachTimeout bounds a hub's word to another data centre: the way there and back takes
	// some milliseconds, and an answer 10 to 50 ms of a busy VM.
	reachTimeout = 250 * time.Millisecond
	// farKept is how long the VMs of a data centre are still told of which none counts as
	// living any more: a cut lasts seconds, and the first answer after it ends the loss.
	farKept = 15 * time.Second
)

// farVMs are the VMs of another data centre that were last known to live, in the order in
// which they are hub.
type farVMs struct {
	names []string
	at    time.Duration
}

// reaches is what the hub of a data centre finds out about the ways to the others.
type reaches struct {
	mu    sync.Mutex
	reach *tally.Reachability
	// known are the VMs of other data centres. Only update uses it.
	known map[string]farVMs
}

func newReaches() *reaches {
	return &reaches{reach: tally.NewReachability(), known: make(map[string]farVMs)}
}

// update takes the VMs that live, in the order in which they are hub, and lists the other
// data centres with their VMs.
func (r *reaches) update(now time.Duration, ranked []lease.VM, own string) map[string]farVMs {
	seen := make(map[string]farVMs)
	for _, vm := range ranked {
		if vm.DataCentre != own {
			seen[vm.DataCentre] = farVMs{names: append(seen[vm.DataCentre].names, vm.Name), at: now}
		}
	}
	for dataCentre, vms := range r.known {
		if _, live := seen[dataCentre]; !live && now-vms.at <= farKept {
			seen[dataCentre] = vms
		}
	}
	r.known = seen
	return seen
}

// lost lists the data centres that are out of reach.
func (r *reaches) lost() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reach.Unreachable(bootclock.Now())
}

// heard notes whether a VM of a data centre answered. A refused connection is none: some cuts
// refuse, and VMs that were all killed are back within a second. One that isn't known any
// more was silent for long. of is how many VMs the data centre has.
func (r *reaches) heard(dataCentre, vm string, of int, err error) (silent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	code := connect.CodeOf(err)
	silent = code == connect.CodeDeadlineExceeded || code == connect.CodeUnavailable || errors.Is(err, peer.ErrUnknownVM)
	if silent {
		r.reach.RecordNoAnswer(bootclock.Now(), dataCentre, vm, of)
	} else {
		r.reach.RecordAnswer(dataCentre)
	}
	return silent
}

// tellFar exchanges sums with the hub of another data centre. When it is silent, the VMs
// after it are asked whether they are reached.
func (t *tallies) tellFar(ctx context.Context, dataCentre string, ranked []string) {
	t.mu.Lock()
	near := t.hub.LocalSum(bootclock.Now(), "")
	t.mu.Unlock()
	answer, err := t.tell(ctx, ranked[0], t.dataCentre, near, reachTimeout)
	if err == nil {
		t.mu.Lock()
		t.hub.ReportRemote(bootclock.Now(), dataCentre, answer.tally)
		t.mu.Unlock()
	}
	if !t.reaches.heard(dataCentre, ranked[0], len(ranked), err) {
		return
	}
	for _, vm := range tally.OtherWitnesses(ranked[0], ranked) {
		go func() {
			_, err := t.tell(ctx, vm, t.dataCentre, near, reachTimeout)
			t.reaches.heard(dataCentre, vm, len(ranked), err)
		}()
	}
}

// unreached keeps this VM's requests off the data centres that are out of reach, and says in
// the log which ones were lost or are back. Only run may call it.
func (t *tallies) unreached(dataCentres []string) {
	t.dispatcher.SetUnreachable(dataCentres)
	for _, dataCentre := range dataCentres {
		if !slices.Contains(t.cutOff, dataCentre) {
			telemetry.DataCentreLost.Log(t.log, "dataCentre", dataCentre)
		}
	}
	for _, dataCentre := range t.cutOff {
		if !slices.Contains(dataCentres, dataCentre) {
			telemetry.DataCentreBack.Log(t.log, "dataCentre", dataCentre)
		}
	}
	t.cutOff = dataCentres
}
