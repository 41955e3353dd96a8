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
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	version = d.model("scorer", "w2")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.neverBack()
}

// Symptom: of two operators one is told that his change is accepted and it is
// gone. Sequence: both read a record and both write it. Cause: writes that do
// not depend on what was read.
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
	d.everywhere(api.KindModel, "scorer", uint64(uint64(winner.Version)), d.vms...)
	d.neverBack()
}

// Symptom: two records are in force that can't both be. Sequence: two operators
// write one each, each valid alone; two VMs accept at the same time. Cause: the
// check of the whole is not tied to the write of the Release.
func TestTwoRecordsThatClashOnlyTogether(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	d.write(api.KindBackendServer, "portal-1", api.BackendServerSpec{Address: "10.0.0.1:80", DataCentre: "a", Service: "portal"})
	route := api.RouteSpec{PathPrefix: "/portal/", Service: "portal"}
	early := d.write(api.KindRoute, "early", route)
	late := d.write(api.KindRoute, "late", route)
	d.everywhere(api.KindRoute, "early", early, d.vms...)
	d.Eventually(func() api.RecordState {
		state, _ := d.status().State(api.KindRoute, "late", late)
		return state.State
	}, patience).Should(Equal(api.RecordRefused))
	status, _ := d.status().State(api.KindRoute, "late", late)
	d.Expect(status.Violations).NotTo(BeEmpty())
	d.Expect(status.Violations[0].Related).To(ContainElement("Route/early"), "the loser sees both")
	for _, v := range d.vms {
		d.Expect(v.set().Routes).NotTo(HaveKey("late"))
	}
	d.neverBack()
}

// Symptom: a change is accepted twice or is lost. Sequence: the Release is
// written; its answer is lost. Cause: taking a lost answer for a failure.
func TestAnswerToTheReleaseWriteIsLost(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	before := d.newest().Sequence
	for _, v := range d.vms {
		// The first write of the next release is its page, the third the Release.
		d.platform.SetFaults(v.name, standin.PlatformFaults{LoseWriteAnswers: 3})
	}
	version = d.model("scorer", "w2")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.Expect(d.newest().Sequence).To(Equal(before+1), "accepted once")
	d.neverBack()
}

// Symptom: an accepted change is taken back. Sequence: a VM decides to accept
// and is paused before it writes the Release; others accept two more changes; it
// wakes and writes. Cause: a Release made from an old view.
func TestPausedVMWakesAndWritesItsRelease(t *testing.T) {
	d := newDeployment(t)
	paused := newGate()
	d.start("vm-1", "a", withTransport(paused))
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)

	paused.close()
	old := d.model("scorer", "w2")
	d.Eventually(paused.held, patience).Should(Receive())
	other := d.start("vm-2", "b")
	d.everywhere(api.KindModel, "scorer", old, other)
	d.model("reader", "w1")
	latest := d.model("scorer", "w3")
	d.everywhere(api.KindModel, "scorer", latest, other)
	sequence := d.newest().Sequence

	paused.open()
	d.everywhere(api.KindModel, "scorer", latest, d.vms...)
	d.Expect(d.newest().Sequence).To(Equal(sequence), "the paused VM's release is refused")
	d.Expect(d.newest().By).To(Equal("vm-2"))
	d.neverBack()
}

// Symptom: a VM runs an old configuration for good. Sequence: its watch of the
// Release goes silent without closing; a change is accepted. Cause: trusting an
// open connection.
func TestSilentWatchDoesNotKeepAVMBehind(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{WatchSilent: true})
	}
	version = d.model("scorer", "w2")
	for _, v := range d.vms {
		calls := v.Manager.platform.Calls().Of(platform.MethodWatch)
		d.Eventually(func() uint64 { return v.Manager.platform.Calls().Of(platform.MethodWatch) }, patience).Should(BeNumerically(">", calls))
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.neverBack()
}

