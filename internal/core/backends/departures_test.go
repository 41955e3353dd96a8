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
	g.Expect(f.TakeDepartures(true)).To(Equal([]backends.Departure{{ID: "s1@1"}}), "the departure is published to other VMs")

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

// Guards against a departure that only one VM heard of, and against hundreds of VMs that all tell one another what each
// learns from the entries.
func TestDeparturesThatOthersCannotKnowArePublished(t *testing.T) {
	const second = time.Second
	for name, c := range map[string]struct {
		learn func(f *backends.Fleet)
		// firstHand and otherwise are published by a VM that reads the platform and by others.
		firstHand, otherwise []backends.Departure
	}{
		"announced by the server": {
			learn:     func(f *backends.Fleet) { f.MarkLeaving(second, "s1") },
			firstHand: []backends.Departure{{ID: "s1"}}, otherwise: []backends.Departure{{ID: "s1"}},
		},
		"announced, and in its entry": {
			learn: func(f *backends.Fleet) {
				f.MarkLeaving(second, "s1")
				draining := plainServer("s1", "1:1", 7)
				draining.Draining = true
				f.Put(second, draining)
			},
			firstHand: []backends.Departure{{ID: "s1"}},
		},
		"announced, and its entry removed": {
			learn: func(f *backends.Fleet) {
				f.MarkLeaving(second, "s1")
				f.Remove(second, "s1", 7)
			},
			firstHand: []backends.Departure{{ID: "s1"}},
		},
		"entry removed": {
			learn:     func(f *backends.Fleet) { f.Remove(second, "s1", 7) },
			firstHand: []backends.Departure{{ID: "s1", Revision: 7}},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for _, firstHand := range []bool{true, false} {
				g := NewWithT(t)
				f := backends.New()
				f.Put(0, plainServer("s1", "1:1", 3))
				c.learn(f)
				want := c.otherwise
				if firstHand {
					want = c.firstHand
				}
				g.Expect(f.TakeDepartures(firstHand)).To(ConsistOf(want), "first hand: %t", firstHand)
				g.Expect(f.TakeDepartures(true)).To(BeEmpty())
			}
		})
	}
}
