package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/history"
)

// versionOf returns the version for a revision of a history.
func versionOf(number, revision uint64) history.Version {
	version, err := history.NewVersion(number, revision)
	if err != nil {
		panic(err)
	}
	return version
}

// plainServer returns a server of a plain service whose entry was written at a version.
func plainServer(id, address string, version history.Version) backends.Server {
	return backends.Server{ID: id, Service: "app", Address: address, DataCentre: "a", Slots: 4, Revision: version}
}

// readyIDs returns the IDs of the servers that may be used.
func readyIDs(f *backends.Fleet) []string {
	ids := []string{}
	for _, server := range f.Servers("app") {
		ids = append(ids, server.ID)
	}
	return ids
}

// Guards against using a departed server again because the restored platform has its entry.
func TestDepartedServerStaysDepartedAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.SetHeartbeatInterval(time.Second)
	f.Replace(0, []backends.Server{plainServer("gone", "1:1", versionOf(1, 3)), plainServer("cut", "2:1", versionOf(1, 4)), plainServer("s1", "3:1", versionOf(1, 5))}, versionOf(1, 9))
	f.Remove(0, "gone", versionOf(1, 20))
	f.Remove(0, "cut", versionOf(1, 21))
	g.Expect(readyIDs(f)).To(Equal([]string{"s1"}))

	copied := []backends.Server{plainServer("gone", "1:1", versionOf(2, 3)), plainServer("cut", "2:1", versionOf(2, 4)), plainServer("s1", "3:1", versionOf(2, 5))}
	f.Replace(time.Second, copied, versionOf(2, 12))
	g.Expect(readyIDs(f)).To(Equal([]string{"s1"}))
	f.Put(2*time.Second, plainServer("cut", "2:1", versionOf(2, 15)))
	g.Expect(readyIDs(f)).To(Equal([]string{"cut", "s1"}), "its entry was written in the new history")
	f.Remove(3*time.Second, "gone", versionOf(2, 16))
	f.RemoveExpired(20 * time.Second)
	g.Expect(readyIDs(f)).To(Equal([]string{"cut", "s1"}))
}

// Guards against never using a server again that only lost its connection to the platform.
func TestEntryThatOutlastsMissedHeartbeatsAfterARestoreIsReinstated(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.SetHeartbeatInterval(time.Second)
	f.Replace(0, []backends.Server{plainServer("s1", "1:1", versionOf(1, 3))}, versionOf(1, 9))
	f.Remove(0, "s1", versionOf(1, 20))
	f.Replace(time.Second, []backends.Server{plainServer("s1", "1:1", versionOf(2, 3))}, versionOf(2, 12))
	f.RemoveExpired(4 * time.Second)
	g.Expect(readyIDs(f)).To(BeEmpty())
	f.RemoveExpired(6 * time.Second)
	g.Expect(readyIDs(f)).To(Equal([]string{"s1"}))
}

// Guards against using a server that announced its departure because the restored entry is ready.
func TestLeavingServerStaysLeavingAfterARestore(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	leaving := plainServer("s1", "1:1", versionOf(1, 20))
	leaving.Draining = true
	f.Replace(0, []backends.Server{plainServer("s1", "1:1", versionOf(1, 3))}, versionOf(1, 9))
	f.Put(0, leaving)
	f.Replace(time.Second, []backends.Server{plainServer("s1", "1:1", versionOf(2, 3))}, versionOf(2, 12))
	f.RemoveExpired(time.Minute)
	g.Expect(readyIDs(f)).To(BeEmpty())
}

// Guards against dropping servers at once that registered after the backup was made.
func TestEntryMissingFromARestoreHasAGracePeriod(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{plainServer("old", "1:1", versionOf(1, 3)), plainServer("new", "2:1", versionOf(1, 8)), plainServer("dead", "3:1", versionOf(1, 8))}, versionOf(1, 9))
	f.Replace(time.Second, []backends.Server{plainServer("old", "1:1", versionOf(2, 3))}, versionOf(2, 5))
	g.Expect(readyIDs(f)).To(Equal([]string{"dead", "new", "old"}))
	f.Put(2*time.Second, plainServer("new", "2:1", versionOf(2, 6)))
	f.RemoveExpired(time.Second + backends.ExpiryGrace)
	g.Expect(readyIDs(f)).To(Equal([]string{"new", "old"}))
}

// Guards against the restored entry of a crashed process replacing its successor for good.
func TestRestoredEntryDoesNotReplaceItsSuccessor(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{plainServer("later", "1:1", versionOf(1, 30))}, versionOf(1, 40))
	f.Replace(time.Second, []backends.Server{plainServer("former", "1:1", versionOf(2, 10))}, versionOf(2, 20))
	g.Expect(readyIDs(f)).To(Equal([]string{"later"}))
	f.Put(2*time.Second, plainServer("later", "1:1", versionOf(2, 21)))
	f.Remove(3*time.Second, "former", versionOf(2, 22))
	f.RemoveExpired(time.Minute)
	g.Expect(readyIDs(f)).To(Equal([]string{"later"}))
}

// Guards against ignoring another VM's report of a departure in a former history as out of date.
func TestDepartureFromFormerHistoryOverridesRestoredEntry(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.SetHeartbeatInterval(time.Second)
	f.Replace(0, []backends.Server{plainServer("s1", "1:1", versionOf(1, 3)), plainServer("s2", "2:1", versionOf(1, 4))}, versionOf(1, 9))
	f.Replace(time.Second, []backends.Server{plainServer("s1", "1:1", versionOf(2, 3)), plainServer("s2", "2:1", versionOf(2, 4))}, versionOf(2, 7))
	f.Put(time.Second, plainServer("s2", "2:1", versionOf(2, 8)))
	f.ApplyDeparture(2*time.Second, backends.Departure{ID: "s1", Revision: versionOf(1, 30)})
	f.ApplyDeparture(2*time.Second, backends.Departure{ID: "s2", Revision: versionOf(1, 31)})
	g.Expect(readyIDs(f)).To(Equal([]string{"s2"}), "the entry of s2 was written after the restore")
	f.RemoveExpired(7 * time.Second)
	g.Expect(readyIDs(f)).To(Equal([]string{"s1", "s2"}))
}
