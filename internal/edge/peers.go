package edge

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Intervals of the communication between VMs.
const (
	// deployment is the name that all VMs of a gossip cluster share. A platform runs one.
	deployment = "forward"
	// gossipInterval is the time between two gossip rounds.
	gossipInterval = 150 * time.Millisecond
	// reportInterval is the time between two reports of a VM. They reach the other VMs
	// after two or three gossip rounds.
	reportInterval = 300 * time.Millisecond
	// reportIntervalPerVM extends the interval of reports about slow servers for each VM
	// beyond reportIntervalVMs. Many VMs report slow servers at the same time; with the
	// longer interval a VM receives no more than about 30 of these reports a second,
	// whatever the number of VMs. Other reports come from few VMs.
	//
	// Handling a report costs processor time: with too many of them, events that pass
	// through a small VM are late although every server keeps its pace.
	reportIntervalPerVM = 60 * time.Millisecond
	reportIntervalVMs   = 9
	// reportKey is the gossip key under which each VM publishes its report.
	reportKey = "word"
	// membershipSettleTime is how long VMs that start together need to discover one
	// another: several gossip rounds. firstStartSettleTime is the same for the first start
	// of all VMs, when callers come many seconds later.
	membershipSettleTime = time.Second
	firstStartSettleTime = 2 * time.Second
)

// peerNetwork is the communication with the other VMs: membership, and reports on servers
// and on request bodies that may crash them.
type peerNetwork struct {
	log        logr.Logger
	self       string
	dispatcher *relay.Dispatcher
	gossip     *gossip.Gossip
	directory  *peer.Directory
	identity   peer.Identity
	dialer     *peer.Dialer
	handler    *relay.Handler
	dataCentre string
	// startedAt is when the communication started; firstStart is set when all VMs start
	// for the first time.
	startedAt  time.Duration
	firstStart bool
	// reportsDepartures reports whether this VM publishes the departures of servers that
	// it knows of.
	reportsDepartures func() bool
	// reportMu is held while a report is made. sequence numbers the reports.
	reportMu sync.Mutex
	sequence uint64
	// lastReportEmpty is set when the last report was empty. pacesReportedAt is when slow
	// servers were last reported.
	lastReportEmpty bool
	pacesReportedAt time.Duration
	// recentFindings are the findings of the last reports, which are repeated.
	recentFindings [][]relay.Finding

	mu sync.Mutex
	// unresponsive are the unresponsive servers that this VM found, and departures the
	// departures of servers, each with the number of reports that still repeat it.
	unresponsive map[string]int
	departures   map[backends.Departure]int
}

// peerReport is what a VM publishes by gossip. The sequence number makes each report a new
// value: an old one says nothing about what happened since.
type peerReport struct {
	Sequence uint64 `json:"n"`
	// Unresponsive are the servers that don't answer.
	Unresponsive []string `json:"x,omitempty"`
	// Departures are the servers that are draining or whose entries were removed.
	Departures []backends.Departure `json:"g,omitempty"`
	// Paces are the paces of servers that are slow or were slow, as this VM knows them
	// from the servers.
	Paces map[string]float64 `json:"p,omitempty"`
	// Findings are the findings on request bodies that may crash servers.
	Findings []relay.Finding `json:"c,omitempty"`
}

