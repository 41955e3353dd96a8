package backends

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// Guards against requests to a server that is gone, or a new process not replacing its predecessor:
// the index and the server map differ after entries were added, moved and removed.
func TestIndexMatchesTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := New()
		f.SetServices([]string{"app"})
		some := rapid.IntRange(0, 4)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := time.Duration(step) * time.Second
			name := fmt.Sprint("s", some.Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "operation") {
			case 0, 1, 2:
				process := fmt.Sprint(name, "-", some.Draw(t, "process"))
				address := fmt.Sprint("10.0.0.", some.Draw(t, "address"))
				f.Put(now, Server{ID: process, Name: name, Service: "app", Address: address, Revision: history.Version(step), Draining: some.Draw(t, "draining") == 0})
			case 3:
				f.Remove(now, name, history.Version(step))
			case 4:
				f.Replace(now, nil, history.Version(step))
			}
			f.expectConsistentIndex(g)
		}
	})
}

// expectConsistentIndex compares the index with the server map.
func (f *Fleet) expectConsistentIndex(g *WithT) {
	var all []*serverState
	for _, s := range f.servers {
		all = append(all, s)
		g.Expect(f.index.atAddressOrName(s.Address, "")).To(ContainElement(s))
		g.Expect(f.index.atAddressOrName("", s.Name)).To(ContainElement(s))
	}
	slices.SortFunc(all, compareByID)
	g.Expect(slices.Equal(f.index.sortedByID(f.servers), all)).To(BeTrue())
	listed := 0
	for _, list := range f.index.byAddress {
		listed += len(list)
	}
	for _, list := range f.index.byName {
		listed += len(list)
	}
	g.Expect(listed).To(Equal(2*len(all)), "the index has no other servers")
}
