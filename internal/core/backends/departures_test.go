package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// Guards against using a server again because of its entry after it announced its own departure.
func TestAnnouncedDepartureIsFinal(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{plainServer("s1@1", "1:1", versionOf(1, 3)), plainServer("s2", "2:1", versionOf(1, 4))}, versionOf(1, 9))
	g.Expect(f.MarkLeaving(0, "s1@1")).To(BeTrue())
	g.Expect(f.MarkLeaving(0, "s1@1")).To(BeFalse(), "the departure is already known")
	g.Expect(f.TakeDepartures()).To(Equal([]backends.Departure{{ID: "s1@1"}}), "the departure is published to other VMs")

	f.SetPlatformDown()
	f.Put(time.Second, plainServer("s1@1", "1:1", versionOf(1, 12)))
	g.Expect(readyIDs(f)).To(Equal([]string{"s2"}), "an entry written after the announcement")
	f.ConfirmPlatform(2*time.Second, 2*time.Second)
	f.Remove(2*time.Second, "s1@1", versionOf(1, 13))
	f.RemoveExpired(8 * time.Second)
	f.Put(9*time.Second, plainServer("s1@1", "1:1", versionOf(1, 14)))
	g.Expect(readyIDs(f)).To(Equal([]string{"s2"}), "an entry written after it was missing")
	f.Replace(10*time.Second, []backends.Server{plainServer("s1@1", "1:1", versionOf(2, 3)), plainServer("s2", "2:1", versionOf(2, 4))}, versionOf(2, 12))
	f.RemoveExpired(time.Minute)
	g.Expect(readyIDs(f)).To(Equal([]string{"s2"}), "an entry of a restored platform")
	f.Put(time.Minute, plainServer("s1@2", "1:1", versionOf(2, 15)))
	g.Expect(readyIDs(f)).To(Equal([]string{"s1@2", "s2"}), "another process of the server")
}

// Guards against using a server that announced its departure before its entry was known.
func TestServerThatLeavesBeforeItsEntryArrivesIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	g.Expect(f.MarkLeaving(0, "s1")).To(BeTrue())
	f.Put(0, plainServer("s1", "1:1", versionOf(1, 3)))
	g.Expect(readyIDs(f)).To(BeEmpty())
}
