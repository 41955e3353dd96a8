package mirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
)

// The figures of learning from other VMs.
const (
	// Readers is how many VMs of the deployment read the platform while it answers them,
	// in two data centres where there are as many, and how many of each data centre learn
	// from those and tell the others there. So the loss of one VM, or of its way, costs
	// the others no more than the next question.
	Readers = 2
	// deputies is how many VMs more of a data centre are asked when the first ones have
	// nothing to tell. They read the platform then themselves.
	deputies = 2
	// Wait is how long a question waits at another VM for a change. One that dies without
	// a word is found out after it and callTimeout; another one is asked, or the platform
	// read, then. So a departure that the dead VM alone had seen is known 0.9 s later.
	Wait = 500 * time.Millisecond
	// callTimeout bounds the question beyond its wait; the answer takes a millisecond or
	// two, and up to 100 ms with hundreds of entries over a small VM's link.
	callTimeout = 400 * time.Millisecond
	// startWait and startTimeout are the same for a VM that knows nothing and has callers
	// already: the platform answers within some milliseconds. With the longer ones 13
	// callers more were refused after a loss of power of nine VMs.
	startWait    = 50 * time.Millisecond
	startTimeout = 100 * time.Millisecond
	// believed is how old the proof may be of what another VM knows: a reader's watch
	// answers every 2 s, and is silent 0.7 s later when its way to the platform is cut.
	believed = 3 * time.Second
	// doubted is how long a VM isn't asked that had nothing to tell.
	doubted = 500 * time.Millisecond
	// lookAgain is the time between two looks for a VM to ask.
	lookAgain = 100 * time.Millisecond
	// ownSpacing, times the place of the VM in its data centre, is the least time between
	// two calls of a VM's own when nobody has anything to tell. All VMs of a data centre
	// of 40 then make some 40 calls a second together, in place of 100, while the
	// platform is away.
	ownSpacing = 100 * time.Millisecond
)

// Ask asks a VM, by its name or address, for changes.
type Ask func(ctx context.Context, vm string, request *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error)

// Options are what a follower needs.
type Options struct {
	// Kind is the kind of the objects.
	Kind string
	// Self is this VM.
	Self string
	// Settled tells whether the VMs had time to get to know one another since the start.
	Settled func() bool
	// Contacts are the addresses that are asked before that, and IsContact says that
	// this VM is one of them: it reads the platform then.
	Contacts  []string
	IsContact bool
	// All lists the VMs that live, this one included, and Near those of them in its data
	// centre, both in the order in which they read. VMs that know the same ones have the
	// same order.
	All, Near func() []lease.VM
	// FirstStart says that all VMs start for the first time and have no callers yet.
	FirstStart bool
	// Ask asks another VM.
	Ask Ask
	// Now is the time since the start of the VM, suspension included.
	Now func() time.Duration
}

// Follower learns what a log lacks from the VMs that read the platform.
type Follower struct {
	Options
	log *Log

	mu sync.Mutex
	// doubts is until when VMs aren't asked.
	doubts map[string]time.Duration
	// own is when this VM last went to read the platform though it isn't a reader.
	own time.Duration
}

var _ platform.Mirror = (*Follower)(nil)

// NewFollower makes a follower that fills a log.
func NewFollower(log *Log, options Options) *Follower {
	return &Follower{Options: options, log: log, doubts: make(map[string]time.Duration)}
}

// Answered implements platform.Mirror.
func (f *Follower) Answered() { f.log.answered() }

// Reads implements platform.Mirror.
func (f *Follower) Reads() bool { return f.part().reads }

// Tells tells whether what this VM knows is news to others: it reads the platform itself.
func (f *Follower) Tells() bool { return f.Reads() || f.log.reading() }

// part is what a VM does for the others at the moment.
type part struct {
	// reads says that it reads the platform for all.
	reads bool
	// sources are the VMs that it learns from, the first ones first.
	sources []string
	// spacing is the least time between two readings of its own when those have nothing
	// to tell.
	spacing time.Duration
}

