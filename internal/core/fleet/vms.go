package fleet

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// VMDetectorOptions are the settings of the failure detector for VMs.
type VMDetectorOptions struct {
	// Self and DataCentre are this VM's name and data centre.
	Self       string
	DataCentre string
	// HeartbeatInterval is the interval between heartbeats.
	HeartbeatInterval time.Duration
	// RemoteGoneAfter is the time without contact after which a VM of another data
	// centre is Gone. Its heartbeats don't reach this data centre; answers to calls
	// replace them.
	RemoteGoneAfter time.Duration
	// ForgetAfter is how long a VM that is Gone is remembered.
	ForgetAfter time.Duration
	// PausedAfter is the delay between two ticks above which this VM assumes that it
	// was paused itself.
	PausedAfter time.Duration
}

// VMStatus is the state of one VM as this VM sees it.
type VMStatus struct {
	Name       string        `json:"name"`
	DataCentre string        `json:"dataCentre"`
	State      State         `json:"state"`
	Since      time.Duration `json:"since"`
}

// Timeout for heartbeats within the data centre, in heartbeat intervals. Gossip
// needs about one interval for each doubling of the number of VMs, plus some by
// chance. A VM is suspect after this time and gone after goneFactor times as long.
// With a fixed timeout, VMs of a large data centre would constantly suspect each
// other and gossip about it.
const (
	suspectBaseIntervals        = 3
	suspectIntervalsPerDoubling = 2
	goneFactor                  = 2
)

type vmRecord struct {
	status         VMStatus
	lastContact    time.Duration
	refused        bool
	leaving        bool
	left           bool
	reportedDownBy map[string]struct{}
}

// VMDetector detects failures of the other VMs. It is not safe for concurrent use.
type VMDetector struct {
	options  VMDetectorOptions
	vms      map[string]*vmRecord
	lastTick time.Duration
}

// NewVMDetector returns a failure detector that knows no VMs.
func NewVMDetector(options VMDetectorOptions) *VMDetector {
	return &VMDetector{options: options, vms: make(map[string]*vmRecord)}
}

// Add adds a process of a VM that is seen for the first time. Evidence against an
// earlier process with the same name is discarded.
func (v *VMDetector) Add(now time.Duration, name, dataCentre string) {
	if name == v.options.Self {
		return
	}
	v.vms[name] = &vmRecord{
		status:         VMStatus{Name: name, DataCentre: dataCentre, Since: now},
		lastContact:    now,
		reportedDownBy: make(map[string]struct{}),
	}
}

// RecordContact records contact with a VM: a new heartbeat or an answer to a call.
func (v *VMDetector) RecordContact(now time.Duration, name string) {
	if vm, ok := v.vms[name]; ok {
		vm.lastContact = now
		vm.refused = false
	}
}

// ConnectionRefused records that a VM refused a connection, which proves that no
// process listens.
func (v *VMDetector) ConnectionRefused(name string) {
	if vm, ok := v.vms[name]; ok {
		vm.refused = true
	}
}

// SetLeaving sets whether a VM reports that it is shutting down (leaving), or that it
// has stopped (left).
func (v *VMDetector) SetLeaving(name string, leaving, left bool) {
	if vm, ok := v.vms[name]; ok {
		vm.leaving, vm.left = leaving, left
	}
}

// SetDownReport sets whether a VM reports another VM of its data centre as down.
func (v *VMDetector) SetDownReport(witness, name string, down bool) {
	vm, ok := v.vms[name]
	switch {
	case !ok:
	case down:
		vm.reportedDownBy[witness] = struct{}{}
	default:
		delete(vm.reportedDownBy, witness)
	}
}

// Tick updates the states and returns those that changed, sorted by name. If the
// tick itself is late, this VM was paused and missed the heartbeats of the others,
// so their timeouts restart.
func (v *VMDetector) Tick(now time.Duration) []VMStatus {
	if late := now - v.lastTick; v.lastTick != 0 && late > v.options.PausedAfter {
		for _, vm := range v.vms {
			vm.lastContact = now
		}
	}
	v.lastTick = now
	var changed []VMStatus
	localSuspectAfter := v.suspectAfter()
	for _, name := range slices.Sorted(maps.Keys(v.vms)) {
		vm := v.vms[name]
		if state := v.evaluate(now, vm, localSuspectAfter); state != vm.status.State {
			vm.status.State, vm.status.Since = state, now
			changed = append(changed, vm.status)
			if state == Gone {
				v.forgetWitness(name)
			}
		}
	}
	return changed
}

func (v *VMDetector) forgetWitness(name string) {
	for _, vm := range v.vms {
		delete(vm.reportedDownBy, name)
	}
}

func (v *VMDetector) evaluate(now time.Duration, vm *vmRecord, localSuspectAfter time.Duration) State {
	silence := now - vm.lastContact
	suspectAfter, goneAfter, downReports := localSuspectAfter, goneFactor*localSuspectAfter, 0
	if vm.status.DataCentre != v.options.DataCentre {
		// Heartbeats don't cross data centres, so the reports of VMs there count.
		suspectAfter, goneAfter, downReports = v.options.RemoteGoneAfter, v.options.RemoteGoneAfter, len(vm.reportedDownBy)
	}
	refused := vm.refused && silence >= localSuspectAfter
	switch {
	case vm.left, silence >= goneAfter, refused, downReports >= 2:
		return Gone
	case silence >= suspectAfter, vm.refused, downReports > 0:
		return Suspect
	case vm.leaving:
		return Leaving
	default:
		return Live
	}
}

// suspectAfter is the heartbeat timeout after which a VM of this data centre becomes
// Suspect.
func (v *VMDetector) suspectAfter() time.Duration {
	localVMs := 0
	for _, vm := range v.vms {
		if vm.status.DataCentre == v.options.DataCentre && vm.status.State != Gone {
			localVMs++
		}
	}
	return time.Duration(suspectBaseIntervals+suspectIntervalsPerDoubling*bits.Len(uint(localVMs))) * v.options.HeartbeatInterval
}

// RemoveExpired removes the VMs that have been Gone for at least ForgetAfter, and
// returns their names.
func (v *VMDetector) RemoveExpired(now time.Duration) []string {
	var names []string
	for name, vm := range v.vms {
		if vm.status.State == Gone && now-vm.status.Since >= v.options.ForgetAfter {
			names = append(names, name)
			delete(v.vms, name)
		}
	}
	slices.Sort(names)
	return names
}

// Statuses lists the states of all other VMs sorted by name.
func (v *VMDetector) Statuses() []VMStatus {
	all := make([]VMStatus, 0, len(v.vms))
	for _, vm := range v.vms {
		all = append(all, vm.status)
	}
	slices.SortFunc(all, func(a, b VMStatus) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// State returns the state of a VM; Gone if it is unknown.
func (v *VMDetector) State(name string) State {
	if vm, ok := v.vms[name]; ok {
		return vm.status.State
	}
	return Gone
}