// Symptom: a VM goes back to an older release, or accepts from old records.
// Sequence: it has seen a newer state by watch; then the platform answers its
// lists from an old replica. Cause: taking the latest answer for the newest.
func TestStaleListTakesNobodyBack(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{StaleLists: true})
	}
	version = d.model("scorer", "w2")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	// A watch that must start anew finds its history compacted and lists.
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{StaleLists: true, Down: true})
	}
	d.model("reader", "w1")
	d.platform.Compact()
	// A third VM knows nothing, and is given the old state by its first lists.
	stale := standin.PlatformFaults{StaleLists: true}
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, stale)
	}
	version = d.model("scorer", "w3")
	for _, v := range d.vms {
		d.Consistently(v.has(api.KindModel, "scorer", 0), "300ms").Should(BeFalse())
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.neverBack()
}

// Symptom: a VM replaced during an outage of the platform serves nothing.
// Sequence: the platform goes down; a VM starts and knows only a seed. Cause:
// configuration that only the platform can give.
func TestVMThatStartsDuringAnOutageGetsItFromAPeer(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "a")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.platform.SetFaults("", standin.PlatformFaults{Down: true})
	seed := d.vms[0].self.Address

	old := d.vms
	d.vms = nil // the new VM knows no member
	started := d.start("vm-3", "a", withSeeds(seed))
	alone := d.start("vm-4", "z")
	d.everywhere(api.KindModel, "scorer", version, started, alone)
	d.vms = append(d.vms, old...)
	d.neverBack()
}

// Symptom: a VM with nothing in force answers callers as if it had.
// Sequence: it starts during an outage and reaches no other VM.
func TestVMWithNeitherPlatformNorPeerHasNothingInForce(t *testing.T) {
	d := newDeployment(t)
	d.platform.SetFaults("", standin.PlatformFaults{Down: true})
	alone := d.start("vm-1", "a", withSeeds("127.0.0.1:1"))
	d.Eventually(func() uint64 { return alone.Manager.platform.Calls().Of(platform.MethodList) }, patience).Should(BeNumerically(">", 2))
	d.Expect(alone.inForce()).To(BeEmpty())
}

// Symptom: after a partition a data centre goes back, or stays behind.
// Sequence: one data centre is cut off from the platform and from the other;
// changes are accepted on the other side; the cut heals. Cause: taking what one
// has for the newest.
func TestTwoDataCentresApartAndHealed(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "a", "b", "b")
	near, far := d.vms[:2], d.vms[2:]
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	cut(near, far)
	d.platform.CutOff(far[0].name, far[1].name)
	version = d.model("scorer", "w2")
	latest := d.model("reader", "w1")
	d.everywhere(api.KindModel, "reader", latest, near...)
	d.everywhere(api.KindModel, "scorer", version, near...)
	for _, v := range far {
		d.Expect(v.set().Models["scorer"].Version).To(Equal("w1"), "it serves on with what it has")
	}
	// The link between the data centres heals first: the platform is not needed.
	heal(near, far)
	d.everywhere(api.KindModel, "reader", latest, far...)
	for _, v := range far {
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	version = d.model("scorer", "w3")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.neverBack()
}

// cut makes VMs unknown and unreachable to one another and breaks their connections.
// Unknown alone is no cut: a VM that has looked another up just before opens its
// connection just after the others are broken, and waits there for the next release.
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

// Symptom: a throttled VM calls without pause and keeps the platform throttled,
// or forgets a change. Sequence: the platform throttles while a change is
// written. Cause: retries without back-off; a failed attempt not repeated.
func TestThrottledPlatformDelaysButLosesNothing(t *testing.T) {
	d := newDeployment(t)
	d.startMany("a", "b")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{Throttled: true})
	}
	version = d.model("scorer", "w2")
	throttled := func() uint64 {
		return d.vms[0].Manager.platform.Calls()[platform.Call{Method: platform.MethodGet, Outcome: "throttled"}] +
			d.vms[1].Manager.platform.Calls()[platform.Call{Method: platform.MethodGet, Outcome: "throttled"}]
	}
	d.Eventually(throttled, patience).Should(BeNumerically(">=", 3))
	for _, v := range d.vms {
		d.platform.SetFaults(v.name, standin.PlatformFaults{})
	}
	d.everywhere(api.KindModel, "scorer", version, d.vms...)
	d.neverBack()
}

