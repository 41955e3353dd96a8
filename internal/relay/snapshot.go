package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/pace"
)

// Bounds of an AdmissionState, so that its size doesn't grow with the configuration or the demand.
const (
	maxSnapshotServices    = 100
	maxSnapshotPriorities  = 16
	maxSnapshotAccounts    = 32
	maxSnapshotDataCentres = 32
	// maxReasonBytes bounds the text of an error.
	maxReasonBytes = 400
)

// AdmissionState is what decides on the admission of requests on this VM, for its operators.
type AdmissionState struct {
	// Services are those that got requests, the ones with the longest queues first. OmittedServices is how
	// many others there are.
	Services        []ServiceState `json:"services"`
	OmittedServices int            `json:"omittedServices,omitempty"`
}

// ServiceState is the state of a service on this VM. What doesn't apply to the service is absent.
type ServiceState struct {
	Service string       `json:"service"`
	Queue   QueueState   `json:"queue"`
	Limits  *LimitsState `json:"limits,omitempty"`
	// OverShare are the accounts that exceed their share.
	OverShare []AccountState `json:"overShare,omitempty"`
	// Promises is the number of this VM's promised return times that callers can still claim.
	Promises int            `json:"promises"`
	Division *DivisionState `json:"division,omitempty"`
}

// QueueState is the queue of a service.
type QueueState struct {
	Requests int `json:"requests"`
	// ByPriority are the waiting requests, the most urgent ones first. Requests of the least urgent
	// priorities may be left out of it.
	ByPriority   []PriorityState `json:"byPriority,omitempty"`
	OldestWaitMS int64           `json:"oldestWaitMs"`
	// LastFailure is why the last request tried couldn't start, and LastFailureAgoMS when that was.
	LastFailure      string `json:"lastFailure,omitempty"`
	LastFailureAgoMS int64  `json:"lastFailureAgoMs,omitempty"`
}

// PriorityState is the number of waiting requests of a priority.
type PriorityState struct {
	Priority int `json:"priority"`
	Requests int `json:"requests"`
}

// LimitsState are the limits on a service's streams and their use. A limit of 0 is none.
type LimitsState struct {
	StartingLimit float64 `json:"startingLimit"`
	Starting      int     `json:"starting"`
	RunningLimit  float64 `json:"runningLimit"`
	Running       int     `json:"running"`
	// Lowered is the limit that was last lowered: "starting" by late first events, "running" by late
	// gaps. Decreases is how often one was.
	Lowered      pace.Limit `json:"lowered,omitempty"`
	Decreases    int        `json:"decreases"`
	FirstEventMS int64      `json:"firstEventMs"`
}

// AccountState is an account that exceeds its share.
type AccountState struct {
	Account string `json:"account"`
	// Share is in work per second over all VMs.
	Share float64 `json:"sharePerSecond"`
}

// DivisionState is the division of a service over data centres, and its inputs.
type DivisionState struct {
	// Elsewhere are the fractions of this data centre's requests that others start.
	Elsewhere []FractionState `json:"elsewhere,omitempty"`
	Sites     []SiteState     `json:"sites"`
}

// FractionState is the fraction of requests that a data centre starts.
type FractionState struct {
	DataCentre string  `json:"dataCentre"`
	Fraction   float64 `json:"fraction"`
}

// SiteState is the demand and the capacity of a data centre in work per second. Demand is absent if it
// is unknown.
type SiteState struct {
	DataCentre string   `json:"dataCentre"`
	Demand     *float64 `json:"demand,omitempty"`
	Capacity   float64  `json:"capacity"`
	Free       float64  `json:"free"`
}

// Admission returns the present state. It changes nothing.
func (d *Dispatcher) Admission() AdmissionState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	names := make([]string, 0, len(d.queues))
	for name := range d.queues {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.queues[b].queue.Len(), d.queues[a].queue.Len()), cmp.Compare(a, b))
	})
	kept := names[:min(len(names), maxSnapshotServices)]
	state := AdmissionState{Services: make([]ServiceState, 0, len(kept)), OmittedServices: len(names) - len(kept)}
	for _, name := range kept {
		state.Services = append(state.Services, ServiceState{
			Service: name, Queue: d.queues[name].state(now), Limits: d.limitsState(name), OverShare: d.overShareState(now, name),
			Promises: d.calendar.Outstanding(now, name), Division: d.divisionState(now, name),
		})
	}
	return state
}

func (q *admissionQueue) state(now time.Duration) QueueState {
	state := QueueState{Requests: len(q.waiting)}
	oldest := now
	for _, w := range q.waiting {
		state.count(w.item.Priority)
		oldest = min(oldest, w.start)
	}
	slices.SortFunc(state.ByPriority, func(a, b PriorityState) int { return cmp.Compare(a.Priority, b.Priority) })
	state.ByPriority = state.ByPriority[:min(len(state.ByPriority), maxSnapshotPriorities)]
	state.OldestWaitMS = (now - oldest).Milliseconds()
	if q.err != nil {
		state.LastFailure = q.err.Error()
		state.LastFailure = state.LastFailure[:min(len(state.LastFailure), maxReasonBytes)]
		state.LastFailureAgoMS = (now - q.failedAt).Milliseconds()
	}
	return state
}

// count counts a request. There are few priorities, so a search of the list takes less time than a map.
func (s *QueueState) count(priority int) {
	for i := range s.ByPriority {
		if s.ByPriority[i].Priority == priority {
			s.ByPriority[i].Requests++
			return
		}
	}
	s.ByPriority = append(s.ByPriority, PriorityState{Priority: priority, Requests: 1})
}

func (d *Dispatcher) limitsState(service string) *LimitsState {
	l, ok := d.limiters[service]
	if !ok {
		return nil
	}
	s := l.State()
	return &LimitsState{
		StartingLimit: finite(s.StartingLimit), Starting: s.Starting, RunningLimit: finite(s.RunningLimit), Running: s.Running,
		Lowered: s.Lowered, Decreases: s.Decreases, FirstEventMS: s.FirstEvent.Milliseconds(),
	}
}

func (d *Dispatcher) overShareState(now time.Duration, service string) []AccountState {
	var accounts []AccountState
	for _, account := range d.demand.shares.Exceeding(now, service) {
		if len(accounts) < maxSnapshotAccounts {
			perSecond, _ := d.demand.shares.Share(now, service, account)
			accounts = append(accounts, AccountState{Account: account, Share: finite(perSecond)})
		}
	}
	return accounts
}

func (d *Dispatcher) divisionState(now time.Duration, service string) *DivisionState {
	input, ok := d.division.divider.Services()[service]
	if !ok {
		return nil
	}
	state := &DivisionState{Sites: make([]SiteState, 0, len(input.Sites))}
	for _, share := range d.division.divider.Shares(now, service, d.division.home) {
		state.Elsewhere = append(state.Elsewhere, FractionState{DataCentre: share.DataCentre, Fraction: finite(share.Fraction)})
	}
	for _, name := range slices.Sorted(maps.Keys(input.Sites)) {
		if len(state.Sites) == maxSnapshotDataCentres {
			break
		}
		site := input.Sites[name]
		shown := SiteState{DataCentre: name, Capacity: finite(site.Total), Free: finite(site.Free)}
		if site.DemandKnown {
			demand := finite(site.Demand)
			shown.Demand = &demand
		}
		state.Sites = append(state.Sites, shown)
	}
	return state
}

// finite returns a value that JSON can express.
func finite(value float64) float64 {
	if math.IsNaN(value) {
		return 0
	}
	return max(min(value, math.MaxFloat64), -math.MaxFloat64)
}
