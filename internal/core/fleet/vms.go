package fleet

import (
	"cmp"
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

// fullRateVMsLog2 is the binary logarithm of the number of VMs from which on a data centre has fewer
// rounds than heartbeat intervals.
const fullRateVMsLog2 = 7

type vmRecord struct {
	status      VMStatus
	lastContact time.Duration
	refused     bool
	// unanswered is set when a call to the VM timed out and nothing came from it since.
	unanswered     bool
	leaving        bool
	left           bool
	reportedDownBy map[string]struct{}
}

// VMDetector detects failures of the other VMs. It is not safe for concurrent use.
//
// The cost of a Tick grows with the VMs of the own data centre and with what changed
// elsewhere, not with all VMs.
type VMDetector struct {
	options  VMDetectorOptions
	vms      map[string]*vmRecord
	lastTick time.Duration
	// local are the VMs of the own data centre, sorted by name.
	local []*vmRecord
	// unchecked are the VMs of other data centres about which something was recorded since the
	// last Tick.
	unchecked map[string]struct{}
	// nextRemoteCheck is the earliest time at which a VM of another data centre may have
	// been silent for RemoteGoneAfter.
	nextRemoteCheck time.Duration
	// gone are the VMs that are Gone, and localGone the number of them in the own data centre.
	gone      map[string]struct{}
	localGone int
	// statuses are the states of all VMs sorted by name; nil after a change.
	statuses []VMStatus
	version  uint64
}

// NewVMDetector returns a failure detector that knows no VMs.
func NewVMDetector(options VMDetectorOptions) *VMDetector {
	return &VMDetector{options: options, vms: make(map[string]*vmRecord), unchecked: make(map[string]struct{}), gone: make(map[string]struct{})}
}

// Add adds a process of a VM that is seen for the first time. Evidence against an
// earlier process with the same name is discarded.
func (v *VMDetector) Add(now time.Duration, name, dataCentre string) {
	if name == v.options.Self {
		return
	}
	if v.remove(name) {
		v.forgetWitness(name) // what the earlier process reported
	}
	vm := &vmRecord{
		status:         VMStatus{Name: name, DataCentre: dataCentre, Since: now},
		lastContact:    now,
		reportedDownBy: make(map[string]struct{}),
	}
	v.vms[name] = vm
	if v.isLocal(vm) {
		i, _ := slices.BinarySearchFunc(v.local, name, compareRecordName)
		v.local = slices.Insert(v.local, i, vm)
	}
	v.scheduleCheck(name, vm)
	v.recordChange()
}

// remove removes a VM and reports whether it was known.
func (v *VMDetector) remove(name string) bool {
	vm, known := v.vms[name]
	if !known {
		return false
	}
	delete(v.vms, name)
	delete(v.unchecked, name)
	v.setGone(vm, false)
	if i, found := slices.BinarySearchFunc(v.local, name, compareRecordName); found && v.local[i] == vm {
		v.local = slices.Delete(v.local, i, i+1)
	}
	v.recordChange()
	return true
}

func compareRecordName(vm *vmRecord, name string) int { return cmp.Compare(vm.status.Name, name) }

func (v *VMDetector) isLocal(vm *vmRecord) bool {
	return vm.status.DataCentre == v.options.DataCentre
}

// recordChange records that the set of VMs or a state changed.
func (v *VMDetector) recordChange() {
	v.statuses = nil
	v.version++
}

// Version returns a number that changes when a VM is added or removed or its state changes.
// Results derived from Statuses can be cached until then.
func (v *VMDetector) Version() uint64 { return v.version }

// scheduleCheck marks a VM for the next Tick. VMs of the own data centre are checked by
// every Tick.
func (v *VMDetector) scheduleCheck(name string, vm *vmRecord) {
	if !v.isLocal(vm) {
		v.unchecked[name] = struct{}{}
	}
}

// RecordContact records contact with a VM: a new heartbeat or an answer to a call.
func (v *VMDetector) RecordContact(now time.Duration, name string) {
	if vm, ok := v.vms[name]; ok {
		vm.lastContact = now
		if vm.refused || vm.unanswered || vm.status.State == Gone {
			vm.refused, vm.unanswered = false, false
			v.scheduleCheck(name, vm)
		}
	}
}

// ConnectionRefused records that a VM refused a connection, which proves that no
// process listens.
func (v *VMDetector) ConnectionRefused(name string) {
	if vm, ok := v.vms[name]; ok {
		vm.refused = true
		v.scheduleCheck(name, vm)
	}
}

// CallTimedOut records that a VM didn't answer a call.
func (v *VMDetector) CallTimedOut(name string) {
	if vm, ok := v.vms[name]; ok {
		vm.unanswered = true
		v.scheduleCheck(name, vm)
	}
}

// Unreachable reports whether the last call to a VM was refused or timed out.
func (v *VMDetector) Unreachable(name string) bool {
	vm, ok := v.vms[name]
	return ok && (vm.refused || vm.unanswered)
}

// SetLeaving sets whether a VM reports that it is shutting down (leaving), or that it
// has stopped (left).
func (v *VMDetector) SetLeaving(name string, leaving, left bool) {
	if vm, ok := v.vms[name]; ok && (vm.leaving != leaving || vm.left != left) {
		vm.leaving, vm.left = leaving, left
		v.scheduleCheck(name, vm)
	}
}

// SetDownReport sets whether a VM reports another VM of its data centre as down.
func (v *VMDetector) SetDownReport(witness, name string, down bool) {
	vm, ok := v.vms[name]
	if !ok {
		return
	}
	if down {
		vm.reportedDownBy[witness] = struct{}{}
	} else {
		delete(vm.reportedDownBy, witness)
	}
	v.scheduleCheck(name, vm)
}

// Tick updates the states and returns those that changed, sorted by name. If the
// tick itself is late, this VM was paused and missed the heartbeats of the others,
// so their timeouts restart.
func (v *VMDetector) Tick(now time.Duration) []VMStatus {
	if late := now - v.lastTick; v.lastTick != 0 && late > time.Duration(v.IntervalsPerRound())*v.options.PausedAfter {
		for _, vm := range v.vms {
			vm.lastContact = now
		}
		v.nextRemoteCheck = now
	}
	v.lastTick = now
	var changed []VMStatus
	localSuspectAfter := v.suspectAfter()
	for _, vm := range v.due(now) {
		state := v.evaluate(now, vm, localSuspectAfter)
		if (vm.refused || vm.unanswered) && silentFor(now, vm) < localSuspectAfter {
			v.scheduleCheck(vm.status.Name, vm) // its state also depends on how long it has been silent
		}
		if state == vm.status.State {
			continue
		}
		vm.status.State, vm.status.Since = state, now
		v.recordChange()
		changed = append(changed, vm.status)
		v.setGone(vm, state == Gone)
		if state == Gone {
			v.forgetWitness(vm.status.Name)
		}
	}
	return changed
}

// setGone records whether a VM is Gone.
func (v *VMDetector) setGone(vm *vmRecord, gone bool) {
	if _, was := v.gone[vm.status.Name]; was == gone {
		return
	}
	change := 1
	if gone {
		v.gone[vm.status.Name] = struct{}{}
	} else {
		delete(v.gone, vm.status.Name)
		change = -1
	}
	if v.isLocal(vm) {
		v.localGone += change
	}
}

// due returns the VMs whose state may have changed since the last Tick, sorted by name.
func (v *VMDetector) due(now time.Duration) []*vmRecord {
	if now >= v.nextRemoteCheck {
		v.nextRemoteCheck = now + v.options.RemoteGoneAfter
		for name, vm := range v.vms {
			v.scheduleCheck(name, vm)
			if vm.status.State != Gone && !v.isLocal(vm) {
				v.nextRemoteCheck = min(v.nextRemoteCheck, max(vm.lastContact+v.options.RemoteGoneAfter, now+1))
			}
		}
	}
	if len(v.unchecked) == 0 {
		return v.local
	}
	due := slices.Clone(v.local)
	for name := range v.unchecked {
		due = append(due, v.vms[name])
	}
	clear(v.unchecked)
	slices.SortFunc(due, func(a, b *vmRecord) int { return cmp.Compare(a.status.Name, b.status.Name) })
	return due
}

// forgetWitness removes the reports of a VM that is gone. VMs report only those of their
// own data centre.
func (v *VMDetector) forgetWitness(name string) {
	for reported, vm := range v.vms {
		if _, ok := vm.reportedDownBy[name]; ok {
			delete(vm.reportedDownBy, name)
			v.scheduleCheck(reported, vm)
		}
	}
}

func silentFor(now time.Duration, vm *vmRecord) time.Duration { return now - vm.lastContact }

func (v *VMDetector) evaluate(now time.Duration, vm *vmRecord, localSuspectAfter time.Duration) State {
	silence := silentFor(now, vm)
	suspectAfter, goneAfter, downReports := localSuspectAfter, goneFactor*localSuspectAfter, len(vm.reportedDownBy)
	overdue := silence >= localSuspectAfter/2
	if !v.isLocal(vm) {
		// Heartbeats don't cross data centres, so the reports of VMs there count.
		suspectAfter, goneAfter = v.options.RemoteGoneAfter, v.options.RemoteGoneAfter
	} else if !overdue || v.IntervalsPerRound() == 1 {
		downReports = 0 // its heartbeats are newer, or frequent enough without reports
	}
	refused := vm.refused && silence >= localSuspectAfter
	switch {
	case vm.left, silence >= goneAfter, refused, downReports >= 2:
		return Gone
	case silence >= suspectAfter, vm.refused, downReports > 0, v.isLocal(vm) && vm.unanswered && overdue:
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
	intervals := (suspectBaseIntervals + suspectIntervalsPerDoubling*bits.Len(uint(v.localVMs()))) * v.IntervalsPerRound()
	return time.Duration(intervals) * v.options.HeartbeatInterval
}

// localVMs returns the number of other VMs of this data centre that are not gone.
func (v *VMDetector) localVMs() int { return len(v.local) - v.localGone }

// IntervalsPerRound returns the number of heartbeat intervals between two rounds of a VM. The
// cost of a round grows with the VMs of the data centre, so large data centres have fewer
// rounds. The reports of a VM's partners keep the failure detection as fast.
func (v *VMDetector) IntervalsPerRound() int {
	return max(1, bits.Len(uint(v.localVMs()))-fullRateVMsLog2+1)
}

// RemoveExpired removes the VMs that have been Gone for at least ForgetAfter, and
// returns their names.
func (v *VMDetector) RemoveExpired(now time.Duration) []string {
	var names []string
	for name := range v.gone {
		if now-v.vms[name].status.Since >= v.options.ForgetAfter {
			names = append(names, name)
		}
	}
	for _, name := range names {
		v.remove(name)
	}
	slices.Sort(names)
	return names
}

// Statuses lists the states of all other VMs sorted by name. The list is shared and must
// not be modified.
func (v *VMDetector) Statuses() []VMStatus {
	if v.statuses == nil {
		v.statuses = make([]VMStatus, 0, len(v.vms))
		for _, vm := range v.vms {
			v.statuses = append(v.statuses, vm.status)
		}
		slices.SortFunc(v.statuses, func(a, b VMStatus) int { return cmp.Compare(a.Name, b.Name) })
	}
	return v.statuses
}

// State returns the state of a VM; Gone if it is unknown.
func (v *VMDetector) State(name string) State {
	if vm, ok := v.vms[name]; ok {
		return vm.status.State
	}
	return Gone
}
