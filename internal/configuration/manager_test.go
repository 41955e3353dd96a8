package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/history"
	configv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
)

func TestRecordsComeInForceOnEveryVM(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "a", "a", "b", "b", "b", "c", "c", "c")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	version = d.model("scorer", "w2")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.expectIncreasing()
}

// Two operators read the same record and both write it. The second write must fail,
// since an unconditional write would silently overwrite an accepted change.
func TestTwoOperatorsRaceOnOneRecord(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	first := d.model("scorer", "w1")
	document, err := api.NewDocument(api.KindModel, "scorer", api.ModelSpec{Layers: 4, Version: "w2"})
	d.Expect(err).NotTo(HaveOccurred())
	winner, err := d.operator.Update(t.Context(), string(api.KindModel), "scorer", history.Version(first), document)
	d.Expect(err).NotTo(HaveOccurred())
	_, err = d.operator.Update(t.Context(), string(api.KindModel), "scorer", history.Version(first), document)
	d.Expect(err).To(MatchError(platform.ErrConflict))
	d.waitInForce(api.KindModel, "scorer", uint64(uint64(winner.Version)), d.vms...)
	d.expectIncreasing()
}

// Two operators each write a record that is valid alone but conflicts with the
// other, and two VMs accept at the same time. Validation of the whole set must be
// tied to the write of the Release, or both records come in force.
func TestConflictingRecordsAreNotBothAccepted(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	d.write(api.KindBackendServer, "portal-1", api.BackendServerSpec{Address: "10.0.0.1:80", DataCentre: "a", Service: "portal"})
	route := api.RouteSpec{PathPrefix: "/portal/", Service: "portal"}
	early := d.write(api.KindRoute, "early", route)
	late := d.write(api.KindRoute, "late", route)
	d.waitInForce(api.KindRoute, "early", early, d.vms...)
	d.Eventually(func() api.RecordState {
		state, _ := d.status().State(api.KindRoute, "late", late)
		return state.State
	}, waitTimeout).Should(Equal(api.RecordRefused))
	status, _ := d.status().State(api.KindRoute, "late", late)
	d.Expect(status.Violations).NotTo(BeEmpty())
	d.Expect(status.Violations[0].Related).To(ContainElement("Route/early"), "the refused record names the other")
	for _, v := range d.vms {
		d.Expect(v.set().Routes).NotTo(HaveKey("late"))
	}
	d.expectIncreasing()
}

// The Release is written, but the response is lost. If that counted as a failure,
// the change would be accepted twice or lost.
func TestLostReleaseWriteResponse(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	before := d.newest().Sequence
	for _, v := range d.vms {
		// The first write of the next release is its page, the third the Release.
		d.platform.SetFaults(v.name, standin.PlatformFaults{LoseWriteAnswers: 3})
	}
	version = d.model("scorer", "w2")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.Expect(d.newest().Sequence).To(Equal(before+1), "accepted once")
	d.expectIncreasing()
}

// A VM is paused just before it writes a Release, and others accept two more changes.
// When it resumes, its Release is outdated and must be refused, or accepted changes
// would be reverted.
func TestPausedVMCannotOverwriteNewerRelease(t *testing.T) {
	d := newDeployment(t)
	paused := newGate()
	d.start("vm-1", "a", withTransport(paused))
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)

	paused.close()
	old := d.model("scorer", "w2")
	d.Eventually(paused.blocked, waitTimeout).Should(Receive())
	other := d.start("vm-2", "b")
	d.waitInForce(api.KindModel, "scorer", old, other)
	d.model("reader", "w1")
	latest := d.model("scorer", "w3")
	d.waitInForce(api.KindModel, "scorer", latest, other)
	sequence := d.newest().Sequence

	paused.open()
	d.waitInForce(api.KindModel, "scorer", latest, d.vms...)
	d.Expect(d.newest().Sequence).To(Equal(sequence), "the paused VM's release is not written")
	d.Expect(d.newest().By).To(Equal("vm-2"))
	d.expectIncreasing()
}

// The watch of the Release goes silent without closing while a change is accepted.
// A VM that trusts the open connection would run a stale configuration for good.
func TestVMRecoversFromSilentWatch(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{WatchSilent: true})
	}
	version = d.model("scorer", "w2")
	for _, v := range d.vms {
		calls := v.Manager.platform.Calls().Of(platform.MethodWatch)
		d.Eventually(func() uint64 { return v.Manager.platform.Calls().Of(platform.MethodWatch) }, waitTimeout).Should(BeNumerically(">", calls))
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.expectIncreasing()
}

