package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/history"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// kindMember is the platform's kind of object in which each VM says where it is.
const kindMember = "Member"

// The pace of calls to the platform. Both lists grow with the fleet, so the
// time between two reads does too: their bytes per second stay the same.
const (
	memberInterval     = 2 * time.Second
	memberIntervalEach = 250 * time.Millisecond
	listInterval       = 2 * time.Second
	listIntervalEach   = 80 * time.Millisecond
	// deadMemberKept is how long the object of a VM that is gone is left alone.
	deadMemberKept = 5 * time.Minute
)

// contacts are addresses at which VMs may be found. Any of them may be stale.
type contacts struct {
	seeds []string

	mu     sync.Mutex
	listed []string
}

func newContacts(seeds []string) *contacts { return &contacts{seeds: seeds} }

func (c *contacts) list() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Concat(c.seeds, c.listed)
}

func (c *contacts) set(listed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = listed
}

// membership publishes this VM in the platform, learns the addresses of others
// from it and reads its list of VMs. All of it may lag or be down: it only gives
// the gossip somebody to start with, and the core one more witness.
type membership struct {
	log       logr.Logger
	platform  *platform.Client
	directory *peer.Directory
	contacts  *contacts
	gossip    *gossip.Gossip
	loop      *loop.Loop
	self      peer.Member
	// publishing guards the version of this VM's object, 0 when it isn't
	// published, and withdrawn, after which it must not be published again.
	publishing sync.Mutex
	version    history.Version
	withdrawn  bool
	// missing is since when a VM with an object has been missing in the directory.
	missing map[string]time.Time
	listed  []fleet.PlatformEntry
	lost    bool
}

func addMembership(group *run.Group, p *parts) {
	m := &membership{
		log:       p.log,
		platform:  p.platform,
		directory: p.directory,
		contacts:  p.contacts,
		gossip:    p.gossip,
		loop:      p.loop,
		self:      p.self,
		missing:   make(map[string]time.Time),
	}
	// Registered before the hooks of duties that are added later, it runs after them.
	p.drain.OnDrain(func(ctx context.Context) {
		p.gossip.Left(ctx)
		m.withdraw(ctx)
	})
	actors.AddContext(group, func(ctx context.Context) error {
		return repeat(ctx, func() time.Duration { return m.refreshMembers(ctx) })
	})
	actors.AddContext(group, func(ctx context.Context) error {
		return repeat(ctx, func() time.Duration { return m.refreshList(ctx) })
	})
}

// repeat calls a function until ctx ends, each time after about the time that
// the former call returned.
func repeat(ctx context.Context, call func() time.Duration) error {
	for {
		wait := call()
		sleep(ctx, wait/2+rand.N(wait))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func (m *membership) refreshMembers(ctx context.Context) time.Duration {
	if m.unpublished() {
		// Before the list: of two VMs that start together one then sees the
		// other. Neither would if both listed first, until the next time.
		_ = m.publish(ctx)
	}
	list, err := m.platform.List(ctx, kindMember, "")
	if err != nil {
		return memberInterval
	}
	var addresses []string
	found := false
	for _, object := range list.Items {
		var member peer.Member
		if json.Unmarshal(object.Value, &member) != nil || member.Deployment != m.self.Deployment {
			continue
		}
		if member.Name == m.self.Name {
			found = member.Incarnation == m.self.Incarnation
			continue
		}
		addresses = append(addresses, member.Address)
		m.clean(ctx, object, member)
	}
	m.contacts.set(addresses)
	m.gossip.Meet(ctx)
	if !found {
		_ = m.publish(ctx)
	}
	return memberInterval + time.Duration(len(list.Items))*memberIntervalEach
}

func (m *membership) unpublished() bool {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	return m.version == 0
}

// publish writes this VM's object over that of an earlier process under the name.
func (m *membership) publish(ctx context.Context) error {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	if m.withdrawn {
		return nil
	}
	object, err := m.platform.Get(ctx, kindMember, m.self.Name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		object, err = m.platform.Create(ctx, kindMember, m.self.Name, m.self)
	case err == nil:
		object, err = m.platform.Update(ctx, kindMember, m.self.Name, object.Version, m.self)
	}
	if err == nil {
		m.version = object.Version
	}
	return err
}

// withdraw deletes this VM's object after a planned stop.
func (m *membership) withdraw(ctx context.Context) {
	m.publishing.Lock()
	defer m.publishing.Unlock()
	m.withdrawn = true
	if m.version != 0 {
		_ = m.platform.Delete(ctx, kindMember, m.self.Name, m.version)
	}
}

// clean deletes the object of a VM that has been gone for long. VMs that are
// killed leave theirs behind, and hundreds are replaced each day. One VM does
// it; should it be wrong, the VM concerned publishes itself again.
func (m *membership) clean(ctx context.Context, object platform.Object, member peer.Member) {
	if _, listed := m.directory.Member(member.Name); listed {
		delete(m.missing, member.Name)
		return
	}
	since, ok := m.missing[member.Name]
	if !ok {
		m.missing[member.Name] = time.Now()
		return
	}
	if time.Since(since) < deadMemberKept || !m.cleans(member) {
		return
	}
	delete(m.missing, member.Name)
	_ = m.platform.Delete(ctx, kindMember, member.Name, object.Version)
}

// cleans tells whether this VM is the one to delete a VM's object: one of the
// same data centre, since only there is it known for sure to be gone.
func (m *membership) cleans(member peer.Member) bool {
	var near []string
	for _, other := range m.directory.Members() {
		if other.DataCentre == member.DataCentre {
			near = append(near, other.Name)
		}
	}
	chosen := fleet.Observers(member.Name, near, 1)
	return len(chosen) == 1 && chosen[0] == m.self.Name
}

// refreshList reads the platform's list of VMs, which names backend servers as well.
func (m *membership) refreshList(ctx context.Context) time.Duration {
	vms, err := m.platform.VMs(ctx)
	if ctx.Err() != nil {
		return listInterval
	}
	if err != nil {
		if !m.lost {
			telemetry.ListLost.Fail(m.log, err)
		}
		m.lost = true
		return listInterval
	}
	if m.lost {
		telemetry.ListBack.Log(m.log)
	}
	m.lost = false
	listed := make([]fleet.PlatformEntry, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, fleet.PlatformEntry{Name: vm.Name, Leaving: vm.State == platform.VMLeaving})
	}
	if !slices.Equal(listed, m.listed) {
		m.listed = listed
		m.loop.Post(core.PlatformListed{Servers: listed})
	}
	return listInterval + time.Duration(len(vms))*listIntervalEach
}
