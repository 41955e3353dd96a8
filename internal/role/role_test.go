package role

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/platform"
)

const (
	leaseTime    = 9 * time.Second
	roleInterval = 2 * time.Second
)

// fakeStore is a platform with a single object.
type fakeStore struct {
	object  platform.Object
	exists  bool
	down    bool
	version history.Version
}

func (f *fakeStore) Get(context.Context, string, string) (platform.Object, error) {
	switch {
	case f.down:
		return platform.Object{}, platform.ErrUnavailable
	case !f.exists:
		return platform.Object{}, platform.ErrNotFound
	}
	return f.object, nil
}

func (f *fakeStore) Create(_ context.Context, _, _ string, value any) (platform.Object, error) {
	if f.exists {
		return platform.Object{}, platform.ErrConflict
	}
	return f.put(value)
}

func (f *fakeStore) Update(_ context.Context, _, _ string, version history.Version, value any) (platform.Object, error) {
	if !f.down && version != f.object.Version {
		return platform.Object{}, platform.ErrConflict
	}
	return f.put(value)
}

func (f *fakeStore) put(value any) (platform.Object, error) {
	if f.down {
		return platform.Object{}, platform.ErrUnavailable
	}
	data, err := json.Marshal(value)
	f.version++
	f.exists, f.object = true, platform.Object{Version: f.version, Value: data}
	return f.object, err
}

// pair simulates two VMs of one data centre with a shared clock.
type pair struct {
	store *fakeStore
	now   time.Duration
	vms   []lease.VM
	roles []*Role
}

func newPair() *pair {
	p := &pair{store: &fakeStore{}, vms: []lease.VM{{Name: "vm-1", DataCentre: "bornova"}, {Name: "vm-2", DataCentre: "bornova"}}}
	for _, vm := range lease.Rank("placement-bornova", "bornova", p.vms) {
		p.roles = append(p.roles, New(Options{
			Store: p.store, Kind: "Lease", Name: "placement-bornova", Self: vm, Candidates: 2,
			Times: Times{Lease: leaseTime, Interval: roleInterval}, Now: func() time.Duration { return p.now },
		}))
	}
	return p
}

// advance steps the roles of the VMs for a duration, except on a paused VM, and returns
// the holders at its end.
func (p *pair) advance(d time.Duration, paused ...int) (holders []int) {
	for end := p.now + d; p.now < end; p.now += roleInterval {
		for i, r := range p.roles {
			if len(paused) == 0 || paused[0] != i {
				r.Step(context.Background(), p.vms)
			}
		}
	}
	for i, r := range p.roles {
		if r.Held() {
			holders = append(holders, i)
		}
	}
	return holders
}

// Guards against two VMs that control the same backend server: the holder is paused past
// the end of its lease, another VM acquires the role, and the holder resumes without
// checking the expiry; or the other VM acquires the lease before it has expired.
func TestPausedHolderLosesTheRoleBeforeAnotherHasIt(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.advance(4 * time.Second)).To(Equal([]int{0}))
	first := p.roles[0].LeaseState()
	for p.now < first.Until {
		g.Expect(p.advance(roleInterval, 0)).NotTo(ContainElement(1), "the lease has not expired")
	}
	g.Expect(p.advance(leaseTime+2*roleInterval, 0)).To(Equal([]int{1}))
	g.Expect(p.advance(4*time.Second)).To(Equal([]int{1}), "the resumed holder reads a new version and gives up the role")
	g.Expect(p.roles[1].LeaseState().Epoch).To(Equal(first.Epoch + 1))
}

// Guards against treating a lease that could not be renewed as given up: during an outage
// of the platform that outlasts the lease, the role would change holders or be held twice.
func TestOutageExpiresTheLeaseAndLetsTheHolderRenewFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.advance(4 * time.Second)
	p.store.down = true
	g.Expect(p.advance(2*leaseTime)).To(BeEmpty(), "no VM may act without a lease")
	p.store.down = false
	g.Expect(p.advance(roleInterval, 0)).To(BeEmpty(), "after a single read another VM can't consider the lease expired")
	g.Expect(p.advance(roleInterval)).To(Equal([]int{0}), "the holder resumes at once")
}

// Guards against a gap of five seconds in the placement of layers after a restart, an
// outage or a power loss: the holder's VM starts a new process, which waits for the lease
// in its own VM's name to expire as if another VM held it.
func TestRestartedHolderTakesTheRoleAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.advance(4 * time.Second)).To(Equal([]int{0}))
	before := p.roles[0].LeaseState()
	old := p.roles[0]
	options := old.Options
	options.Self.Incarnation = "2"
	p.roles[0] = New(options)
	g.Expect(p.advance(roleInterval)).To(Equal([]int{0}))
	g.Expect(p.roles[0].LeaseState().Epoch).To(Equal(before.Epoch + 1))
	// If the old process were still running, its next renewal would show that it lost the role.
	old.Step(context.Background(), p.vms)
	g.Expect(old.Held()).To(BeFalse())
}