// A VM has seen a newer state by watch when the platform answers its lists from an
// old replica. It must not revert to an older release or accept from old records.
func TestStaleListDoesNotRevertRelease(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{StaleLists: true})
	}
	version = d.model("scorer", "w2")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	// A watch that must restart finds its history compacted and lists instead.
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{StaleLists: true, Down: true})
	}
	d.model("reader", "w1")
	d.platform.Compact()
	// The lists return the old state.
	stale := standin.PlatformFaults{StaleLists: true}
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, stale)
	}
	version = d.model("scorer", "w3")
	for _, v := range d.vms {
		d.Consistently(v.has(api.KindModel, "scorer", 0), "300ms").Should(BeFalse())
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.expectIncreasing()
}

// A VM that starts while the platform is down, and knows only a seed, must get the
// configuration from a peer.
func TestVMStartedDuringOutageLoadsFromPeer(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "a")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.platform.SetFaults("", standin.PlatformFaults{Down: true})
	seed := d.vms[0].self.Address

	old := d.vms
	d.vms = nil // the new VM knows no member
	started := d.start("vm-3", "a", withSeeds(seed))
	alone := d.start("vm-4", "z")
	d.waitInForce(api.KindModel, "scorer", version, started, alone)
	d.vms = append(d.vms, old...)
	d.expectIncreasing()
}

// A VM that starts during an outage and reaches no other VM must not serve as if it
// had a configuration.
func TestVMWithNeitherPlatformNorPeerHasNothingInForce(t *testing.T) {
	d := newDeployment(t)
	d.platform.SetFaults("", standin.PlatformFaults{Down: true})
	alone := d.start("vm-1", "a", withSeeds("127.0.0.1:1"))
	d.Eventually(func() uint64 { return alone.Manager.platform.Calls().Of(platform.MethodList) }, waitTimeout).Should(BeNumerically(">", 2))
	d.Expect(alone.inForce()).To(BeEmpty())
}

// One data centre is cut off from the platform and from the other, where changes are
// accepted. When the partition heals, no VM may revert to an older release or stay
// stale.
func TestDataCentrePartitionHeals(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "a", "b", "b")
	near, far := d.vms[:2], d.vms[2:]
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	cut(near, far)
	d.platform.CutOff(far[0].name, far[1].name)
	version = d.model("scorer", "w2")
	latest := d.model("reader", "w1")
	d.waitInForce(api.KindModel, "reader", latest, near...)
	d.waitInForce(api.KindModel, "scorer", version, near...)
	for _, v := range far {
		d.Expect(v.set().Models["scorer"].Version).To(Equal("w1"), "the last release stays in force")
	}
	// The link between the data centres heals first: the platform is not needed.
	heal(near, far)
	d.waitInForce(api.KindModel, "reader", latest, far...)
	for _, v := range far {
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	version = d.model("scorer", "w3")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.expectIncreasing()
}

// cut makes VMs unknown and unreachable to one another and closes their connections.
// Removing them from the directories isn't enough: a VM that has just looked up
// another one could open its connection after the others are closed, and get the next
// release over it.
func cut(near, far []*vm) {
	for _, n := range near {
		for _, f := range far {
			n.unreachable.Store(f.name, true)
			f.unreachable.Store(n.name, true)
			n.directory.Remove(f.name)
			f.directory.Remove(n.name)
		}
	}
	for _, v := range append(near[:len(near):len(near)], far...) {
		v.connections.closeAll()
	}
}

func heal(near, far []*vm) {
	for _, n := range near {
		for _, f := range far {
			n.unreachable.Delete(f.name)
			f.unreachable.Delete(n.name)
			n.directory.Put(f.self)
			f.directory.Put(n.self)
		}
	}
}

// The platform throttles while a change is written. Retries without backoff would
// keep it throttled, and a failed attempt that isn't retried would lose the change.
func TestThrottledPlatformLosesNoChange(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{Throttled: true})
	}
	version = d.model("scorer", "w2")
	throttled := func() uint64 {
		return d.vms[0].Manager.platform.Calls()[platform.Call{Method: platform.MethodGet, Outcome: "throttled"}] +
			d.vms[1].Manager.platform.Calls()[platform.Call{Method: platform.MethodGet, Outcome: "throttled"}]
	}
	d.Eventually(throttled, waitTimeout).Should(BeNumerically(">=", 3))
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	d.waitInForce(api.KindModel, "scorer", version, d.vms...)
	d.expectIncreasing()
}

// A record is written in a version that one live VM doesn't read. It must not be
// accepted, or that VM would serve with a field missing.
func TestRecordThatAnOldVMCannotReadStaysPending(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	old := d.vms[1].self
	old.Reads = []string{"Model/v1", "BackendServer/v1"}
	for _, v := range d.vms {
		v.directory.Put(old)
	}
	version := d.write(api.KindPipeline, "scoring", api.PipelineSpec{Model: "scorer"})
	d.Eventually(func() []string {
		state, _ := d.status().State(api.KindPipeline, "scoring", version)
		return state.CannotRead
	}, waitTimeout).Should(ConsistOf("vm-2"))
	for _, v := range d.vms {
		d.Expect(v.set().Pipelines).To(BeEmpty())
		upgraded := old
		upgraded.Reads = api.Readable()
		v.directory.Put(upgraded)
	}
	d.Eventually(func() api.RecordState {
		state, _ := d.status().State(api.KindPipeline, "scoring", version)
		return state.State
	}, waitTimeout).ShouldNot(Equal(api.RecordPending), "the record is decided on again after the upgrade")
}

