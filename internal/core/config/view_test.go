package config

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
)

func names(changes []Change) []string {
	var found []string
	for _, change := range changes {
		found = append(found, fmt.Sprintf("%s@%d", change.Name, change.Version))
	}
	return found
}

// A list that was taken before a watch event but arrives after it must be ignored.
// Otherwise a record that was just written would be reported as deleted.
func TestStaleListAfterNewerEventIsIgnored(t *testing.T) {
	f := newFixture(t)
	view := NewView()
	model := baseChanges()[0]
	f.Expect(view.ApplyList(api.KindModel, 8, []Change{model}, f.set)).To(BeTrue())
	f.Expect(view.ApplyEvent(recordChange(api.KindModel, "n", 10, "v1", `{"layers":1,"version":"w"}`), f.set)).To(BeTrue())
	f.Expect(view.ApplyList(api.KindModel, 9, []Change{model}, f.set)).To(BeFalse())
	f.Expect(names(view.Changes())).To(Equal([]string{"n@10"}))
	f.Expect(view.Seen()).To(Equal(map[api.Kind]uint64{api.KindModel: 10}))
	f.Expect(view.ApplyList(api.KindModel, 11, nil, f.set)).To(BeTrue())
	f.Expect(names(view.Changes())).To(Equal([]string{"m@11"}), "a newer list without the model means that it was deleted")
}

// A reconnected watch repeats events. A repeated event must be ignored, or the
// invalid version of a corrected record would be evaluated again.
func TestRepeatedEventIsIgnored(t *testing.T) {
	f := newFixture(t)
	view := NewView()
	bad := recordChange(api.KindModel, "n", 10, "v1", `{"layers":0,"version":"w"}`)
	good := recordChange(api.KindModel, "n", 11, "v1", `{"layers":1,"version":"w"}`)
	f.Expect(view.ApplyEvent(bad, f.set)).To(BeTrue())
	f.Expect(view.ApplyEvent(good, f.set)).To(BeTrue())
	f.Expect(view.ApplyEvent(bad, f.set)).To(BeFalse())
	f.Expect(names(view.Changes())).To(Equal([]string{"n@11"}))
}

// Another VM's release comes in force while this VM's view has changes that are not
// in it and lacks changes that are. The view must be rebased, or the VM would try
// to accept what is already in force or lose what is not.
func TestRebaseAfterAnotherVMsRelease(t *testing.T) {
	f := newFixture(t)
	view := NewView()
	mine := recordChange(api.KindModel, "mine", 10, "v1", `{"layers":0,"version":"w"}`)
	both := recordChange(api.KindModel, "both", 11, "v1", `{"layers":1,"version":"w"}`)
	unseen := recordChange(api.KindModel, "unseen", 12, "v1", `{"layers":1,"version":"w"}`)
	view.ApplyEvent(mine, f.set)
	view.ApplyEvent(both, f.set)
	former := f.set
	f.accept(both, unseen)
	view.Rebase(former, f.set)
	f.Expect(names(view.Changes())).To(Equal([]string{"mine@10", "unseen@11"}), "the view has not observed the record unseen")
	_, err := Accept(AcceptInput{InForce: f.set, Release: f.release, Changes: view.Changes(), Seen: view.Seen()})
	f.Expect(err).To(MatchError(ErrStaleView), "a view that is behind the release must not accept")
	view.ApplyEvent(unseen, f.set)
	f.Expect(names(view.Changes())).To(Equal([]string{"mine@10"}))
}

// An offered release must be compared with the one in force, or a VM could regress
// to an older release or adopt a forked or implausible one.
func TestDecisionOnOfferedRelease(t *testing.T) {
	release := func(sequence uint64, by string) api.Release { return api.Release{Sequence: sequence, By: by} }
	for _, c := range []struct {
		inForce, offered api.Release
		source           Source
		want             Decision
	}{
		{release(0, ""), release(1_000_000, "a"), FromPeer, Adopt},
		{release(7, "a"), release(8, "b"), FromPeer, Adopt},
		{release(7, "a"), release(7, "a"), FromPlatform, Same},
		{release(7, "a"), release(7, "b"), FromPlatform, Forked},
		{release(7, "a"), release(6, "a"), FromPlatform, Older},
		{release(7, "a"), release(0, ""), FromPlatform, Older},
		{release(7, "a"), release(7+maxPeerLead, "b"), FromPeer, Adopt},
		{release(7, "a"), release(8+maxPeerLead, "b"), FromPeer, Implausible},
		{release(7, "a"), release(8+maxPeerLead, "b"), FromPlatform, Adopt},
	} {
		NewWithT(t).Expect(DecideRelease(c.inForce, c.offered, c.source)).To(Equal(c.want), "%d after %d from %s", c.offered.Sequence, c.inForce.Sequence, c.source)
	}
}

// A release that deletes an account is loaded from pages most of which the VM has.
// Differences must be found in new and in removed pages, or the deleted account
// could still send requests and be missing from the list of changes.
func TestLoadDropsDeletedRecords(t *testing.T) {
	f := newFixture(t)
	former := f.set
	out := f.accept(Change{Kind: api.KindClientAccount, Name: "hr", Version: 20}, serverChange("spare", 21, 0, 12))
	values := map[string][]byte{}
	missing, err := former.Missing(*out.Release, nil)
	f.Expect(err).NotTo(HaveOccurred())
	for _, ref := range missing {
		values[ref.Hash], _ = out.Set.PageValue(ref)
	}
	loaded, err := former.Load(*out.Release, values)
	f.Expect(err).NotTo(HaveOccurred())
	_, known := loaded.AccountByKey(fmt.Sprintf("%064x", 1))
	f.Expect(known).To(BeFalse())
	_, known = former.AccountByKey(fmt.Sprintf("%064x", 1))
	f.Expect(known).To(BeTrue(), "the former set must not change")
	var differences []string
	for _, d := range former.Compare(loaded) {
		differences = append(differences, fmt.Sprintf("%s before %t after %t", api.Key(d.Kind, d.Name), d.Before != nil, d.After != nil))
	}
	f.Expect(differences).To(Equal([]string{"BackendServer/spare before false after true", "ClientAccount/hr before true after false"}))
}
