package config

import (
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
)

// An account's spec is located in the canonical form of its record and decoded again
// on demand. Records with whitespace, escapes or a second copy of the spec, whose
// canonical form differs from the written one, must not yield another spec or panic.
func TestAccountSpecIsTheSameWhenDecodedAgain(t *testing.T) {
	g := NewWithT(t)
	spec := `{"keySHA256":["` + apiKeySum(1) + `"],"burst":3,"homeDataCentre":"bornova"}`
	for name, raw := range map[string]string{
		"canonical": `{"kind":"ClientAccount","schemaVersion":"v1","name":"a","spec":` + spec + `}`,
		"spaces":    `{ "kind": "ClientAccount", "schemaVersion": "v1", "name": "a", "spec": ` + spec[:1] + "\n " + spec[1:] + ` }`,
		"escapes":   `{"kind":"ClientAccount","schemaVersion":"v1","name":"a","annotations":{"note":"<&>"},"spec":` + spec[:len(spec)-1] + `,"formerHomeDataCentre":"<&>"}}`,
		"twice":     `{"kind":"ClientAccount","schemaVersion":"v1","name":"a","spec":{},"extra":` + spec + `,"spec":` + spec + `}`,
		"version 2": `{"kind":"ClientAccount","schemaVersion":"v2","name":"a","spec":{"keySHA256":["` + apiKeySum(1) + `"],"limits":{"burst":3},"homeDataCentre":"bornova"}}`,
	} {
		document, err := api.Decode([]byte(raw))
		g.Expect(err).NotTo(HaveOccurred(), name)
		want, err := api.DecodeSpec(document)
		g.Expect(err).NotTo(HaveOccurred(), name)
		record, err := NewRecord(1, []byte(raw))
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(record.Spec()).To(Equal(want), name)
		g.Expect(record.Spec().(*api.ClientAccountSpec).Burst).To(Equal(3), name)
	}
}

// Go maps keep their memory when entries are deleted. After a first release of tens
// of thousands of records, the view must allocate a smaller map.
func TestViewFreesMemoryOfAcceptedChanges(t *testing.T) {
	g := NewWithT(t)
	changes := manyAccounts(5_000)
	view := NewView()
	view.ApplyList(api.KindClientAccount, 6_000, changes, Empty())
	out, err := Accept(AcceptInput{InForce: Empty(), Changes: append(baseChanges(), changes...), Seen: view.Seen(), By: "vm"})
	g.Expect(err).NotTo(HaveOccurred())
	former := view.changes
	view.Rebase(Empty(), out.Set)
	g.Expect(view.peak).To(BeNumerically("<=", shrinkMinPeak))
	former["Model/x"] = Change{}
	g.Expect(view.changes).NotTo(HaveKey("Model/x"), "the view must use a new map")
}
