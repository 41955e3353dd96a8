// Package role implements a role that one VM holds at a time by means of a lease in
// the platform. Every change of the lease is a conditional write, so that only one of
// several competing VMs acquires it. Package lease decides when a lease has expired and
// which VM may take it first.
package role

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// Store is the part of the platform API that a role uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind, name string, value any) (platform.Object, error)
	Update(ctx context.Context, kind, name string, version history.Version, value any) (platform.Object, error)
}

// Times are the durations and intervals of a role.
type Times struct {
	// Lease is the lease duration: how long the role is held without a renewal.
	Lease time.Duration
	// Interval is the time between two renewals, and between two checks of the lease
	// by a candidate.
	Interval time.Duration
	// BackgroundInterval is the time between two checks by a VM that isn't a candidate. Such VMs
	// check too because their view of the live VMs may differ from the candidates'.
	// 0 means that they don't check.
	BackgroundInterval time.Duration
	// BackgroundIntervalPerVM is added to BackgroundInterval for each VM that may hold the role, so that the total
	// rate of checks does not grow with the number of VMs.
	BackgroundIntervalPerVM time.Duration
	// RetryInterval is the time from a failed check to the next one. 0 means Interval.
	RetryInterval time.Duration
}

// Options are the settings and dependencies of a Role.
type Options struct {
	Store Store
	// Kind and Name identify the lease's object in the platform.
	Kind, Name string
	Self       lease.VM
	Times      Times
	// Candidates is the number of first-ranked VMs that check the lease each Interval.
	// Frequent checks by all VMs would be too many reads of the platform.
	Candidates int
	// Now returns the VM's monotonic time. It includes time in which the VM was
	// suspended, if the VM can be suspended.
	Now func() time.Duration
	// QueryHolder, when set, queries the holder for the version of the lease that it holds. The
	// platform is read only if the holder does not confirm that it holds the role, so
	// that checks of a held role cost no calls of the platform.
	QueryHolder func(ctx context.Context, role string, holder lease.VM) (version history.Version, held bool)
}

// record is the value of the lease's object. Every renewal creates a new version of it.
type record struct {
	Holder lease.VM `json:"holder"`
	Epoch  uint64   `json:"epoch"`
	// Released is set when the holder has given up the role.
	Released bool `json:"released,omitempty"`
}

// Role is this VM's participation in a role. Step must be called by one goroutine
// only; the other methods are safe for concurrent use.
type Role struct {
	Options

	observer lease.Observer
	nextStep time.Duration
	// lastHolder is the holder at the last read of the platform.
	lastHolder lease.VM
	// notCandidate is set when this VM was not a candidate at its last step.
	notCandidate bool

	mu    sync.Mutex
	state LeaseState
}

// LeaseState is one period in which this VM holds the role. Epoch increases with each
// acquisition of the role by any VM.
type LeaseState struct {
	Held         bool
	Epoch        uint64
	Since, Until time.Duration
	// Version is the platform's version of the lease's object.
	Version history.Version
}

// New returns a Role that this VM does not hold yet.
func New(options Options) *Role { return &Role{Options: options} }

// LeaseState returns the current state, in which Held is false once the lease has expired.
// Callers must check it immediately before each action. Otherwise a VM that was paused
// past the end of its lease would act concurrently with its successor.
func (r *Role) LeaseState() LeaseState {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.state
	current.Held = current.Held && r.Now() < current.Until
	return current
}

// Held reports whether this VM holds the role now.
func (r *Role) Held() bool { return r.LeaseState().Held }

// NextStep returns the time before which Step has nothing to do. It must be called by the
// goroutine that calls Step.
func (r *Role) NextStep() time.Duration { return r.nextStep }

// Step renews the lease, or acquires it when it is free and this VM is next in rank.
// It returns at once when nothing is due. vms are the VMs that may hold the role.
func (r *Role) Step(ctx context.Context, vms []lease.VM) {
	now := r.Now()
	if now < r.nextStep {
		return
	}
	r.nextStep = now + r.Times.Interval
	if r.Held() {
		r.renew(ctx, now)
		return
	}
	position := lease.Position(lease.Rank(r.Name, r.Self.DataCentre, vms), r.Self.Name)
	if position < 0 || position >= r.Candidates {
		if r.Times.BackgroundInterval == 0 {
			return
		}
		position = r.Candidates
		r.nextStep = now + r.Times.BackgroundInterval + time.Duration(len(vms))*r.Times.BackgroundIntervalPerVM
		if !r.notCandidate {
			// Only the candidates check at startup. When all VMs start at once, checks
			// by the others as well would be too many reads of the platform.
			r.notCandidate = true
			return
		}
	} else {
		r.notCandidate = false
	}
	if !r.checkLease(ctx, now, position) && r.Times.RetryInterval > 0 {
		r.nextStep = now + r.Times.RetryInterval
	}
}

