package tally

import "oleandershunt.example/oleandershunt/internal/core/backends"

// View is what a VM knows of the loads of all VMs by the updates of its hub.
type View struct {
	isLocal func(server string) bool
	known   LoadVersions
	// totals are the loads of all VMs, and included those of this VM in them.
	totals, included map[string]backends.Usage
}

// NewView returns a View without loads. isLocal reports whether a server is in the VM's own data
// centre.
func NewView(isLocal func(server string) bool) *View {
	v := &View{isLocal: isLocal}
	v.Reset()
	return v
}

// Known returns what the hub's next update may leave out.
func (v *View) Known() LoadVersions { return v.known }

// Reset forgets all loads.
func (v *View) Reset() {
	v.known = LoadVersions{}
	v.totals, v.included = make(map[string]backends.Usage), make(map[string]backends.Usage)
}

// Apply applies a hub's answer to a report of the given loads, and returns the sum of all other VMs.
// Its loads are partial unless the update was complete. An update that doesn't follow the loads
// known here changes none, and the next one will be complete.
func (v *View) Apply(update Update, reported map[string]backends.Usage) Tally {
	others := update.Others
	others.Loads, others.Partial = make(map[string]backends.Usage), !update.Complete
	if update.Complete {
		v.Reset()
	} else if update.Known.Epoch != v.known.Epoch {
		v.known = LoadVersions{}
		return others
	}
	for _, load := range update.Loads {
		v.totals[load.ID] = load.Usage
	}
	v.known = update.Known
	for _, id := range v.include(quantize(reported), update.Elsewhere) {
		others.Loads[id] = v.others(id)
	}
	for _, load := range update.Loads {
		others.Loads[load.ID] = v.others(load.ID)
		if load.Usage == (backends.Usage{}) {
			delete(v.totals, load.ID)
		}
	}
	return others
}

// include records which of this VM's loads the totals include, and returns the servers for which
// that changed. Without an update of the servers elsewhere their totals include what was reported
// before.
func (v *View) include(reported map[string]backends.Usage, elsewhere bool) (changed []string) {
	for id, load := range v.included {
		if reported[id] != load && (elsewhere || v.isLocal(id)) {
			delete(v.included, id)
			changed = append(changed, id)
		}
	}
	for id, load := range reported {
		if v.included[id] != load && (elsewhere || v.isLocal(id)) {
			v.included[id] = load
			changed = append(changed, id)
		}
	}
	return changed
}

func (v *View) others(id string) backends.Usage {
	rest := subtract(v.totals[id], v.included[id])
	return backends.Usage{Memory: max(rest.Memory, 0), Running: max(rest.Running, 0)}
}
