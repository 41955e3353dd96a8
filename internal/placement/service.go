// Package placement gives the orders that bring the backend servers of one data
// centre to what they should hold. One VM of the data centre holds the role by
// a lease in the platform; internal/core/place decides.
package placement

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/core/lease"
	"oleandershunt.example/oleandershunt/internal/core/place"
	"oleandershunt.example/oleandershunt/internal/engine"
	"oleandershunt.example/oleandershunt/internal/peer"
	"oleandershunt.example/oleandershunt/internal/platform"
	"oleandershunt.example/oleandershunt/internal/role"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

const (
	planInterval = time.Second
	// statusInterval bounds the writes of the Status record.
	statusInterval = 2 * time.Second
	// kindLease is the platform's kind of object for leases.
	kindLease = "Lease"
	// leaseTime is how long the role holds without being renewed.
	leaseTime = 9 * time.Second
	// roleInterval is how often it is renewed, or looked at, and roleTick how often
	// it is asked whether that is due.
	roleInterval = 2 * time.Second
	roleTick     = 500 * time.Millisecond
	// candidates is the number of VMs which look whether the role is free; all
	// VMs would be too many reads.
	candidates = 2
)

// Engines is the part of the engines' client that placement needs.
type Engines interface {
	Order(ctx context.Context, address string, order engine.Order) error
	Capabilities(ctx context.Context, address string) (engine.Capabilities, error)
}

// Service plans and gives orders while this VM holds the role. It is safe for
// concurrent use.
type Service struct {
	log       logr.Logger
	engines   Engines
	directory *peer.Directory
	store     role.Store
	role      *role.Role
	options   place.Options
	now       func() time.Duration

	mu        sync.Mutex
	planner   *place.Planner
	addresses map[string]string
	status    place.Status
	// published is the JSON of what the Status record says, by this VM's last write.
	published string
}

// New makes a service for the data centre of the VM self. now is the VM's
// monotonic clock.
func New(log logr.Logger, self peer.Member, store role.Store, engines Engines, directory *peer.Directory, now func() time.Duration) *Service {
	options := place.DefaultOptions(self.DataCentre)
	return &Service{
		log:       log,
		engines:   engines,
		directory: directory,
		options:   options,
		now:       now,
		planner:   place.New(options),
		addresses: make(map[string]string),
		store:     store,
		role: role.New(role.Options{
			Store: store, Kind: kindLease, Name: "placement-" + self.DataCentre, Self: vmOf(self), Candidates: candidates,
			Times: role.Times{Lease: leaseTime, Interval: roleInterval}, Now: now,
		}),
	}
}

func vmOf(m peer.Member) lease.VM {
	return lease.VM{Name: m.Name, DataCentre: m.DataCentre, Incarnation: m.Incarnation}
}

