package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/division"
	"oleandershunt.example/oleandershunt/internal/core/routes"
)

// distribution decides in which data centre requests start.
type distribution struct {
	divider division.Divider
	// home is the VM's data centre.
	home string
	// capacities are those of all services as of capacitiesAt.
	capacities   map[string]division.ServiceCapacity
	capacitiesAt time.Duration
	// changes are the services that started or stopped to be divided since the last call of
	// TakeDivisionChanges.
	changes []division.Change
}

// SetDataCentre sets the VM's data centre.
func (d *Dispatcher) SetDataCentre(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.division.home = name
	d.fleet.SetDataCentre(name)
}

// SetDemandByDataCentre makes a new plan for the demand by data centre and service. A data centre
// without current figures is missing.
func (d *Dispatcher) SetDemandByDataCentre(byDataCentre map[string]map[string]division.Demand) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.divide(byDataCentre)
}

// TakeDivisionChanges returns the services that started or stopped to be divided since the last call.
func (d *Dispatcher) TakeDivisionChanges() []division.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	changes := d.division.changes
	d.division.changes = nil
	return changes
}

// applyDemand makes a new plan for the demand that reached all VMs; overall is nil without any. It
// must be called with the lock held.
func (d *Dispatcher) applyDemand(overall *demand.Overall) {
	if overall == nil && !d.division.divider.Divides() {
		return
	}
	byDataCentre := make(map[string]map[string]division.Demand)
	if overall != nil {
		for dataCentre, rates := range overall.DataCentres {
			byDataCentre[dataCentre] = demandByService(rates)
		}
	}
	d.divide(byDataCentre)
}

// demandByService adds up rates over priorities.
func demandByService(rates map[demand.Key]demand.Rate) map[string]division.Demand {
	services := make(map[string]division.Demand, len(rates))
	for key, rate := range rates {
		sum := services[key.Service]
		sum.Offered, sum.Started = sum.Offered+float64(rate.Offered), sum.Started+float64(rate.Started)
		services[key.Service] = sum
	}
	return services
}

// capacityInterval is the interval at which the capacities are calculated while nothing is divided: an
// idle VM must not go through thousands of servers with each tally.
const capacityInterval = time.Second

// divide makes a new plan. It must be called with the lock held.
func (d *Dispatcher) divide(byDataCentre map[string]map[string]division.Demand) {
	s, now := &d.division, d.now()
	if d.table == nil || len(d.demand.counter.Report(now).Counts) == 0 && !s.divider.Divides() {
		return // a VM without requests needs no plan, and there may be thousands of servers
	}
	refresh := s.capacities == nil || s.divider.Divides() || now-s.capacitiesAt >= capacityInterval
	if refresh {
		s.capacities, s.capacitiesAt = d.fleet.Capacities(now, d.services()), now
	}
	s.changes = append(s.changes, s.divider.Update(now, division.Observation{
		Home: s.home, Demand: byDataCentre, Capacities: s.capacities, Unreachable: d.fleet.Unreachable(now),
	})...)
	if refresh {
		s.setGauges(now)
	}
}

// services returns the services of the configuration in force. It must be called with the lock held.
func (d *Dispatcher) services() []routes.Service {
	var services []routes.Service
	for _, name := range d.table.ServiceNames() {
		if service, ok := d.table.Service(name); ok {
			services = append(services, service)
		}
	}
	return services
}

// setGauges sets the metrics of the plan and its inputs in this data centre.
func (s *distribution) setGauges(now time.Duration) {
	for service, input := range s.divider.Services() {
		site, fraction := input.Sites[s.home], 0.0
		for _, share := range s.divider.Shares(now, service, s.home) {
			fraction += share.Fraction
		}
		setServiceGauge("oleandershunt_division_capacity", service, site.Total)
		setServiceGauge("oleandershunt_division_demand", service, site.Demand)
		setServiceGauge("oleandershunt_division_fraction", service, fraction)
	}
}

func setServiceGauge(name, service string, value float64) {
	metrics.GetOrCreateGauge(fmt.Sprintf("%s{service=%q}", name, service), nil).Set(value)
}

// reaches reports whether a data centre isn't known to be unreachable.
func (d *Dispatcher) reaches(dataCentre string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.Contains(d.fleet.Unreachable(d.now()), dataCentre)
}

// drawDataCentre draws the data centre in which a request is to start.
func (d *Dispatcher) drawDataCentre(service, home string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	drawn := d.division.divider.Draw(d.now(), service, home, rand.Float64())
	if drawn != home {
		metrics.GetOrCreateCounter(fmt.Sprintf("oleandershunt_division_requests_total{service=%q}", service)).Inc()
	}
	return drawn
}
