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

// Source names objects of the store. An empty name means all of a kind.
type Source struct{ Kind, Name string }

// Decoder makes the product's types of the store's values.
type Decoder interface {
	Routes(value json.RawMessage) (*routes.Table, error)
	Server(id string, value json.RawMessage) (backends.Server, error)
}

// Parts are what a process is made of.
type Parts struct {
	Log       logr.Logger
	Settings  Settings
	ReadAgain func() (Settings, error)
	Store     *objects.Client
	// Config is the object that holds the configuration, Servers the entries of
	// backend servers.
	Config, Servers Source
	Decode          Decoder
	Requests        relay.Wire
	Engines         relay.Engines
	// HealthPath is what the balancer asks for.
	HealthPath string
	// current is the settings in force.
	current *current
}

const (
	// memoryPart is the part of the memory at which the collector works harder.
	memoryPart = 0.6
	// collectAt is the growth in per cent at which the collector runs: the heap is
	// a few MB, and memory costs more here than the processor time.
	collectAt = 50
	// fewestVMs divides the slack of repeats at least, and unknownVMs while the number of
	// VMs isn't known.
	fewestVMs  = 12
	unknownVMs = 100
	// unknownFor is how long VMs take at most to know one another after a start.
	unknownFor = 3 * time.Second
)

// Run runs the process until ctx ends and its planned stop is over.
func Run(ctx context.Context, p Parts) error {
	s := p.Settings
	p.current = newCurrent(s)
	reload := newReloader(p.Log, p.ReadAgain, p.current)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * s.MemoryMB * (1 << 20)))
	}
	debug.SetGCPercent(collectAt)
	retries := budget.New(budget.Options{Ratio: s.RepeatRatio, Slack: s.RepeatSlack, Window: s.RepeatWindow, MinVMs: fewestVMs, StartupVMs: unknownVMs, StartupPeriod: unknownFor, Random: rand.Float64})
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
		Proven: config.proven, DataCentre: s.DataCentre, StallTimeout: patience,
	})
	// The duties go on through the planned stop, whose end ends the group.
	var group run.Group
	actors.AddContext(&group, reload.run)
	actors.AddContext(&group, handler.RunPaceRefresh)
	actors.AddContext(&group, handler.RunPoisonDetection)
	entries := newServerList(p, dispatcher, handler.ObserveProcess)
	placer := newPlacer(p, dispatcher, stop.stopping)
	if s.Peers != "" {
		talk := newPeers(p, dispatcher, handler)
		if err := join(&group, talk, p, config, entries, placer); err != nil {
			return err
		}
		stop.leave = talk.gossip.Leave
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

// dutyEntries names the duty of reading servers' entries.
const dutyEntries = "entries"

// join makes the duties that read the platform learn from other VMs, and tell them.
func join(group *run.Group, talk *peers, p Parts, config *configReader, entries *serverList, placer *placer) error {
	ask := questions{dialer: talk.dialer}
	contacts := slices.DeleteFunc(slices.Clone(p.Settings.Seeds), func(address string) bool { return address == p.Settings.Peers })
	isContact := len(contacts) < len(p.Settings.Seeds) || len(contacts) == 0
	config.peers = &configPeers{
		dialer: talk.dialer, self: talk.self, others: talk.others,
		ranked: func() []string { return talk.ranked(dutyTally) },
	}
	if !isContact {
		config.peers.contacts = contacts
	}
	entries.learns = mirror.NewFollower(entries.told, mirror.Options{
		Kind: p.Servers.Kind, Self: talk.self, Settled: talk.settled, Contacts: contacts, IsContact: isContact, FirstStart: p.Settings.FirstStart,
		All:  func() []lease.VM { return lease.Rank(dutyEntries, "", talk.everywhere()) },
		Near: func() []lease.VM { return lease.Rank(dutyEntries, "", talk.candidates()) },
		Ask:  ask.changes, Now: bootclock.Now,
	})
	talk.tells = entries.learns.Tells
	placer.candidates, placer.settled, placer.role.QueryHolder = talk.candidates, talk.settled, ask.holding
	tallies := newTallies(talk, config.keeper)
	actors.AddContext(group, tallies.run)
	return talk.add(
		group, p.Settings.Peers,
		serviceOf(tallyv1connect.NewTallyServiceHandler(tallies)),
		serviceOf(configv1connect.NewConfigServiceHandler(&configService{keeper: config.keeper})),
		serviceOf(entriesv1connect.NewEntriesServiceHandler(&mirror.Service{Log: entries.told})),
		serviceOf(rolesv1connect.NewRolesServiceHandler(&rolesService{role: placer.role})),
	)
}
