package backends_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
)

// newFourServers returns a fleet with one path of four servers.
func newFourServers() *backends.Fleet {
	f := backends.New()
	f.Replace(0, []backends.Server{
		server("s1", "a", "fast", 0, 20), server("s2", "a", "fast", 20, 40), server("s3", "a", "fast", 40, 60), server("s4", "a", "fast", 60, 80),
	}, 1)
	return f
}

// fillWithRequests adds requests until there is no capacity and returns how many.
func fillWithRequests(g *WithT, f *backends.Fleet, now time.Duration) int {
	for n := 0; ; n++ {
		choice, err := f.Path(now, service(), request())
		if err != nil {
			g.Expect(err).To(MatchError(backends.ErrFull))
			return n
		}
		f.AddLoad(choice.Load(1000))
	}
}

// Guards against a busy server being left alone for up to 1.6 s after rejections, although requests end
// there all the time: under overload its memory stayed unused.
func TestABusyServerIsFullForAMomentOnly(t *testing.T) {
	g := NewWithT(t)
	f := newFourServers()
	fillWithRequests(g, f, 0)
	f.RemoveLoad(backends.Load{First: "s1", Parts: []backends.LoadPart{{ID: "s1", Memory: 20_000}, {ID: "s2", Memory: 20_000}, {ID: "s3", Memory: 20_000}, {ID: "s4", Memory: 20_000}}})
	for now := time.Duration(0); now < time.Second; now += 100 * time.Millisecond {
		f.RecordNoMemory(now, "s2", service().Engine)
		_, err := f.Path(now+40*time.Millisecond, service(), request())
		g.Expect(err).To(MatchError(backends.ErrFull))
		_, err = f.Path(now+60*time.Millisecond, service(), request())
		g.Expect(err).NotTo(HaveOccurred())
	}
}

// Guards against a server that rejects requests while little of its memory is known to be used, as
// something unknown holds it, being offered requests again at once.
func TestAnUnexplainedRejectionKeepsRequestsOff(t *testing.T) {
	g := NewWithT(t)
	f := newFourServers()
	f.RecordNoMemory(0, "s2", service().Engine)
	_, err := f.Path(150*time.Millisecond, service(), request())
	g.Expect(err).To(MatchError(backends.ErrFull))
	_, err = f.Path(250*time.Millisecond, service(), request())
	g.Expect(err).NotTo(HaveOccurred())
}