// Guards against both VMs acting in the role: another VM acquires the role while the
// holder is partitioned, and the former holder then trusts its in-memory state instead of
// the platform's record.
func TestFormerHolderDoesNotReclaimTheRole(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.advance(4 * time.Second)).To(Equal([]int{0}))
	g.Expect(p.advance(leaseTime+3*roleInterval, 0)).To(Equal([]int{1}))
	g.Expect(p.advance(2 * leaseTime)).To(Equal([]int{1}))
}

// Guards against a gap in the role after each planned stop of its holder, if the
// successor waits for a released lease to expire.
func TestReleasedRoleIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.advance(4 * time.Second)
	p.roles[0].Release(context.Background())
	g.Expect(p.advance(roleInterval, 0)).To(Equal([]int{1}))
}

// Guards against checks of held roles causing most of the reads of the platform: a check
// must query the holder first. When the holder stops answering, the platform must be read
// and the role acquired as early as without these queries.
func TestCheckOfAHeldRoleQueriesItsHolder(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	ctx := context.Background()
	holder, other := p.roles[0], p.roles[1]
	unresponsive, reads := false, 0
	counted := &readCounter{fakeStore: p.store, reads: &reads}
	other.Store = counted
	other.QueryHolder = func(_ context.Context, role string, vm lease.VM) (history.Version, bool) {
		g.Expect(role).To(Equal(holder.Name))
		g.Expect(vm.Name).To(Equal(holder.Self.Name))
		tenure := holder.LeaseState()
		return tenure.Version, tenure.Held && !unresponsive
	}
	for range 10 {
		holder.Step(ctx, p.vms)
		other.Step(ctx, p.vms)
		p.now += roleInterval
	}
	g.Expect(reads).To(Equal(1), "the first check reads who holds the role")
	unresponsive = true
	lost := p.now
	for !other.Held() && p.now < lost+time.Minute {
		other.Step(ctx, p.vms)
		p.now += roleInterval
	}
	g.Expect(other.Held()).To(BeTrue())
	// The lease, one position in the ranking, and two checks.
	g.Expect(p.now - lost).To(BeNumerically("<=", leaseTime+3*roleInterval))
}

// readCounter counts the reads of a store.
type readCounter struct {
	*fakeStore
	reads *int
}

func (c *readCounter) Get(ctx context.Context, kind, name string) (platform.Object, error) {
	*c.reads++
	return c.fakeStore.Get(ctx, kind, name)
}

// Guards against every VM reading every role when all VMs start: VMs that aren't
// candidates must not check at once, and their interval must grow with the number of VMs.
func TestNonCandidatesCheckLaterAndAtABoundedTotalRate(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	var vms []lease.VM
	for i := range 40 {
		vms = append(vms, lease.VM{Name: fmt.Sprint("vm-", 10+i), DataCentre: "bornova"})
	}
	ranked := lease.Rank("placement-bornova", "bornova", vms)
	reads := 0
	nonCandidate := New(Options{
		Store: &readCounter{fakeStore: p.store, reads: &reads}, Kind: "Lease", Name: "placement-bornova", Self: ranked[39], Candidates: 2,
		Times: Times{Lease: leaseTime, Interval: roleInterval, BackgroundInterval: 7 * time.Second, BackgroundIntervalPerVM: 500 * time.Millisecond},
		Now:   func() time.Duration { return p.now },
	})
	nonCandidate.Step(context.Background(), vms)
	g.Expect(reads).To(BeZero())
	p.now += 7*time.Second + 20*time.Second
	nonCandidate.Step(context.Background(), vms)
	g.Expect(reads).To(Equal(1))
	p.now += 20 * time.Second
	nonCandidate.Step(context.Background(), vms)
	g.Expect(reads).To(Equal(1))
}

// Guards against a lease that the store has lost counting as held, or never being acquired again.
func TestLeaseLostByTheStoreIsAcquiredAgain(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.advance(4 * time.Second)).To(Equal([]int{0}))
	next, err := history.NewVersion(1, 1)
	g.Expect(err).NotTo(HaveOccurred())
	p.store.exists, p.store.version, p.store.object = false, next, platform.Object{}
	p.advance(roleInterval)
	g.Expect(p.roles[1].Held()).To(BeFalse())
	g.Expect(p.advance(2 * roleInterval)).To(Equal([]int{0}))
	g.Expect(p.store.object.Version.History()).To(BeEquivalentTo(1))
	g.Expect(p.roles[0].LeaseState().Version).To(Equal(p.store.object.Version))
}