func (r *Role) renew(ctx context.Context, now time.Duration) {
	held := r.LeaseState()
	object, err := r.Store.Update(ctx, r.Kind, r.Name, held.Version, record{Holder: r.Self, Epoch: held.Epoch})
	switch {
	case err == nil:
		r.updateState(func(t *LeaseState) { t.Version, t.Until = object.Version, now+r.Times.Lease })
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		r.updateState(func(t *LeaseState) { t.Held = false })
	}
}

func (r *Role) updateState(change func(*LeaseState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.state)
}

// checkLease reads the lease and acquires it when it is free. It returns false when
// the platform did not answer.
func (r *Role) checkLease(ctx context.Context, now time.Duration, position int) bool {
	if r.holderConfirms(ctx, now) {
		return true
	}
	object, err := r.Store.Get(ctx, r.Kind, r.Name)
	if errors.Is(err, platform.ErrNotFound) {
		if position == 0 || r.Times.BackgroundInterval > 0 {
			r.acquire(now, 1, func(next record) (platform.Object, error) {
				return r.Store.Create(ctx, r.Kind, r.Name, next)
			})
		}
		return true
	}
	var seen record
	if err != nil || json.Unmarshal(object.Value, &seen) != nil || !lease.Plausible(r.LeaseState().Epoch, seen.Epoch) {
		r.observer.Failed()
		return err == nil
	}
	r.observer.Read(now, uint64(object.Version))
	r.lastHolder = seen.Holder
	if r.canAcquire(now, seen, position) {
		r.acquire(now, seen.Epoch+1, func(next record) (platform.Object, error) {
			return r.Store.Update(ctx, r.Kind, r.Name, object.Version, next)
		})
	}
	return true
}

// holderConfirms reports whether the holder itself confirms that it holds the role. If
// so, it counts as a read of the lease.
func (r *Role) holderConfirms(ctx context.Context, now time.Duration) bool {
	if r.QueryHolder == nil || r.lastHolder.Name == "" || r.lastHolder.Name == r.Self.Name {
		return false
	}
	version, held := r.QueryHolder(ctx, r.Name, r.lastHolder)
	if held {
		r.observer.Read(now, uint64(version))
	}
	return held
}

// canAcquire reports whether this VM may acquire the role. A VM runs one process, so
// a lease in this VM's name belongs to this process or to an earlier one that has ended.
// After an outage of the platform, a restart or a power loss the VM can therefore resume
// the role at once. The write is conditional, so another VM that has acquired the role
// meanwhile keeps it.
func (r *Role) canAcquire(now time.Duration, seen record, position int) bool {
	if seen.Released || seen.Holder.Name == r.Self.Name {
		return true
	}
	return r.observer.UnchangedFor(now) >= r.Times.Lease+time.Duration(position)*r.Times.Interval
}

func (r *Role) acquire(now time.Duration, epoch uint64, write func(record) (platform.Object, error)) {
	object, err := write(record{Holder: r.Self, Epoch: epoch})
	if err != nil {
		r.observer.Failed()
		return
	}
	r.updateState(func(t *LeaseState) {
		*t = LeaseState{Held: true, Epoch: epoch, Since: r.Now(), Until: now + r.Times.Lease, Version: object.Version}
	})
}

// Release gives up the role, so that a successor need not wait for the lease to expire.
func (r *Role) Release(ctx context.Context) {
	held := r.LeaseState()
	if !held.Held {
		return
	}
	r.updateState(func(t *LeaseState) { t.Held = false })
	// If the write fails, the successor waits for the lease to expire.
	_, _ = r.Store.Update(ctx, r.Kind, r.Name, held.Version, record{Holder: r.Self, Epoch: held.Epoch, Released: true})
}
