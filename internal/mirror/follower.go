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

// Limits and timeouts for fetching changes from other VMs.
const (
	// ReaderCount is how many VMs of the deployment read the platform for the others, in
	// two data centres if there are two, and how many VMs of each data centre
	// fetch from those readers and serve the rest of their data centre. With two, the
	// loss of one VM or of its network path costs the others no more than the next
	// request.
	ReaderCount = 2
	// backupReaders is how many further VMs of a data centre are tried when the first
	// ones have no valid answer. Backup readers read the platform themselves in that
	// case.
	backupReaders = 2
	// LongPollWait is how long another VM may hold a request open until something
	// changes. A VM that dies silently is noticed after LongPollWait plus callTimeout;
	// then another VM is asked, or the platform is read. A departure that only the dead
	// VM had seen is therefore known 0.9 s later.
	LongPollWait = 500 * time.Millisecond
	// callTimeout is added to the wait to bound a request. An answer takes a millisecond
	// or two, and up to 100 ms with hundreds of entries over the link of a small VM.
	callTimeout = 400 * time.Millisecond
	// startWait and startTimeout bound the first request of a restarted VM, which has no
	// objects yet but already has callers: the platform answers within some
	// milliseconds. With the longer limits, 13 more callers were refused after a power
	// loss of nine VMs.
	startWait    = 50 * time.Millisecond
	startTimeout = 100 * time.Millisecond
	// maxProofAge is the age up to which a proof is valid: the watch of a reader gets an
	// answer every 2 s, and is considered silent 0.7 s later when the path to the
	// platform is cut.
	maxProofAge = 3 * time.Second
	// sourceBackoff is how long a VM that gave no valid answer is skipped.
	sourceBackoff = 500 * time.Millisecond
	// retryInterval is the time between two passes over the sources.
	retryInterval = 100 * time.Millisecond
	// fallbackSpacing, times the position of the VM in its data centre, is the minimum
	// time between two direct reads of the platform when no source has a valid answer.
	// While the platform is unavailable, the VMs of a data centre of 40 make some 40
	// calls a second together instead of 100.
	fallbackSpacing = 100 * time.Millisecond
)

// Fetch requests changes from a VM, given by its name or address.
type Fetch func(ctx context.Context, vm string, request *entriesv1.ChangesRequest) (*entriesv1.ChangesResponse, error)

// Options configures a Follower.
type Options struct {
	// Kind is the kind of the objects.
	Kind string
	// Self is the name of this VM.
	Self string
	// Settled reports whether the VMs have had time to discover one another
	// since the start.
	Settled func() bool
	// Contacts are the addresses to fetch from before that, and IsContact reports that this VM
	// is one of them: it reads the platform until then.
	Contacts  []string
	IsContact bool
	// All lists the live VMs including this one, and Near those in its data
	// centre, both in the order in which they become readers. VMs with the same
	// membership view have the same order.
	All, Near func() []lease.VM
	// FirstStart is true when all VMs start for the first time and have no callers yet.
	FirstStart bool
	// Ask requests changes from another VM.
	Ask Fetch
	// Now returns the time since the start of the VM, including time suspended.
	Now func() time.Duration
}

// Follower fetches the changes that a Log lacks from the VMs that read the platform.
type Follower struct {
	Options
	log *Log

	mu sync.Mutex
	// backoffUntil is the time until which a VM is skipped, by name or address.
	backoffUntil map[string]time.Duration
	// lastFallback is when this VM last read the platform directly without being a
	// reader.
	lastFallback time.Duration
}

var _ platform.Mirror = (*Follower)(nil)

// NewFollower returns a Follower that fills a log.
func NewFollower(log *Log, options Options) *Follower {
	return &Follower{Options: options, log: log, backoffUntil: make(map[string]time.Duration)}
}

// Answered implements platform.Mirror.
func (f *Follower) Answered() { f.log.recordPlatformAnswer() }

// Reads implements platform.Mirror.
func (f *Follower) Reads() bool { return f.assignment().reads }

// Tells reports whether this VM reads the platform itself, so that other VMs
// can fetch from it.
func (f *Follower) Tells() bool { return f.Reads() || f.log.readsPlatform() }

// assignment says whether this VM reads the platform, and which VMs it fetches from
// otherwise.
type assignment struct {
	// reads is true if this VM reads the platform for the others.
	reads bool
	// sources are the VMs to fetch from, in order of preference.
	sources []string
	// spacing is the minimum time between two direct reads of the platform when no
	// source has a valid answer.
	spacing time.Duration
}

