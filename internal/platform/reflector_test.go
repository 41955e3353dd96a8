package platform_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/standin"
)

func startReflector(t *testing.T, c *platform.Client, limit int) *reflector {
	r := newReflector(c, kind, "", limit)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return r
}

func valueOf(r *reflector, name string) func() string {
	return func() string {
		object, _ := r.Get(name)
		return string(object.Value)
	}
}

// Guards against a VM that stays on a stale state for good, without an error, because
// its watch has gone silent with the connection open and delivers not even bookmarks.
func TestSilentWatchIsReplaced(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	writer := newClient(p, platform.WithVM("writer"))
	first, err := writer.Create(t.Context(), kind, "scoring", 1)
	g.Expect(err).NotTo(HaveOccurred())
	c := newClient(p, platform.WithVM("vm-1"))
	r := startReflector(t, c, 10)
	g.Eventually(valueOf(r, "scoring")).Should(Equal("1"))

	p.SetFaults("vm-1", standin.PlatformFaults{WatchSilent: true})
	_, err = writer.Update(t.Context(), kind, "scoring", first.Version, 2)
	g.Expect(err).NotTo(HaveOccurred())
	before := c.Calls().Of(platform.MethodWatch)
	g.Eventually(func() uint64 { return c.Calls().Of(platform.MethodWatch) }, "5s").Should(BeNumerically(">", before))
	p.SetFaults("vm-1", standin.PlatformFaults{})
	g.Eventually(valueOf(r, "scoring"), "5s").Should(Equal("2"))
	g.Expect(c.Calls().Of(platform.MethodList)).To(Equal(uint64(1)), "no second list is needed")
}

// Guards against missing changes for good that were made and compacted while the VM
// was cut off from the platform; it must list again.
func TestWatchGapTriggersList(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	writer := newClient(p, platform.WithVM("writer"))
	for i := range 3 {
		_, err := writer.Create(t.Context(), kind, fmt.Sprintf("p-%d", i), i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	r := startReflector(t, newClient(p, platform.WithVM("vm-1")), 10)
	g.Eventually(r.Objects).Should(HaveLen(3))

	p.CutOff("vm-1")
	deleted, err := writer.Get(t.Context(), kind, "p-0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(writer.Delete(t.Context(), kind, "p-0", deleted.Version)).To(Succeed())
	_, err = writer.Create(t.Context(), kind, "p-3", 3)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(r.Err).Should(MatchError(platform.ErrUnavailable))
	p.Compact()
	p.SetFaults("vm-1", standin.PlatformFaults{})
	g.Eventually(valueOf(r, "p-3"), "5s").Should(Equal("3"))
	g.Expect(r.Objects()).To(HaveLen(3), "p-0 was deleted")
}

// Guards against reverting the VM's state: it sees a change by watch, the watch ends
// with a gap, and a stale replica answers the list that follows.
func TestStaleListAfterNewerEventIsDiscarded(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	writer := newClient(p, platform.WithVM("writer"))
	first, err := writer.Create(t.Context(), kind, "scoring", 1)
	g.Expect(err).NotTo(HaveOccurred())
	r := startReflector(t, newClient(p, platform.WithVM("vm-1")), 10)
	g.Eventually(valueOf(r, "scoring")).Should(Equal("1"))

	p.SetFaults("vm-1", standin.PlatformFaults{StaleLists: true})
	_, err = writer.Update(t.Context(), kind, "scoring", first.Version, 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(valueOf(r, "scoring")).Should(Equal("2"))
	p.SetFaults("vm-1", standin.PlatformFaults{StaleLists: true, Down: true})
	_, err = writer.Create(t.Context(), kind, "other", 3)
	g.Expect(err).NotTo(HaveOccurred())
	p.Compact()
	p.SetFaults("vm-1", standin.PlatformFaults{StaleLists: true})
	g.Eventually(r.StaleLists, "5s").Should(BeNumerically(">", 0))
	g.Expect(valueOf(r, "scoring")()).To(Equal("2"))
	p.SetFaults("vm-1", standin.PlatformFaults{})
	g.Eventually(valueOf(r, "other"), "10s").Should(Equal("3"))
	g.Expect(valueOf(r, "scoring")()).To(Equal("2"))
}

// Guards against running out of memory when some program writes an unlimited number
// of objects.
func TestReflectorCacheIsBounded(t *testing.T) {
	g := NewWithT(t)
	p := startPlatform(t)
	writer := newClient(p)
	r := startReflector(t, newClient(p), 2)
	g.Eventually(r.Synced).Should(BeTrue())
	for i := range 5 {
		_, err := writer.Create(t.Context(), kind, fmt.Sprintf("p-%d", i), i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Eventually(r.Err).Should(MatchError(errCacheFull))
	g.Expect(len(r.Objects())).To(BeNumerically("<=", 2))
	g.Expect(r.Synced()).To(BeFalse())
}