// newPeerNetwork creates the communication with other VMs without starting it.
func newPeerNetwork(p Parts, d *relay.Dispatcher, handler *relay.Handler) *peerNetwork {
	s := p.Settings
	// A later process of the VM has a higher incarnation. If the wall clock was set back,
	// the gossip detects that and raises it.
	incarnation := uint64(time.Now().UnixMicro())
	identity := peer.Identity{Name: s.VM, Deployment: deployment}
	directory := peer.NewDirectory()
	network := &peerNetwork{
		log: p.Log, self: s.VM, dataCentre: s.DataCentre, dispatcher: d, handler: handler, directory: directory,
		startedAt: bootclock.Now(), firstStart: s.FirstStart, reportsDepartures: func() bool { return true },
		unresponsive: make(map[string]int), departures: make(map[backends.Departure]int),
	}
	network.identity, network.dialer = identity, peer.NewDialer(directory, identity, nil)
	network.gossip = gossip.New(gossip.Options{
		Self: peer.Member{
			Name: s.VM, DataCentre: s.DataCentre, Deployment: deployment, Address: s.Peers,
			Incarnation: fmt.Sprintf("%016x", incarnation), Cores: s.Cores,
		},
		Incarnation: incarnation, Directory: directory,
		Dialer:   network.dialer,
		Interval: gossipInterval,
		Contacts: func() []string { return s.Seeds },
		Now:      bootclock.Now,
		Seed:     incarnation,
	})
	handler.OnUnresponsive = network.reportUnresponsive
	network.gossip.OnEntry(reportKey, network.receiveReport)
	return network
}

// add adds the server for other VMs with the given services, the gossip and the reports to
// the group.
func (t *peerNetwork) add(group *run.Group, address string, services ...service) error {
	server := peer.NewServer(t.identity, nil, func(from, address string, err error) {
		telemetry.PeerRefused.Fail(t.log, err, "from", from, "address", address)
	})
	server.Handle(t.gossip.Handler())
	for _, service := range services {
		server.Handle(service.path, service.handler)
	}
	if err := listen(group, server.HTTPServer(), address); err != nil {
		return err
	}
	actors.AddContext(group, func(ctx context.Context) error {
		t.gossip.Meet(ctx)
		return t.gossip.Run(ctx)
	})
	actors.AddContext(group, t.run)
	return nil
}

// service is an RPC service for other VMs.
type service struct {
	path    string
	handler http.Handler
}

func serviceOf(path string, handler http.Handler) service { return service{path, handler} }

// settled reports whether the VMs had time to discover one another.
func (t *peerNetwork) settled() bool {
	within := membershipSettleTime
	if t.firstStart {
		within = firstStartSettleTime
	}
	return bootclock.Now()-t.startedAt >= within
}

// ranked lists the VMs of this data centre that may take a role, this one included, in the
// order of their rank. VMs with the same view of the live VMs compute the same order.
func (t *peerNetwork) ranked(role string) []string {
	var names []string
	for _, vm := range lease.Rank(role, t.dataCentre, t.candidates()) {
		names = append(names, vm.Name)
	}
	return names
}

// candidates lists the live VMs of this data centre that are not stopping, this one
// included.
func (t *peerNetwork) candidates() []lease.VM {
	return slices.DeleteFunc(t.liveVMs(), func(vm lease.VM) bool { return vm.DataCentre != t.dataCentre })
}

// liveVMs lists the live VMs of all data centres that are not stopping.
func (t *peerNetwork) liveVMs() []lease.VM {
	var vms []lease.VM
	for dataCentre, names := range t.gossip.LiveVMs() {
		for _, name := range names {
			if member, _ := t.directory.Member(name); !member.Leaving {
				vms = append(vms, lease.VM{Name: name, DataCentre: dataCentre, Cores: member.Cores})
			}
		}
	}
	return vms
}

// others lists the other VMs of all data centres that are live or may be.
func (t *peerNetwork) others() []string {
	var others []string
	for _, names := range t.gossip.LiveVMs() {
		others = append(others, names...)
	}
	return slices.DeleteFunc(others, func(name string) bool { return name == t.self })
}