// Symptom: an old VM serves with a field missing. Sequence: a record is written
// in a version that one live VM doesn't read. Cause: accepting what not all read.
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
	}, patience).Should(ConsistOf("vm-2"))
	for _, v := range d.vms {
		d.Expect(v.set().Pipelines).To(BeEmpty())
		upgraded := old
		upgraded.Reads = api.Readable()
		v.directory.Put(upgraded)
	}
	d.Eventually(func() api.RecordState {
		state, _ := d.status().State(api.KindPipeline, "scoring", version)
		return state.State
	}, patience).ShouldNot(Equal(api.RecordPending), "it is decided on again when the VM is upgraded")
}

// Symptom: a VM can't load a release since one of its pages is gone. Sequence: a
// sweep finds a page that no release has; a VM accepts records that make this
// very page; the sweep deletes it. Cause: deciding and deleting without a tie.
func TestSweepNeverDeletesAPageThatAReleaseNames(t *testing.T) {
	d := newDeployment(t)
	v := d.start("vm-1", "a")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, v)
	named := d.newest().Pages[0].Hash
	for i := range 3 {
		_, err := d.operator.Create(t.Context(), string(api.KindPage), fmt.Sprintf("%s-loose-%d", named[:2], i), i)
		d.Expect(err).NotTo(HaveOccurred())
	}
	before := d.newest()
	d.Eventually(func() (int, error) { return v.sweepOnce(context.Background(), named[:2]) }, patience).Should(Equal(3))
	d.Expect(d.newest()).To(Equal(before))
	_, err := d.operator.Get(t.Context(), string(api.KindPage), named)
	d.Expect(err).NotTo(HaveOccurred())
	// A page that another VM wrote again after the sweep's list has a newer version.
	version = d.model("scorer", "w2")
	d.everywhere(api.KindModel, "scorer", version, v)
	kept, err := d.operator.Get(t.Context(), string(api.KindRelease), KeptName(before.Sequence))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(string(kept.Value)).To(ContainSubstring(named))
	d.Expect(v.sweepOnce(t.Context(), named[:2])).To(Equal(0), "a kept release has it")
}

func TestPeersServeWhatIsInForce(t *testing.T) {
	d := newDeployment(t)
	v := d.start("vm-1", "a")
	version := d.model("scorer", "w1")
	d.everywhere(api.KindModel, "scorer", version, v)
	s := service{store: v.store}
	answer, err := s.InForce(t.Context(), connect.NewRequest(&configv1.InForceRequest{Known: v.sequence()}))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(answer.Msg.GetValue()).To(BeEmpty(), "nothing newer")
	hashes := []string{d.newest().Pages[0].Hash, strings.Repeat("0", 32)}
	pages, err := s.Pages(t.Context(), connect.NewRequest(&configv1.PagesRequest{Hashes: hashes}))
	d.Expect(err).NotTo(HaveOccurred())
	d.Expect(pages.Msg.GetPages()).To(HaveLen(1))
}

// servers is a StatusSource that tests change.
type servers struct {
	mu     sync.Mutex
	states map[string]string
}

func (s *servers) set(states map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states = states
}

// PipelineStatus implements StatusSource.
func (s *servers) PipelineStatus() []api.PipelineStatus { return nil }

// BackendServerStatus implements StatusSource.
func (s *servers) BackendServerStatus() []api.BackendServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var statuses []api.BackendServerStatus
	for name, state := range s.states {
		statuses = append(statuses, api.BackendServerStatus{BackendServer: name, State: state})
	}
	return statuses
}

// Symptom: the platform's writes grow with the fleet, or status stays of a
// server that is gone. Sequence: three VMs see the same servers; one is removed.
// Cause: every VM writing what it sees; nobody deleting.
func TestStatusOfServersIsWrittenByOneVMOnChange(t *testing.T) {
	d := newDeployment(t)
	source := &servers{}
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
	d.Eventually(names, patience).Should(ConsistOf("backend-server.a-1", "backend-server.a-2"))
	first := spread(d.vms[0].directory.Members(), dutyAccept)[0].Name
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
	d.Eventually(writers, patience).Should(ConsistOf("suspect by "+first, "suspect by "+first))
	source.set(map[string]string{"a-2": "live"})
	d.Eventually(names, patience).Should(ConsistOf("backend-server.a-2"))
}