// assignment returns the current assignment of this VM.
func (f *Follower) assignment() assignment {
	if !f.Settled() {
		return assignment{reads: f.IsContact, sources: f.rotated(f.Contacts)}
	}
	readers := chooseReaders(f.All())
	if slices.Contains(readers, f.Self) {
		return assignment{reads: true}
	}
	near := f.Near()
	position := lease.Position(near, f.Self) // the last position for a VM that is stopping
	if position < ReaderCount {
		return assignment{sources: f.rotated(readers)}
	}
	limit := ReaderCount + backupReaders
	if position < limit {
		// Backup readers read the platform rather than fetch from one another.
		return assignment{sources: f.rotated(vmNames(near[:ReaderCount]))}
	}
	sources := f.rotated(vmNames(near[:min(ReaderCount, len(near))]))
	sources = append(sources, vmNames(near[len(sources):min(limit, len(near))])...)
	return assignment{sources: sources, spacing: time.Duration(position) * fallbackSpacing}
}

// chooseReaders returns the VMs that read the platform for all: the first one, and the
// first one of another data centre.
func chooseReaders(all []lease.VM) []string {
	var readers []string
	for _, vm := range all {
		if len(readers) == 0 || vm.DataCentre != all[0].DataCentre {
			readers = append(readers, vm.Name)
		}
		if len(readers) == ReaderCount {
			return readers
		}
	}
	return vmNames(all[:min(ReaderCount, len(all))])
}

func vmNames(vms []lease.VM) []string {
	names := make([]string, len(vms))
	for i, vm := range vms {
		names[i] = vm.Name
	}
	return names
}

// rotated returns the names starting at an offset derived from this VM's name, so that
// the VMs spread their requests.
func (f *Follower) rotated(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	first := int(xxhash.Sum64String(f.Self) % uint64(len(names)))
	return slices.Concat(names[first:], names[:first])
}

// Next implements platform.Mirror.
func (f *Follower) Next(ctx context.Context, version history.Version) (platform.Page, bool) {
	for ctx.Err() == nil {
		current := f.assignment()
		if current.reads {
			return platform.Page{}, false
		}
		for _, vm := range current.sources {
			if f.backedOff(vm) {
				continue
			}
			if page, ok := f.fetchFrom(ctx, vm, version); ok {
				return page, true
			}
			if current.spacing == 0 {
				break // the platform answers sooner than a second VM, which may be lost as well
			}
		}
		if f.mayReadDirectly(current.spacing) {
			return platform.Page{}, false
		}
		sleep(ctx, retryInterval)
	}
	return platform.Page{}, false
}

func (f *Follower) backedOff(vm string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return vm == f.Self || f.Now() < f.backoffUntil[vm]
}

// fetchFrom requests changes from a VM. It returns false without a valid answer.
func (f *Follower) fetchFrom(ctx context.Context, vm string, version history.Version) (platform.Page, bool) {
	sent, wait, timeout := f.Now(), LongPollWait, LongPollWait+callTimeout
	if version == 0 && !f.FirstStart {
		wait, timeout = startWait, startTimeout
	}
	fetchCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := f.Ask(fetchCtx, vm, &entriesv1.ChangesRequest{Known: uint64(version), WaitMillis: uint32(wait.Milliseconds())})
	var page platform.Page
	var proof Proof
	ok := false
	if err == nil {
		page, proof, ok = decode(f.Kind, response, sent)
	}
	if !ok || page.Version.History() < version.History() || f.Now()-proof.VerifiedAt > maxProofAge {
		metrics.GetOrCreateCounter(`oleandershunt_mirror_answers_total{result="nothing"}`).Inc()
		f.mu.Lock()
		f.backoffUntil[vm] = f.Now() + sourceBackoff
		f.mu.Unlock()
		return platform.Page{}, false
	}
	metrics.GetOrCreateCounter(`oleandershunt_mirror_answers_total{result="learnt"}`).Inc()
	if f.log.mergeProof(proof) {
		f.log.sink.Broken(platform.ErrUnavailable)
	}
	return page, true
}

// mayReadDirectly reports whether this VM may read the platform now without being a
// reader.
func (f *Follower) mayReadDirectly(spacing time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	if f.lastFallback > 0 && now-f.lastFallback < spacing {
		return false
	}
	f.lastFallback = now
	return true
}

func sleep(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
