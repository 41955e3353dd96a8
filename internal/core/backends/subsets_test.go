package backends

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"oleandershunt.example/oleandershunt/internal/core/history"
)

// scan returns what the periodic work is to find, by going through all servers.
func (f *Fleet) scan(now, age, span time.Duration) (used map[string]Usage, full map[string]time.Duration, slow []string, paces map[string]float64) {
	used, full, paces = make(map[string]Usage), make(map[string]time.Duration), make(map[string]float64)
	for id, s := range f.servers {
		if s.localUsage != (Usage{}) {
			used[id] = s.localUsage
		}
		if now < s.fullUntil {
			full[id] = s.fullBackoff
		}
		if s.currentPace(now) >= minSlowPace && now > s.paceUpdatedAt+age && !f.pauses.Active(now, id) {
			slow = append(slow, id)
		}
		if s.sharePace && now < s.paceReportedAt+span {
			paces[id] = s.pace
		}
	}
	slices.Sort(slow)
	return used, full, slow, paces
}

// scanMissing returns the servers whose entries are missing.
func (f *Fleet) scanMissing() (missing []string) {
	for id, s := range f.servers {
		if s.missing.revision > 0 {
			missing = append(missing, id)
		}
	}
	slices.Sort(missing)
	return missing
}

// subsetsModel is a fleet with the requests that run there.
type subsetsModel struct {
	fleet    *Fleet
	now      time.Duration
	revision history.Version
	running  []Load
}

func drawServer(t *rapid.T) string { return fmt.Sprint("s", rapid.IntRange(0, 4).Draw(t, "server")) }

func (m *subsetsModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond },
		"put": func(t *rapid.T) {
			m.revision++
			id := drawServer(t)
			m.fleet.Put(m.now, Server{ID: id, Service: "app", Address: id + ":1", Slots: 4, Revision: m.revision})
		},
		"remove": func(t *rapid.T) {
			m.revision++
			m.fleet.Remove(m.now, drawServer(t), m.revision)
		},
		"begin": func(t *rapid.T) {
			id := drawServer(t)
			load := Load{First: id, Parts: []LoadPart{{ID: id, Memory: 8}, {ID: drawServer(t), Memory: 4}}}
			m.fleet.AddLoad(load)
			m.running = append(m.running, load)
		},
		"end": func(*rapid.T) {
			if len(m.running) > 0 {
				m.fleet.RemoveLoad(m.running[0])
				m.running = m.running[1:]
			}
		},
		"full":  func(t *rapid.T) { m.fleet.MarkFull(m.now, drawServer(t)) },
		"pause": func(t *rapid.T) { m.fleet.Pause(m.now, drawServer(t), time.Second) },
		"pace":  func(t *rapid.T) { m.fleet.SetPace(m.now, drawServer(t), float64(rapid.IntRange(1, 4).Draw(t, "pace"))) },
		"remotePace": func(t *rapid.T) {
			m.fleet.SetRemotePace(m.now, drawServer(t), float64(rapid.IntRange(1, 4).Draw(t, "pace")))
		},
		"platform": func(t *rapid.T) {
			if rapid.Bool().Draw(t, "down") {
				m.fleet.SetPlatformDown()
			} else {
				m.fleet.ConfirmPlatform(m.now, m.now)
			}
		},
		"expire": func(*rapid.T) { m.fleet.RemoveExpired(m.now) },
		"":       m.check,
	}
}

// check compares the results with those of going through all servers.
func (m *subsetsModel) check(t *rapid.T) {
	const age, span = 300 * time.Millisecond, time.Second
	used, full, slow, paces := m.fleet.scan(m.now, age, span)
	var found []string
	for _, server := range m.fleet.SlowServers(m.now, age) {
		found = append(found, server.ID)
	}
	slices.Sort(found)
	missing := slices.Sorted(maps.Keys(m.fleet.subsets.missing))
	if !maps.Equal(m.fleet.PublishUsage(), used) || !maps.Equal(m.fleet.FullServers(m.now), full) || !slices.Equal(found, slow) ||
		!maps.Equal(m.fleet.PacesToPublish(m.now, span), paces) || !slices.Equal(missing, m.fleet.scanMissing()) {
		t.Fatalf("the sets %+v miss servers", m.fleet.subsets)
	}
}

// Guards against a server that periodic work overlooks, whatever changes in between.
func TestPeriodicWorkFindsAllServersThatItIsAbout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &subsetsModel{fleet: New()}
		t.Repeat(m.actions())
	})
}

// Guards against an idle VM that goes through all servers some fifteen times a second.
func TestPeriodicWorkIsAboutServersInUse(t *testing.T) {
	g := NewWithT(t)
	f := New()
	for i := range 3000 {
		f.Put(0, Server{ID: fmt.Sprint("s", i), Service: "app", Address: fmt.Sprint(i, ":1"), Slots: 4, Revision: 1})
	}
	visited := func() int {
		s := f.subsets
		return len(s.used) + len(s.full) + len(s.paced) + len(s.slow) + len(s.missing)
	}
	g.Expect(visited()).To(BeZero())
	load := Load{First: "s1", Parts: []LoadPart{{ID: "s1", Memory: 8}, {ID: "s2", Memory: 8}}}
	f.AddLoad(load)
	f.MarkFull(0, "s3")
	f.SetPace(0, "s4", 2*minSlowPace)
	g.Expect(visited()).To(Equal(5))
	f.RemoveLoad(load)
	later := paceTTL + time.Minute
	f.PublishUsage()
	f.FullServers(later)
	f.PacesToPublish(later, time.Second)
	f.SlowServers(later, 0)
	g.Expect(visited()).To(BeZero(), "nothing is in use any more")
}

// Guards against checking for missing entries ten times a second although there are none, and
// against too few checks while there are some.
func TestChecksForMissingEntriesAreFrequentOnlyWhileThereAreSome(t *testing.T) {
	g := NewWithT(t)
	f := New()
	server := Server{ID: "s1", Service: "app", Address: "1:1", Slots: 4, Revision: 1}
	f.Put(0, server)
	g.Expect(f.HasPending()).To(BeFalse())
	f.SetPlatformDown()
	f.Remove(0, "s1", 2)
	g.Expect(f.HasPending()).To(BeTrue())
	server.Revision = 3
	f.Put(time.Second, server)
	g.Expect(f.HasPending()).To(BeFalse(), "the entry is back")
	f.Remove(2*time.Second, "s1", 4)
	f.ConfirmPlatform(2*time.Second, 2*time.Second)
	f.RemoveExpired(2*time.Second + ExpiryGrace)
	g.Expect(f.HasPending()).To(BeFalse(), "the server was deleted")
}
