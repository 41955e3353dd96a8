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

// Symptom: a server that is gone gets requests, or a new process's predecessor is not ended.
// Sequence: entries come, change their address, and go. Cause: the index and the servers
// differ.
func TestTheIndexHoldsTheServersThatAreKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		f := New()
		f.Serve([]string{"app"})
		some := rapid.IntRange(0, 4)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := time.Duration(step) * time.Second
			name := fmt.Sprint("s", some.Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0, 1, 2:
				life := fmt.Sprint(name, "-", some.Draw(t, "life"))
				address := fmt.Sprint("10.0.0.", some.Draw(t, "address"))
				f.Put(now, Server{ID: life, Name: name, Service: "app", Address: address, Revision: history.Version(step), Draining: some.Draw(t, "draining") == 0})
			case 3:
				f.Remove(now, name, history.Version(step))
			case 4:
				f.Replace(now, nil, history.Version(step))
			}
			f.hasIndexOf(g)
		}
	})
}

// hasIndexOf checks the index against a look through all servers.
func (f *Fleet) hasIndexOf(g *WithT) {
	var all []*known
	for _, k := range f.servers {
		all = append(all, k)
		g.Expect(f.index.near(k.Address, "")).To(ContainElement(k))
		g.Expect(f.index.near("", k.Name)).To(ContainElement(k))
	}
	slices.SortFunc(all, byID)
	g.Expect(slices.Equal(f.index.inOrder(f.servers), all)).To(BeTrue())
	listed := 0
	for _, list := range f.index.addresses {
		listed += len(list)
	}
	for _, list := range f.index.names {
		listed += len(list)
	}
	g.Expect(listed).To(Equal(2*len(all)), "nobody else is in it")
}