// part finds this VM's part.
func (f *Follower) part() part {
	if !f.Settled() {
		return part{reads: f.IsContact, sources: f.turned(f.Contacts)}
	}
	readers := readersOf(f.All())
	if slices.Contains(readers, f.Self) {
		return part{reads: true}
	}
	near := f.Near()
	place := lease.Position(near, f.Self) // the last one for a VM that stops
	if place < Readers {
		return part{sources: f.turned(readers)}
	}
	most := Readers + deputies
	if place < most {
		// Deputies read by themselves rather than ask one another.
		return part{sources: f.turned(namesOf(near[:Readers]))}
	}
	sources := f.turned(namesOf(near[:min(Readers, len(near))]))
	sources = append(sources, namesOf(near[len(sources):min(most, len(near))])...)
	return part{sources: sources, spacing: time.Duration(place) * ownSpacing}
}

// readersOf picks the VMs that read the platform for all: the first one, and the first
// one of another data centre.
func readersOf(all []lease.VM) []string {
	var readers []string
	for _, vm := range all {
		if len(readers) == 0 || vm.DataCentre != all[0].DataCentre {
			readers = append(readers, vm.Name)
		}
		if len(readers) == Readers {
			return readers
		}
	}
	return namesOf(all[:min(Readers, len(all))])
}

func namesOf(vms []lease.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

// turned begins a list anywhere, so that the VMs ask different ones first.
func (f *Follower) turned(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(f.Self) % uint64(len(names)))
	return slices.Concat(names[first:], names[:first])
}

// Next implements platform.Mirror.
func (f *Follower) Next(ctx context.Context, version history.Version) (platform.Page, bool) {
	for ctx.Err() == nil {
		now := f.part()
		if now.reads {
			return platform.Page{}, false
		}
		for _, vm := range now.sources {
			if f.inDoubt(vm) {
				continue
			}
			if page, ok := f.learn(ctx, vm, version); ok {
				return page, true
			}
			if now.spacing == 0 {
				break // the platform answers sooner than a second VM that may be lost, too
			}
		}
		if f.ownTurn(now.spacing) {
			return platform.Page{}, false
		}
		pause(ctx, lookAgain)
	}
	return platform.Page{}, false
}

func (f *Follower) inDoubt(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return vm == f.Self || f.Now() < f.doubts[vm]
}

// learn asks a VM. It returns false when that has nothing to be believed.
func (f *Follower) learn(ctx context.Context, vm string, version history.Version) (platform.Page, bool) {
	sent, wait, limit := f.Now(), Wait, Wait+callTimeout
	if version == 0 && !f.FirstStart {
		wait, limit = startWait, startTimeout
	}
	asked, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	response, err := f.Ask(asked, vm, &entriesv1.ChangesRequest{Known: uint64(version), WaitMillis: uint32(wait.Milliseconds())})
	var page platform.Page
	var proof Proof
	ok := false
	if err == nil {
		page, proof, ok = decode(f.Kind, response, sent)
	}
	if !ok || page.Version.History() < version.History() || f.Now()-proof.At > believed {
		metrics.GetOrCreateCounter(`oleandershunt_mirror_answers_total{result="nothing"}`).Inc()
		f.mu.Lock()
		f.doubts[vm] = f.Now() + doubted
		f.mu.Unlock()
		return platform.Page{}, false
	}
	metrics.GetOrCreateCounter(`oleandershunt_mirror_answers_total{result="learnt"}`).Inc()
	if f.log.learnt(proof) {
		f.log.sink.Broken(platform.ErrUnavailable)
	}
	return page, true
}

// ownTurn tells whether this VM may read the platform now though it isn't a reader.
func (f *Follower) ownTurn(spacing time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.own > 0 && now-f.own < spacing {
		return false
	}
	f.own = now
	return true
}

func pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