// Configure takes the configuration in force.
func (s *Service) Configure(set *config.Set) {
	models := make(map[string]place.Model, len(set.Models))
	for name, spec := range set.Models {
		models[name] = place.Model{Layers: spec.Layers, Version: spec.Version}
	}
	addresses := make(map[string]string)
	var records []place.ServerConfig
	for _, server := range set.Servers() {
		if server.Model == "" || server.DataCentre != s.options.DataCentre {
			continue
		}
		addresses[server.Name] = server.Address
		records = append(records, place.ServerConfig{
			Name:          server.Name,
			Accelerator:   server.Accelerator,
			ChecksFencing: server.ChecksFencing,
			Leaving:       server.Leaving,
			Desired:       place.Placement{Model: server.Model, Version: server.Version, Layers: server.Layers},
		})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addresses = addresses
	s.planner.Configure(s.now(), models, records)
}

// Observe takes the core's judgement on backend servers. It doesn't wait.
func (s *Service) Observe(action core.Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch a := action.(type) {
	case core.ServerChanged:
		up := a.Status.State != fleet.Gone && !a.Status.Unreachable
		s.planner.SetAvailable(s.now(), a.Status.Server, up)
	case core.ServerRestarted:
		s.planner.HandleRestart(a.Restart.Server)
	}
}

// Run plans until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		s.plan(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// RunRole keeps the lease until ctx ends.
func (s *Service) RunRole(ctx context.Context) error {
	ticker := time.NewTicker(roleTick)
	defer ticker.Stop()
	for {
		s.role.Step(ctx, s.vms())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// RunStatus writes the Status record when it changed, at a bounded rate, while
// this VM holds the role, until ctx ends.
func (s *Service) RunStatus(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	for {
		if status := s.Status(); status.Holder {
			s.publish(ctx, status)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Service) publish(ctx context.Context, status place.Status) {
	record := api.PlacementStatus{DataCentre: status.DataCentre, Changes: []api.PlacementChange{}}
	for _, change := range status.Changes {
		record.Changes = append(record.Changes, api.PlacementChange{Model: change.Model, What: change.String()})
	}
	value, err := json.Marshal(record)
	if err != nil || string(value) == s.published {
		return
	}
	record.By, record.At = s.role.Self.Name, time.Now().UTC().Format(time.RFC3339)
	name := api.StatusPlacementPrefix + status.DataCentre
	object, err := s.store.Get(ctx, string(api.KindStatus), name)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		_, err = s.store.Create(ctx, string(api.KindStatus), name, record)
	case err == nil:
		_, err = s.store.Update(ctx, string(api.KindStatus), name, object.Version, record)
	}
	if err == nil {
		s.published = string(value)
	}
}

// Release gives the role up at a planned stop.
func (s *Service) Release(ctx context.Context) { s.role.Release(ctx) }

// Status says how the placement stands as far as this VM knows.
func (s *Service) Status() place.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// vms lists the VMs of the data centre that are known.
func (s *Service) vms() []lease.VM {
	var vms []lease.VM
	for _, member := range s.directory.Members() {
		if member.DataCentre == s.options.DataCentre {
			vms = append(vms, vmOf(member))
		}
	}
	return vms
}

func (s *Service) plan(ctx context.Context) {
	tenure := s.role.LeaseState()
	s.mu.Lock()
	if tenure.Held {
		s.planner.SetLease(tenure.Epoch, tenure.Since, tenure.Until)
	} else {
		s.planner.ClearLease()
	}
	decision := s.planner.Plan(s.now())
	if decision.Status != nil {
		s.status = *decision.Status
	}
	s.mu.Unlock()
	if decision.Status != nil && decision.Status.Holder {
		telemetry.PlacementChanged.Log(s.log, "status", *decision.Status)
	}
	for _, server := range decision.Reads {
		go s.read(ctx, server)
	}
	for _, order := range decision.Orders {
		go s.give(ctx, order)
	}
}

func (s *Service) address(server string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[server]
}

func (s *Service) read(ctx context.Context, server string) {
	ctx, cancel := context.WithTimeout(ctx, planInterval)
	defer cancel()
	began := s.now()
	c, err := s.engines.Capabilities(ctx, s.address(server))
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.Observe(place.Report{
		Server:      server,
		Incarnation: c.Incarnation,
		Current:     place.Placement{Model: c.Model, Version: c.Version, Layers: c.Layers, Adapters: c.Adapters, Role: string(c.Role)},
		Loading:     c.Loading,
		Direct:      true,
		At:          began,
	})
}

// give gives an order if the role is still held at the last moment, with the
// time limit on which the wait of a successor is built.
func (s *Service) give(ctx context.Context, order place.Order) {
	address := s.address(order.Server)
	ctx, cancel := context.WithTimeout(ctx, s.options.OrderTimeout)
	defer cancel()
	result := place.NotSent
	if tenure := s.role.LeaseState(); tenure.Held && tenure.Epoch == order.Fence {
		result = resultOf(s.engines.Order(ctx, address, engineOrder(order)))
		telemetry.OrderGiven.Log(s.log, "order", order, "result", result)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.HandleResult(s.now(), order.ID, result)
}

func engineOrder(order place.Order) engine.Order {
	out := engine.Order{
		ID:      order.ID,
		Fence:   order.Fence,
		Kind:    engine.OrderKind(order.Kind),
		Model:   order.Placement.Model,
		Version: order.Placement.Version,
		Layers:  order.Placement.Layers,
		Role:    engine.Role(order.Placement.Role),
	}
	if len(order.Placement.Adapters) > 0 {
		out.Adapter = slices.Clone(order.Placement.Adapters)[0]
	}
	return out
}

func resultOf(err error) place.Result {
	switch {
	case err == nil:
		return place.Accepted
	case errors.Is(err, engine.ErrStaleFence):
		return place.StaleFence
	case errors.Is(err, engine.ErrOrderRefused):
		return place.Refused
	default:
		return place.Unknown
	}
}
