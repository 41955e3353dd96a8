package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

const (
	outageBegin = 5 * time.Second
	outageEnd   = 11 * time.Second
	drainTime   = 2 * time.Second
)

// newOutageFleet returns a fleet of two servers that the platform confirmed before an outage.
func newOutageFleet() *backends.Fleet {
	f := backends.New()
	f.SetDepartureTime(drainTime - 150*time.Millisecond)
	f.ConfirmPlatform(outageBegin, 0)
	f.Replace(outageBegin, []backends.Server{plainServer("s1", "1:1", 3), plainServer("s2", "2:1", 4)}, 9)
	f.SetPlatformDown()
	return f
}

// isUsed reports whether a server may get a request.
func isUsed(f *backends.Fleet, now time.Duration, id string) bool {
	_, err := f.Instance(now, "app", backends.Request{Allowed: []string{id}})
	return err == nil
}

// Guards against requests to a server that left seconds after an outage of the platform: its removal is taken
// for an expiry in that outage.
func TestRemovalLongAfterAnOutageIsNoExpiry(t *testing.T) {
	for name, confirm := range map[string]func(f *backends.Fleet, removed time.Duration){
		"learnt from the platform": func(f *backends.Fleet, removed time.Duration) {
			f.ConfirmPlatform(outageEnd, outageEnd)
			f.ConfirmPlatform(removed, outageEnd)
		},
		"first news through a VM that noticed the return": func(f *backends.Fleet, removed time.Duration) {
			f.ConfirmPlatform(removed-time.Second, outageEnd)
		},
		"only this VM was cut off": func(f *backends.Fleet, removed time.Duration) {
			f.ConfirmPlatform(removed-time.Second, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newOutageFleet()
			removed := outageEnd + 3*time.Second
			confirm(f, removed)
			f.Remove(removed, "s1", 12)
			g.Expect(isUsed(f, removed, "s1")).To(BeFalse())
			g.Expect(isUsed(f, removed, "s2")).To(BeTrue())
			g.Expect(f.HasPending()).To(BeFalse())
		})
	}
}

// Guards against requests to a server that left, for longer than is allowed after its removal is known, while an
// expiry is possible: no periodic work may be needed for the end.
func TestServerWithMissingEntryIsUsedForTheDepartureTimeAtMost(t *testing.T) {
	g := NewWithT(t)
	f := newOutageFleet()
	f.ConfirmPlatform(outageEnd, outageEnd)
	f.Replace(outageEnd, []backends.Server{plainServer("s2", "2:1", 11)}, 12)
	g.Expect(isUsed(f, outageEnd, "s1")).To(BeTrue(), "its entry may have expired")
	g.Expect(isUsed(f, outageEnd+drainTime-200*time.Millisecond, "s1")).To(BeTrue())
	choice, err := f.Instance(outageEnd, "app", backends.Request{Allowed: []string{"s1"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isUsed(f, outageEnd+drainTime, "s1")).To(BeFalse())
	g.Expect(f.Usable(outageEnd+drainTime, choice)).To(BeFalse(), "a request that was about to be sent")
	f.Put(outageEnd+drainTime, plainServer("s1", "1:1", 13))
	g.Expect(isUsed(f, outageEnd+drainTime, "s1")).To(BeTrue(), "its entry was written again")

	f.Remove(outageEnd+drainTime, "s2", 14)
	g.Expect(isUsed(f, outageEnd+drainTime, "s2")).To(BeFalse(), "a live server has written its entry by now")
}

// Guards against dropping live servers whose entries expired in an outage that is interrupted for a moment.
func TestServersStayUsedWhileThePlatformIsAwayAgain(t *testing.T) {
	g := NewWithT(t)
	f := newOutageFleet()
	f.ConfirmPlatform(outageEnd, outageEnd)
	f.Replace(outageEnd, nil, 12)
	f.SetPlatformDown()
	f.RemoveExpired(outageEnd + 5*time.Second)
	g.Expect(isUsed(f, outageEnd+5*time.Second, "s1")).To(BeTrue())
	again := outageEnd + 6*time.Second
	f.ConfirmPlatform(again, again)
	g.Expect(isUsed(f, again+time.Second, "s1")).To(BeTrue())
	g.Expect(isUsed(f, again+drainTime, "s1")).To(BeFalse())
}

// Guards against requests to a server that left, after calls that failed for a moment: no entry expires so soon.
func TestNoEntryExpiresInAShortOutage(t *testing.T) {
	g := NewWithT(t)
	f := backends.New()
	f.ConfirmPlatform(outageBegin, 0)
	f.Replace(outageBegin, []backends.Server{plainServer("s1", "1:1", 3), plainServer("s2", "2:1", 4)}, 9)
	f.SetPlatformDown()
	back := outageBegin + 1500*time.Millisecond
	f.ConfirmPlatform(back, back)
	f.Remove(back, "s1", 12)
	g.Expect(isUsed(f, back, "s1")).To(BeFalse())
	g.Expect(isUsed(f, back, "s2")).To(BeTrue())
}
