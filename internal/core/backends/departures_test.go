package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// Guards against: a server that said itself that it leaves is used again by what its entry says.
func TestAServersOwnWordThatItLeavesStands(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.Replace(0, []backends.Server{plainAt("s1@1", "1:1", in(1, 3)), plainAt("s2", "2:1", in(1, 4))}, in(1, 9))
	g.Expect(f.SaysLeaving(0, "s1@1")).To(BeTrue())
	g.Expect(f.SaysLeaving(0, "s1@1")).To(BeFalse(), "it is known")
	g.Expect(f.News()).To(Equal([]backends.Departure{{ID: "s1@1"}}), "other VMs are told")

	f.Outage()
	f.Put(time.Second, plainAt("s1@1", "1:1", in(1, 12)))
	g.Expect(ready(f)).To(Equal([]string{"s2"}), "an entry that was written later")
	f.Back(2 * time.Second)
	f.Remove(2*time.Second, "s1@1", in(1, 13))
	f.Tidy(8 * time.Second)
	f.Put(9*time.Second, plainAt("s1@1", "1:1", in(1, 14)))
	g.Expect(ready(f)).To(Equal([]string{"s2"}), "an entry that was gone")
	f.Replace(10*time.Second, []backends.Server{plainAt("s1@1", "1:1", in(2, 3)), plainAt("s2", "2:1", in(2, 4))}, in(2, 12))
	f.Tidy(time.Minute)
	g.Expect(ready(f)).To(Equal([]string{"s2"}), "a copy of the store")
	f.Put(time.Minute, plainAt("s1@2", "1:1", in(2, 15)))
	g.Expect(ready(f)).To(Equal([]string{"s1@2", "s2"}), "another process of the server")
}

// Guards against: a server that said that it leaves before its entry was known is used by that.
func TestAServerThatLeavesBeforeItsEntryIsKnownIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	g.Expect(f.SaysLeaving(0, "s1")).To(BeTrue())
	f.Put(0, plainAt("s1", "1:1", in(1, 3)))
	g.Expect(ready(f)).To(BeEmpty())
}
