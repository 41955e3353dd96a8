package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"runtime/debug"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/oklog/run"

	"oleandershunt.example/oleandershunt/internal/actors"
	"oleandershunt.example/oleandershunt/internal/bootclock"
	"oleandershunt.example/oleandershunt/internal/core/backends"
	"oleandershunt.example/oleandershunt/internal/core/budget"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/routes"
	"oleandershunt.example/oleandershunt/internal/mirror"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/config/v1/configv1connect"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1/entriesv1connect"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/roles/v1/rolesv1connect"
	"oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1/tallyv1connect"
	objects "oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// Source selects objects of the platform's object store. An empty Name selects all objects
// of the kind.
type Source struct{ Kind, Name string }

// Decoder decodes the values of stored objects.
type Decoder interface {
	Routes(value json.RawMessage) (*routes.Table, error)
	Server(id string, value json.RawMessage) (backends.Server, error)
}

// Parts are the dependencies and settings of Run.
type Parts struct {
	Log       logr.Logger
	Settings  Settings
	ReadAgain func() (Settings, error)
	Store     *objects.Client
	// Config selects the object with the configuration, Servers the backend server
	// entries.
	Config, Servers Source
	Decode          Decoder
	Requests        relay.Wire
	Engines         relay.Engines
	// HealthPath is the path of the load balancer's health check.
	HealthPath string
	// current holds the settings in force.
	current *currentSettings
}

const (
	// memoryLimitFraction is the fraction of the process's memory that is set as the
	// garbage collector's soft memory limit.
	memoryLimitFraction = 0.6
	// gcPercent is the heap growth, in percent, that triggers a garbage collection. The
	// heap is a few MB, and memory is scarcer here than processor time.
	gcPercent = 50
	// minBudgetVMs is the lowest number of VMs among which the slack of the retry budget
	// is divided; startupVMs is the number used while the number of VMs is unknown.
	minBudgetVMs = 12
	startupVMs   = 100
	// startupPeriod is how long VMs take at most to discover one another after a start.
	startupPeriod = 3 * time.Second
)

// Run runs the process until ctx ends and the graceful shutdown is complete.
func Run(ctx context.Context, p Parts) error {
	s := p.Settings
	p.current = newCurrentSettings(s)
	reload := newReloader(p.Log, p.ReadAgain, p.current)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * s.MemoryMB * (1 << 20)))
	}
	debug.SetGCPercent(gcPercent)
	retries := budget.New(budget.Options{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow, MinVMs: minBudgetVMs, StartupVMs: startupVMs, StartupPeriod: startupPeriod, Random: rand.Float64})
	dispatcher := relay.NewDispatcher(bootclock.Now, retries)
	dispatcher.WithFleet(func(_ time.Duration, fleet *backends.Fleet) { fleet.SetHeartbeatInterval(s.Signs) })
	if len(s.Seeds) == 0 {
		dispatcher.SetLiveVMs(1)
	}
	if s.Peers == "" {
		dispatcher.SetMembers(s.VM, []lease.VM{{Name: s.VM, DataCentre: s.DataCentre}})
	}
	config := newConfigReader(p, dispatcher)
	stop := newStopper(p)
	handler := relay.New(relay.Options{
		Log: p.Log, Wire: p.Requests, Engines: p.Engines, Dispatcher: dispatcher,
		Proven: config.proven, DataCentre: s.DataCentre, StallTimeout: stallTimeout,
	})
	// The background tasks keep running during the graceful shutdown; its end stops the
	// group.
	var group run.Group
	actors.AddContext(&group, reload.run)
	actors.AddContext(&group, handler.RunPaceRefresh)
	actors.AddContext(&group, handler.RunPoisonDetection)
	entries := newServerList(p, dispatcher, handler.ObserveProcess)
	placer := newPlacer(p, dispatcher, stop.stopping)
	if s.Peers != "" {
		network := newPeerNetwork(p, dispatcher, handler)
		if err := addPeerActors(&group, network, p, config, entries, placer); err != nil {
			return err
		}
		stop.announceLeave = network.gossip.Leave
	}
	actors.AddContext(&group, config.run)
	actors.AddContext(&group, entries.run)
	actors.AddContext(&group, placer.run)
	if err := addServers(&group, p, handler, config, stop); err != nil {
		return err
	}
	group.Add(func() error { return stop.wait(ctx, handler) }, stop.interrupt)
	telemetry.VMStarted.Log(p.Log, "vm", s.VM, "dataCentre", s.DataCentre, "callers", s.Callers)
	err := group.Run()
	telemetry.VMDrained.Log(p.Log, "vm", s.VM)
	return err
}

// roleEntries is the role of watching the backend server entries.
const roleEntries = "entries"

// addPeerActors connects the tasks that read the platform to the other VMs, so that they
// learn from them and answer their queries, and adds the server for peers to the group.
func addPeerActors(group *run.Group, network *peerNetwork, p Parts, config *configReader, entries *serverList, placer *placer) error {
	queries := peerQueries{dialer: network.dialer}
	contacts := slices.DeleteFunc(slices.Clone(p.Settings.Seeds), func(address string) bool { return address == p.Settings.Peers })
	isContact := len(contacts) < len(p.Settings.Seeds) || len(contacts) == 0
	config.peers = &configPeers{
		dialer: network.dialer, self: network.self, others: network.others,
		ranked: func() []string { return network.ranked(roleTally) },
	}
	if !isContact {
		config.peers.contacts = contacts
	}
	entries.follower = mirror.NewFollower(entries.entryLog, mirror.Options{
		Kind: p.Servers.Kind, Self: network.self, Settled: network.settled, Contacts: contacts, IsContact: isContact, FirstStart: p.Settings.FirstStart,
		All:  func() []lease.VM { return lease.Rank(roleEntries, "", network.liveVMs()) },
		Near: func() []lease.VM { return lease.Rank(roleEntries, "", network.candidates()) },
		Ask:  queries.changes, Now: bootclock.Now,
	})
	network.reportsDepartures = entries.follower.Tells
	placer.candidates, placer.settled, placer.role.QueryHolder = network.candidates, network.settled, queries.holding
	tallies := newTallyExchanger(network, config.proofs)
	actors.AddContext(group, tallies.run)
	return network.add(
		group, p.Settings.Peers,
		serviceOf(tallyv1connect.NewTallyServiceHandler(tallies)),
		serviceOf(configv1connect.NewConfigServiceHandler(&configService{proofs: config.proofs})),
		serviceOf(entriesv1connect.NewEntriesServiceHandler(&mirror.Service{Log: entries.entryLog})),
		serviceOf(rolesv1connect.NewRolesServiceHandler(&rolesService{role: placer.role})),
	)
}