// run publishes this VM's reports.
func (t *peerNetwork) run(ctx context.Context) error {
	for {
		select {
		case <-time.After(reportInterval):
			t.publishReport()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// paceReportInterval returns the time between two reports on slow servers by one VM, for a
// number of VMs.
func paceReportInterval(vms int) time.Duration {
	return reportInterval + time.Duration(max(vms-reportIntervalVMs, 0))*reportIntervalPerVM
}

func (t *peerNetwork) publishReport() {
	t.reportMu.Lock()
	defer t.reportMu.Unlock()
	t.sequence++
	report := peerReport{Sequence: t.sequence}
	var departures []backends.Departure
	pace := paceReportInterval(len(t.others()) + 1)
	t.dispatcher.WithFleet(func(at time.Duration, fleet *backends.Fleet) {
		departures = fleet.TakeDepartures()
		if at >= t.pacesReportedAt+pace {
			t.pacesReportedAt, report.Paces = at, fleet.PacesToPublish(at, 2*pace)
		}
	})
	if !t.reportsDepartures() {
		departures = nil // the VM that watches the entries reports them
	}
	report.Unresponsive, report.Departures = t.takePending(departures)
	report.Findings = t.pendingFindings()
	empty := len(report.Unresponsive)+len(report.Departures)+len(report.Findings)+len(report.Paces) == 0
	if empty && t.lastReportEmpty {
		return
	}
	// Gossip keeps the last report, and a VM that starts receives it as new. Therefore an
	// empty report follows, or the servers in the old one would count as unresponsive
	// again.
	t.lastReportEmpty = empty
	value, err := json.Marshal(report)
	if err != nil {
		panic(err) // a peerReport can always be encoded
	}
	t.gossip.Put(reportKey, value, len(report.Unresponsive)+len(report.Departures)+len(report.Findings) > 0)
}

// pendingFindings lists the findings for the next report: all new ones and those of the
// last reports.
func (t *peerNetwork) pendingFindings() []relay.Finding {
	fresh := t.handler.TakeFindings()
	t.recentFindings = append(t.recentFindings, fresh)
	if len(t.recentFindings) > reportRepeats {
		t.recentFindings = t.recentFindings[1:]
	}
	var list []relay.Finding
	for _, findings := range t.recentFindings {
		list = append(list, findings...)
	}
	return list
}

// reportRepeats is the number of reports that repeat an unresponsive or departed server,
// or a finding.
const reportRepeats = 3

// reportUnresponsive publishes at once that a server doesn't answer.
func (t *peerNetwork) reportUnresponsive(id string) {
	t.mu.Lock()
	_, known := t.unresponsive[id]
	t.unresponsive[id] = reportRepeats
	t.mu.Unlock()
	if !known {
		t.publishReport()
	}
}

// takePending lists the unresponsive and the departed servers for the next report. Both
// are repeated in several reports because a VM may miss one.
func (t *peerNetwork) takePending(departures []backends.Departure) (unresponsive []string, departed []backends.Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, departure := range departures {
		t.departures[departure] = reportRepeats
	}
	return takeOnce(t.unresponsive), takeOnce(t.departures)
}

// takeOnce lists the items for one report, and drops those that were repeated often
// enough.
func takeOnce[K comparable](remaining map[K]int) []K {
	var list []K
	for item := range remaining {
		list = append(list, item)
		if remaining[item]--; remaining[item] <= 0 {
			delete(remaining, item)
		}
	}
	return list
}

func (t *peerNetwork) receiveReport(entry gossip.Entry) {
	var report peerReport
	if err := json.Unmarshal(entry.Value, &report); err != nil {
		telemetry.PeerUnread.Fail(t.log, err, "vm", entry.VM)
		return
	}
	for _, finding := range report.Findings {
		t.handler.ReceiveFinding(finding)
	}
	for _, id := range report.Unresponsive {
		t.handler.MarkUnresponsive(id, true)
	}
	t.dispatcher.WithFleet(func(at time.Duration, fleet *backends.Fleet) {
		for id, pace := range report.Paces {
			fleet.SetRemotePace(at, id, pace)
		}
		for _, departure := range report.Departures {
			fleet.ApplyDeparture(at, departure)
		}
	})
}
