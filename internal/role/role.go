// Package role keeps a role that one VM holds at a time, by a lease in the
// platform: every change is a conditional write, so that of two VMs which want it
// one gets it. internal/core/lease decides when a lease has lapsed and who comes
// first.
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

// Store is the part of the platform that a role needs.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Create(ctx context.Context, kind, name string, value any) (platform.Object, error)
	Update(ctx context.Context, kind, name string, version history.Version, value any) (platform.Object, error)
}

// Times are the times of a role.
type Times struct {
	// Lease is how long the role holds without being renewed.
	Lease time.Duration
	// Interval is the time between two renewals, and between two looks of the VMs
	// that come first when the role is free.
	Interval time.Duration
	// Seldom is the time between two looks of all other VMs, who may know more or
	// less of the VMs than those do. 0: they don't look.
	Seldom time.Duration
	// SeldomPerVM is added to Seldom for each VM that may hold the role, so that the looks
	// of all of them together cost the same however many there are.
	SeldomPerVM time.Duration
	// Retry is the time to the next look after one that failed. 0 is Interval.
	Retry time.Duration
}

// Options are what a role is made of.
type Options struct {
	Store Store
	// Kind and Name name the lease's object.
	Kind, Name string
	Self       lease.VM
	Times      Times
	// Candidates is the number of VMs that come first; looks of all VMs would be too
	// many reads.
	Candidates int
	// Now is the VM's clock, suspension included where the VM can be suspended.
	Now func() time.Duration
	// Ask, when set, asks the holder itself for the version of the lease that it holds.
	// Only when it doesn't say so is the platform read.
	//
	// What it gains: looks at a role that is held cost no calls of the platform.
	Ask func(ctx context.Context, role string, holder lease.VM) (version history.Version, held bool)
}

// record is the lease's object. Every renewal is a new version of it.
type record struct {
	Holder lease.VM `json:"holder"`
	Epoch  uint64   `json:"epoch"`
	// Released says that the holder gave the role up.
	Released bool `json:"released,omitempty"`
}

// Role is this VM's part in a role. Step is for one goroutine; the other methods
// are safe for concurrent use.
type Role struct {
	Options

	observer lease.Observer
	next     time.Duration
	// holder is who held the role at the last look at the platform.
	holder lease.VM
	// outside says that this VM was no candidate at its last step.
	outside bool

	mu     sync.Mutex
	tenure Tenure
}

// Tenure is a holder's time. Epoch grows with each of them.
type Tenure struct {
	Held         bool
	Epoch        uint64
	Since, Until time.Duration
	// Version is the platform's version of the lease's object.
	Version history.Version
}

// New makes a role that this VM doesn't hold.
func New(options Options) *Role { return &Role{Options: options} }

// Tenure tells whether the role is held now. It must be asked again right before
// each act: a VM that was paused past its lease would else act beside its successor.
func (r *Role) Tenure() Tenure {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.tenure
	now.Held = now.Held && r.Now() < now.Until
	return now
}

// Held is Tenure().Held.
func (r *Role) Held() bool { return r.Tenure().Held }

// Step renews the lease, or takes it when it is free and this VM is next. It may
// be called more often than anything is due. vms are the VMs that may hold it.
func (r *Role) Step(ctx context.Context, vms []lease.VM) {
	now := r.Now()
	if now < r.next {
		return
	}
	r.next = now + r.Times.Interval
	if r.Held() {
		r.renew(ctx, now)
		return
	}
	position := lease.Position(lease.Rank(r.Name, r.Self.DataCentre, vms), r.Self.Name)
	if position < 0 || position >= r.Candidates {
		if r.Times.Seldom == 0 {
			return
		}
		position = r.Candidates
		r.next = now + r.Times.Seldom + time.Duration(len(vms))*r.Times.SeldomPerVM
		if !r.outside {
			// The candidates look now. All others together would be too many reads when
			// all VMs start.
			r.outside = true
			return
		}
	} else {
		r.outside = false
	}
	if !r.look(ctx, now, position) && r.Times.Retry > 0 {
		r.next = now + r.Times.Retry
	}
}

func (r *Role) renew(ctx context.Context, now time.Duration) {
	held := r.Tenure()
	object, err := r.Store.Update(ctx, r.Kind, r.Name, held.Version, record{Holder: r.Self, Epoch: held.Epoch})
	switch {
	case err == nil:
		r.set(func(t *Tenure) { t.Version, t.Until = object.Version, now+r.Times.Lease })
	case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
		r.set(func(t *Tenure) { t.Held = false })
	}
}

func (r *Role) set(change func(*Tenure)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.tenure)
}

// look reads the lease and takes it when it is free. It returns false when the
// platform did not answer.
func (r *Role) look(ctx context.Context, now time.Duration, position int) bool {
	if r.asked(ctx, now) {
		return true
	}
	object, err := r.Store.Get(ctx, r.Kind, r.Name)
	if errors.Is(err, platform.ErrNotFound) {
		if position == 0 || r.Times.Seldom > 0 {
			r.take(now, 1, func(next record) (platform.Object, error) {
				return r.Store.Create(ctx, r.Kind, r.Name, next)
			})
		}
		return true
	}
	var seen record
	if err != nil || json.Unmarshal(object.Value, &seen) != nil || !lease.Plausible(r.Tenure().Epoch, seen.Epoch) {
		r.observer.RecordFailure()
		return err == nil
	}
	r.observer.RecordRead(now, uint64(object.Version))
	r.holder = seen.Holder
	if r.free(now, seen, position) {
		r.take(now, seen.Epoch+1, func(next record) (platform.Object, error) {
			return r.Store.Update(ctx, r.Kind, r.Name, object.Version, next)
		})
	}
	return true
}

// asked takes the holder's own word. It returns false when that doesn't say that it
// holds the role.
func (r *Role) asked(ctx context.Context, now time.Duration) bool {
	if r.Ask == nil || r.holder.Name == "" || r.holder.Name == r.Self.Name {
		return false
	}
	version, held := r.Ask(ctx, r.Name, r.holder)
	if held {
		r.observer.RecordRead(now, uint64(version))
	}
	return held
}

// free tells whether the role may be taken. A VM runs one process, so a lease in
// this VM's own name is its own, or that of a process of it which has ended: after
// an outage of the platform, a restart or a loss of power it goes on at once. The
// write is conditional, so another VM that took the role meanwhile keeps it.
func (r *Role) free(now time.Duration, seen record, position int) bool {
	if seen.Released || seen.Holder.Name == r.Self.Name {
		return true
	}
	return r.observer.UnchangedFor(now) >= r.Times.Lease+time.Duration(position)*r.Times.Interval
}

func (r *Role) take(now time.Duration, epoch uint64, write func(record) (platform.Object, error)) {
	object, err := write(record{Holder: r.Self, Epoch: epoch})
	if err != nil {
		r.observer.RecordFailure()
		return
	}
	r.set(func(t *Tenure) {
		*t = Tenure{Held: true, Epoch: epoch, Since: r.Now(), Until: now + r.Times.Lease, Version: object.Version}
	})
}

// Release gives the role up, so that a successor need not wait for it to lapse.
func (r *Role) Release(ctx context.Context) {
	held := r.Tenure()
	if !held.Held {
		return
	}
	r.set(func(t *Tenure) { t.Held = false })
	// Should the write fail, the successor waits for the lease to lapse.
	_, _ = r.Store.Update(ctx, r.Kind, r.Name, held.Version, record{Holder: r.Self, Epoch: held.Epoch, Released: true})
}
