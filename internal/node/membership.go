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

// kindMember is the kind of the platform objects in which VMs publish their addresses.
const kindMember = "Member"

// Intervals between calls to the platform. Both lists grow with the fleet, so the
// interval between two reads does too; this keeps the bytes per second constant.
const (
	memberInterval          = 2 * time.Second
	memberIntervalPerMember = 250 * time.Millisecond
	listInterval            = 2 * time.Second
	listIntervalPerVM       = 80 * time.Millisecond
	// deadMemberRetention is how long the object of a VM that is gone is kept.
	deadMemberRetention = 5 * time.Minute
)

// contacts are addresses at which VMs may be reached: the configured seeds and
// those listed in the platform. Any of them may be stale.
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

// membership publishes this VM in the platform, and reads from it the addresses of
// other VMs and the platform's list of VMs. The platform may lag or be down: its
// data is only the gossip's initial contacts, and one more source of evidence for
// the core.
type membership struct {
	log       logr.Logger
	platform  *platform.Client
	directory *peer.Directory
	contacts  *contacts
	gossip    *gossip.Gossip
	loop      *loop.Loop
	self      peer.Member
	// publishMu guards version, which is 0 while this VM's object isn't
	// published, and withdrawn, after which it must not be published again. It is
	// held during the calls to the platform.
	publishMu sync.Mutex
	version   history.Version
	withdrawn bool
	// missingSince is the time since which a VM with an object has been missing
	// from the directory.
	missingSince map[string]time.Time
	listed       []fleet.PlatformEntry
	// listUnavailable is set while the platform's list of VMs can't be read.
	listUnavailable bool
}

func addMembership(group *run.Group, c *components) {
	m := &membership{
		log:          c.log,
		platform:     c.platform,
		directory:    c.directory,
		contacts:     c.contacts,
		gossip:       c.gossip,
		loop:         c.loop,
		self:         c.self,
		missingSince: make(map[string]time.Time),
	}
	// Hooks run in reverse order, so this one runs after those of actors that are
	// added later.
	c.drain.OnDrain(func(ctx context.Context) {
		c.gossip.Left(ctx)
		m.withdraw(ctx)
	})
	actors.AddContext(group, func(ctx context.Context) error {
		return repeat(ctx, func() time.Duration { return m.refreshMembers(ctx) })
	})
	actors.AddContext(group, func(ctx context.Context) error {
		return repeat(ctx, func() time.Duration { return m.refreshList(ctx) })
	})
}

// repeat calls a function until ctx ends. The delay before the next call is the
// duration that the last one returned, with a jitter of 50%.
func repeat(ctx context.Context, call func() time.Duration) error {
	for {
		wait := call()
		sleep(ctx, wait/2+rand.N(wait))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// refreshMembers publishes this VM if it isn't published, reads the addresses of
// the other VMs, and returns the time until the next read.
func (m *membership) refreshMembers(ctx context.Context) time.Duration {
	if m.unpublished() {
		// Publish before listing, so that of two VMs that start at the same time
		// at least one sees the other. If both listed first, neither would see the
		// other until the next refresh.
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
		m.deleteIfDead(ctx, object, member)
	}
	m.contacts.set(addresses)
	m.gossip.Meet(ctx)
	if !found {
		_ = m.publish(ctx)
	}
	return memberInterval + time.Duration(len(list.Items))*memberIntervalPerMember
}

func (m *membership) unpublished() bool {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	return m.version == 0
}

// publish writes this VM's object, replacing that of an earlier process of the
// same name.
func (m *membership) publish(ctx context.Context) error {
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
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
	m.publishMu.Lock()
	defer m.publishMu.Unlock()
	m.withdrawn = true
	if m.version != 0 {
		_ = m.platform.Delete(ctx, kindMember, m.self.Name, m.version)
	}
}

// deleteIfDead deletes the object of a VM that has been gone for
// deadMemberRetention. Killed VMs leave their objects behind, and hundreds of VMs
// are replaced each day. One VM does it; if the VM was alive after all, it
// publishes itself again.
func (m *membership) deleteIfDead(ctx context.Context, object platform.Object, member peer.Member) {
	if _, known := m.directory.Member(member.Name); known {
		delete(m.missingSince, member.Name)
		return
	}
	since, ok := m.missingSince[member.Name]
	if !ok {
		m.missingSince[member.Name] = time.Now()
		return
	}
	if time.Since(since) < deadMemberRetention || !m.responsibleFor(member) {
		return
	}
	delete(m.missingSince, member.Name)
	_ = m.platform.Delete(ctx, kindMember, member.Name, object.Version)
}

// responsibleFor reports whether this VM is the one to delete a VM's object. It is
// chosen among the VMs of the same data centre, since only these know for sure
// that the VM is gone.
func (m *membership) responsibleFor(member peer.Member) bool {
	var candidates []string
	for _, other := range m.directory.Members() {
		if other.DataCentre == member.DataCentre {
			candidates = append(candidates, other.Name)
		}
	}
	chosen := fleet.Observers(member.Name, candidates, 1)
	return len(chosen) == 1 && chosen[0] == m.self.Name
}

// refreshList reads the platform's list of VMs, which includes the backend
// servers, and returns the time until the next read.
func (m *membership) refreshList(ctx context.Context) time.Duration {
	vms, err := m.platform.VMs(ctx)
	if ctx.Err() != nil {
		return listInterval
	}
	if err != nil {
		if !m.listUnavailable {
			telemetry.ListLost.Fail(m.log, err)
		}
		m.listUnavailable = true
		return listInterval
	}
	if m.listUnavailable {
		telemetry.ListBack.Log(m.log)
	}
	m.listUnavailable = false
	listed := make([]fleet.PlatformEntry, 0, len(vms))
	for _, vm := range vms {
		listed = append(listed, fleet.PlatformEntry{Name: vm.Name, Leaving: vm.State == platform.VMLeaving})
	}
	if !slices.Equal(listed, m.listed) {
		m.listed = listed
		m.loop.Post(core.PlatformListed{Servers: listed})
	}
	return listInterval + time.Duration(len(vms))*listIntervalPerVM
}
