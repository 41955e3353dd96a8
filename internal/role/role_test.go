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

// fakeStore is one object of the platform.
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

// pair is two VMs of a data centre on one clock.
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

// pass lets time pass; paused VMs do nothing.
func (p *pair) pass(d time.Duration, paused ...int) (holders []int) {
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

// Symptom: two VMs order the same server. Sequence: the holder is paused past
// its lease; another takes the role; the holder wakes. Cause: the end of the
// lease not looked at, or the lease taken while it still holds.
func TestPausedHolderLosesTheRoleBeforeAnotherHasIt(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.pass(4 * time.Second)).To(Equal([]int{0}))
	first := p.roles[0].Tenure()
	for p.now < first.Until {
		g.Expect(p.pass(roleInterval, 0)).NotTo(ContainElement(1), "the lease still holds")
	}
	g.Expect(p.pass(leaseTime+2*roleInterval, 0)).To(Equal([]int{1}))
	g.Expect(p.pass(4*time.Second)).To(Equal([]int{1}), "the woken holder finds a new version and gives up")
	g.Expect(p.roles[1].Tenure().Epoch).To(Equal(first.Epoch + 1))
}

// Symptom: the role changes hands at each outage of the platform, or is held
// twice. Sequence: the platform is down for longer than the lease. Cause: a
// lease that could not be renewed taken for one that was given up.
func TestOutageEndsTheTenureAndLetsTheHolderRenewFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.pass(4 * time.Second)
	p.store.down = true
	g.Expect(p.pass(2*leaseTime)).To(BeEmpty(), "nobody orders without a lease")
	p.store.down = false
	g.Expect(p.pass(roleInterval, 0)).To(BeEmpty(), "one reading doesn't show another VM that the lease has lapsed")
	g.Expect(p.pass(roleInterval)).To(Equal([]int{0}), "the holder goes on at once")
}

// Symptom: no layers are ordered for five seconds after a restart, an outage or a
// loss of power. Sequence: the holder's process ends; the VM's next one starts.
// Cause: the lease in its own VM's name is waited out like a stranger's.
func TestTheNextProcessOfAHoldersVMTakesTheRoleAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.pass(4 * time.Second)).To(Equal([]int{0}))
	before := p.roles[0].Tenure()
	old := p.roles[0]
	options := old.Options
	options.Self.Incarnation = "2"
	p.roles[0] = New(options)
	g.Expect(p.pass(roleInterval)).To(Equal([]int{0}))
	g.Expect(p.roles[0].Tenure().Epoch).To(Equal(before.Epoch + 1))
	// Were the old process there after all, its next renewal would show it that it lost.
	old.Step(context.Background(), p.vms)
	g.Expect(old.Held()).To(BeFalse())
}

// Symptom: both VMs give orders after an outage. Sequence: another VM took the
// role while the former holder was cut off; then the holder is back. Cause: the
// former holder goes on by its own memory in place of the platform's record.
func TestAFormerHolderDoesNotTakeTheRoleBack(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.pass(4 * time.Second)).To(Equal([]int{0}))
	g.Expect(p.pass(leaseTime+3*roleInterval, 0)).To(Equal([]int{1}))
	g.Expect(p.pass(2 * leaseTime)).To(Equal([]int{1}))
}

// Symptom: no orders for a while after each planned stop. Sequence: the holder
// stops as planned. Cause: its lease is waited out though it was given up.
func TestReleasedRoleIsTakenAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	p.pass(4 * time.Second)
	p.roles[0].Release(context.Background())
	g.Expect(p.pass(roleInterval, 0)).To(Equal([]int{1}))
}

// Symptom: the looks of a data centre's VMs at a role that is held are most of the reads
// of the platform. Cause: each look reads, though the holder could tell. When the holder
// falls silent, the platform is read, and the role taken, as soon as without its word.
func TestLooksAtAHeldRoleAskItsHolder(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	ctx := context.Background()
	holder, other := p.roles[0], p.roles[1]
	silent, reads := false, 0
	counted := &readCounter{fakeStore: p.store, reads: &reads}
	other.Store = counted
	other.Ask = func(_ context.Context, role string, vm lease.VM) (history.Version, bool) {
		g.Expect(role).To(Equal(holder.Name))
		g.Expect(vm.Name).To(Equal(holder.Self.Name))
		tenure := holder.Tenure()
		return tenure.Version, tenure.Held && !silent
	}
	for range 10 {
		holder.Step(ctx, p.vms)
		other.Step(ctx, p.vms)
		p.now += roleInterval
	}
	g.Expect(reads).To(Equal(1), "the first look finds out who holds it")
	silent = true
	lost := p.now
	for !other.Held() && p.now < lost+time.Minute {
		other.Step(ctx, p.vms)
		p.now += roleInterval
	}
	g.Expect(other.Held()).To(BeTrue())
	// Lease, a place in the rank, and two looks.
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

// Symptom: when all VMs start, each reads every role. Cause: those that don't come first
// look at once, and then all at the same pace, however many they are.
func TestVMsThatDoNotComeFirstLookLaterAndTogetherSeldom(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	var many []lease.VM
	for i := range 40 {
		many = append(many, lease.VM{Name: fmt.Sprint("vm-", 10+i), DataCentre: "bornova"})
	}
	ranked := lease.Rank("placement-bornova", "bornova", many)
	reads := 0
	last := New(Options{
		Store: &readCounter{fakeStore: p.store, reads: &reads}, Kind: "Lease", Name: "placement-bornova", Self: ranked[39], Candidates: 2,
		Times: Times{Lease: leaseTime, Interval: roleInterval, Seldom: 7 * time.Second, SeldomPerVM: 500 * time.Millisecond},
		Now:   func() time.Duration { return p.now },
	})
	last.Step(context.Background(), many)
	g.Expect(reads).To(BeZero())
	p.now += 7*time.Second + 20*time.Second
	last.Step(context.Background(), many)
	g.Expect(reads).To(Equal(1))
	p.now += 20 * time.Second
	last.Step(context.Background(), many)
	g.Expect(reads).To(Equal(1))
}

// Guards against: a lease that the store lost counts as held, or is never taken anew.
func TestALeaseThatTheStoreLostIsClaimedAnew(t *testing.T) {
	g := NewWithT(t)
	p := newPair()
	g.Expect(p.pass(4 * time.Second)).To(Equal([]int{0}))
	next, err := history.At(1, 1)
	g.Expect(err).NotTo(HaveOccurred())
	p.store.exists, p.store.version, p.store.object = false, next, platform.Object{}
	p.pass(roleInterval)
	g.Expect(p.roles[1].Held()).To(BeFalse())
	g.Expect(p.pass(2 * roleInterval)).To(Equal([]int{0}))
	g.Expect(p.store.object.Version.History()).To(BeEquivalentTo(1))
	g.Expect(p.roles[0].Tenure().Version).To(Equal(p.store.object.Version))
}
