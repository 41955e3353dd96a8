package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/history"
)

// in is a revision of a history.
func in(number, revision uint64) history.Version {
	version, err := history.At(number, revision)
	if err != nil {
		panic(err)
	}
	return version
}

// plainAt is a plain server whose entry was written at a version.
func plainAt(id, address string, version history.Version) backends.Server {
	return backends.Server{ID: id, Service: "app", Address: address, DataCentre: "a", Slots: 4, Revision: version}
}

// ready lists the servers that may be used.
func ready(f *backends.Fleet) []string {
	ids := []string{}
	for _, server := range f.Servers("app") {
		ids = append(ids, server.ID)
	}
	return ids
}

// Guards against: a server that had left is used again since the store's copy has its entry.
func TestAServerThatLeftDoesNotReturnWithTheCopy(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Signs(time.Second)
	f.Replace(0, []backends.Server{plainAt("gone", "1:1", in(1, 3)), plainAt("cut", "2:1", in(1, 4)), plainAt("s1", "3:1", in(1, 5))}, in(1, 9))
	f.Remove(0, "gone", in(1, 20))
	f.Remove(0, "cut", in(1, 21))
	g.Expect(ready(f)).To(Equal([]string{"s1"}))

	copied := []backends.Server{plainAt("gone", "1:1", in(2, 3)), plainAt("cut", "2:1", in(2, 4)), plainAt("s1", "3:1", in(2, 5))}
	f.Replace(time.Second, copied, in(2, 12))
	g.Expect(ready(f)).To(Equal([]string{"s1"}))
	f.Put(2*time.Second, plainAt("cut", "2:1", in(2, 15)))
	g.Expect(ready(f)).To(Equal([]string{"cut", "s1"}), "it was written in the new history")
	f.Remove(3*time.Second, "gone", in(2, 16))
	f.Tidy(20 * time.Second)
	g.Expect(ready(f)).To(Equal([]string{"cut", "s1"}))
}

// Guards against: a server that only lost its way to the store is never used again.
func TestAServerWhoseEntryStaysInTheCopyIsBackAfterItsSignsOfLife(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Signs(time.Second)
	f.Replace(0, []backends.Server{plainAt("s1", "1:1", in(1, 3))}, in(1, 9))
	f.Remove(0, "s1", in(1, 20))
	f.Replace(time.Second, []backends.Server{plainAt("s1", "1:1", in(2, 3))}, in(2, 12))
	f.Tidy(4 * time.Second)
	g.Expect(ready(f)).To(BeEmpty())
	f.Tidy(6 * time.Second)
	g.Expect(ready(f)).To(Equal([]string{"s1"}))
}

// Guards against: a server that said that it leaves is used since the copy has it as ready.
func TestALeavingServerStaysLeavingInTheCopy(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	leaving := plainAt("s1", "1:1", in(1, 20))
	leaving.Draining = true
	f.Replace(0, []backends.Server{plainAt("s1", "1:1", in(1, 3))}, in(1, 9))
	f.Put(0, leaving)
	f.Replace(time.Second, []backends.Server{plainAt("s1", "1:1", in(2, 3))}, in(2, 12))
	f.Tidy(time.Minute)
	g.Expect(ready(f)).To(BeEmpty())
}

// Guards against: servers that came after the copy was made are dropped at once.
func TestAServerThatTheCopyLacksIsWaitedFor(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{plainAt("old", "1:1", in(1, 3)), plainAt("new", "2:1", in(1, 8)), plainAt("dead", "3:1", in(1, 8))}, in(1, 9))
	f.Replace(time.Second, []backends.Server{plainAt("old", "1:1", in(2, 3))}, in(2, 5))
	g.Expect(ready(f)).To(Equal([]string{"dead", "new", "old"}))
	f.Put(2*time.Second, plainAt("new", "2:1", in(2, 6)))
	f.Tidy(time.Second + backends.LapseGrace)
	g.Expect(ready(f)).To(Equal([]string{"new", "old"}))
}

// Guards against: the entry of a process that crashed ends its successor for good.
func TestAFormerProcessInTheCopyDoesNotEndItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{plainAt("later", "1:1", in(1, 30))}, in(1, 40))
	f.Replace(time.Second, []backends.Server{plainAt("former", "1:1", in(2, 10))}, in(2, 20))
	g.Expect(ready(f)).To(Equal([]string{"later"}))
	f.Put(2*time.Second, plainAt("later", "1:1", in(2, 21)))
	f.Remove(3*time.Second, "former", in(2, 22))
	f.Tidy(time.Minute)
	g.Expect(ready(f)).To(Equal([]string{"later"}))
}

// Guards against: a VM's word of a departure in a former history is taken for old.
func TestAWordOfAFormerHistoryHoldsAgainstTheCopy(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Signs(time.Second)
	f.Replace(0, []backends.Server{plainAt("s1", "1:1", in(1, 3)), plainAt("s2", "2:1", in(1, 4))}, in(1, 9))
	f.Replace(time.Second, []backends.Server{plainAt("s1", "1:1", in(2, 3)), plainAt("s2", "2:1", in(2, 4))}, in(2, 7))
	f.Put(time.Second, plainAt("s2", "2:1", in(2, 8)))
	f.Leave(2*time.Second, backends.Departure{ID: "s1", Revision: in(1, 30)})
	f.Leave(2*time.Second, backends.Departure{ID: "s2", Revision: in(1, 31)})
	g.Expect(ready(f)).To(Equal([]string{"s2"}), "s2 was written after the copy")
	f.Tidy(7 * time.Second)
	g.Expect(ready(f)).To(Equal([]string{"s1", "s2"}))
}
