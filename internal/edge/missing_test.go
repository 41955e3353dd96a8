package edge

import (
	"encoding/json"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
)

// recordingLog returns a log and the lines that it got.
func recordingLog() (logr.Logger, *[]string) {
	lines := new([]string)
	return funcr.New(func(_, args string) { *lines = append(*lines, args) }, funcr.Options{}), lines
}

// Guards against servers that are used although their entries are missing, without a line in the log.
func TestMissingEntriesAreLogged(t *testing.T) {
	const outageEnd = 10 * time.Second
	for outcome, end := range map[string]func(fleet *backends.Fleet){
		"returned": func(fleet *backends.Fleet) {
			fleet.Put(outageEnd+time.Second, backends.Server{ID: "s1", Service: "app", Address: "1:1", Revision: 4})
		},
		"removed": func(fleet *backends.Fleet) { fleet.RemoveExpired(outageEnd + backends.ExpiryGrace) },
	} {
		t.Run(outcome, func(t *testing.T) {
			g := NewWithT(t)
			log, lines := recordingLog()
			fleet := backends.New()
			fleet.ConfirmPlatform(time.Second, 0)
			fleet.Put(time.Second, backends.Server{ID: "s1", Service: "app", Address: "1:1", Revision: 1})
			fleet.SetPlatformDown()
			fleet.ConfirmPlatform(outageEnd, outageEnd)
			var missing missingEntryLog
			missing.update(log, outageEnd, fleet)
			g.Expect(*lines).To(BeEmpty())
			fleet.Replace(outageEnd, nil, 3)
			missing.update(log, outageEnd, fleet)
			missing.update(log, outageEnd+time.Second, fleet)
			g.Expect(*lines).To(ConsistOf(And(ContainSubstring(`"event"=6109`), ContainSubstring(`"server"="s1"`), ContainSubstring(`"forMs"=1850`))))
			end(fleet)
			missing.update(log, outageEnd+backends.ExpiryGrace, fleet)
			g.Expect(*lines).To(HaveLen(2))
			g.Expect((*lines)[1]).To(And(ContainSubstring(`"event"=6110`), ContainSubstring(`"outcome"="`+outcome+`"`), ContainSubstring(`"afterMs"=2200`)))
		})
	}
}

// jsonDecoder decodes servers as they are, and no routes.
type jsonDecoder struct{}

func (jsonDecoder) Routes(json.RawMessage) (*routes.Table, error) { return nil, nil }

func (jsonDecoder) Server(id string, value json.RawMessage) (backends.Server, error) {
	server := backends.Server{ID: id}
	return server, json.Unmarshal(value, &server)
}

// Guards against changes of entries of which the log doesn't say where they were learnt.
func TestChangesOfEntriesAreLoggedWithTheirSource(t *testing.T) {
	g := NewWithT(t)
	log, lines := recordingLog()
	options := Options{Log: log, Decode: jsonDecoder{}, current: newCurrentSettings(Settings{})}
	l := newServerList(options, relay.NewDispatcher(func() time.Duration { return time.Minute }, nil), func(backends.Server) {})
	start := time.Now()
	l.follower.RecordPlatformResponse()
	g.Expect(l.HandleEvent(objects.WatchEvent{Object: objects.Object{Name: "s1", Version: 1, Value: []byte(`{"Service":"app","Address":"1:1"}`)}})).To(Succeed())
	elapsed := time.Since(start).Milliseconds()
	g.Expect(*lines).To(ConsistOf(And(ContainSubstring(`"event"=6101`), ContainSubstring(`"from"="platform"`))))
	_, after, found := strings.Cut((*lines)[0], `"proofAgeMs"=`)
	g.Expect(found).To(BeTrue())
	age, err := strconv.ParseInt(after, 10, 64)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(age).To(And(BeNumerically(">=", 0), BeNumerically("<=", elapsed)))
}

// Guards against a departure that is never reported: the VM that read it from the platform reads the platform no more
// when its next report is made.
func TestDepartureReadFromThePlatformIsReportedLater(t *testing.T) {
	g := NewWithT(t)
	network := &peerNetwork{departures: make(map[backends.Departure]int), unresponsive: make(map[string]int)}
	fleet := backends.New()
	fleet.Put(0, backends.Server{ID: "s1", Service: "app", Address: "1:1", Revision: 1})
	fleet.Remove(time.Second, "s1", 4)
	network.keepDepartures(fleet, true)
	network.keepDepartures(fleet, false)
	for range reportRepeats {
		_, departed := network.takePending()
		g.Expect(departed).To(ConsistOf(backends.Departure{ID: "s1", Revision: 4}))
	}
	_, departed := network.takePending()
	g.Expect(departed).To(BeEmpty())
}