// A VM accepts records that produce a page just when a sweep has found that page
// unreferenced. The delete must be conditional, or the release can't be loaded.
func TestSweepKeepsReferencedPages(t *testing.T) {
	d := newDeployment(t)
	v := d.start("vm-1", "a")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, v)
	referenced := d.newest().Pages[0].Hash
	for i := range 3 {
		_, err := d.operator.Create(t.Context(), string(api.KindPage), fmt.Sprintf("%s-loose-%d", referenced[:2], i), i)
		d.Expect(err).NotTo(HaveOccurred())
	}
	before := d.newest()
	d.Eventually(func() (int, error) { return v.sweepPrefix(context.Background(), referenced[:2]) }, waitTimeout).Should(Equal(3))
	d.Expect(d.newest()).To(Equal(before))
	_, err := d.operator.Get(t.Context(), string(api.KindPage), referenced)
	d.Expect(err).NotTo(HaveOccurred())
	// A page that another VM wrote again after the sweep's list has a newer version.
	version = d.model("scorer", "w2")
	d.waitInForce(api.KindModel, "scorer", version, v)
	archived, err := d.operator.Get(t.Context(), string(api.KindRelease), KeptName(before.Sequence))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(string(archived.Value)).To(ContainSubstring(referenced))
	d.Expect(v.sweepPrefix(t.Context(), referenced[:2])).To(Equal(0), "an archived release references it")
}

func TestPeersServeReleaseInForce(t *testing.T) {
	d := newDeployment(t)
	v := d.start("vm-1", "a")
	version := d.model("scorer", "w1")
	d.waitInForce(api.KindModel, "scorer", version, v)
	s := service{store: v.store}
	answer, err := s.InForce(t.Context(), connect.NewRequest(&configv1.InForceRequest{Known: v.sequence()}))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(answer.Msg.GetValue()).To(BeEmpty(), "nothing newer")
	hashes := []string{d.newest().Pages[0].Hash, strings.Repeat("0", 32)}
	pages, err := s.Pages(t.Context(), connect.NewRequest(&configv1.PagesRequest{Hashes: hashes}))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(pages.Msg.GetPages()).To(HaveLen(1))
}

// fakeServers is a StatusSource whose states tests can set.
type fakeServers struct {
	mu     sync.Mutex
	states map[string]string
}

func (s *fakeServers) set(states map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = states
}

// PipelineStatus implements StatusSource.
func (s *fakeServers) PipelineStatus() []api.PipelineStatus { return nil }

// BackendServerStatus implements StatusSource.
func (s *fakeServers) BackendServerStatus() []api.BackendServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []api.BackendServerStatus
	for name, state := range s.states {
		statuses = append(statuses, api.BackendServerStatus{BackendServer: name, State: state})
	}
	return statuses
}

// Three VMs see the same servers. Only one may write their status, or the platform's
// writes grow with the fleet, and it must delete the status of a removed server.
func TestOneVMWritesServerStatus(t *testing.T) {
	d := newDeployment(t)
	source := &fakeServers{}
	source.set(map[string]string{"a-1": "live", "a-2": "live"})
	for i := range 3 {
		d.start(fmt.Sprintf("vm-%d", i+1), "a", func(o *Options) { o.Sources = []StatusSource{source} })
	}
	names := func() []string {
		list, err := d.operator.List(context.Background(), string(api.KindStatus), api.StatusServerPrefix)
		d.Expect(err).NotTo(HaveOccurred())
		var found []string
		for _, object := range list.Items {
			found = append(found, object.Name)
		}
		return found
	}
	d.Eventually(names, waitTimeout).Should(ConsistOf("backend-server.a-1", "backend-server.a-2"))
	first := spreadByDataCentre(d.vms[0].directory.Members(), roleAccept)[0].Name
	source.set(map[string]string{"a-1": "suspect", "a-2": "suspect"})
	writers := func() []string {
		list, err := d.operator.List(context.Background(), string(api.KindStatus), api.StatusServerPrefix)
		d.Expect(err).NotTo(HaveOccurred())
		var found []string
		for _, object := range list.Items {
			var status api.BackendServerStatus
			d.Expect(json.Unmarshal(object.Value, &status)).To(Succeed())
			found = append(found, status.State+" by "+status.By)
		}
		return found
	}
	d.Eventually(writers, waitTimeout).Should(ConsistOf("suspect by "+first, "suspect by "+first))
	source.set(map[string]string{"a-2": "live"})
	d.Eventually(names, waitTimeout).Should(ConsistOf("backend-server.a-2"))
}
