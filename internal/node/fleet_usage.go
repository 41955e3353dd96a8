package node

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core"
	"oleandershunt.example/oleandershunt/internal/core/config"
	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	"oleandershunt.example/oleandershunt/internal/loop"
	"oleandershunt.example/oleandershunt/internal/peer/gossip"
)

// Bounds on what the use of accounts costs.
const (
	// usageChanges is the number of changes that all VMs of a data centre
	// together tell in one tick, and usageMinimum what each may always tell.
	usageChanges = 128
	usageMinimum = 2
	// usageSummary is the number of accounts in a data centre's summary, and
	// usageSummaryTicks the time between two.
	usageSummary      = 64
	usageSummaryTicks = 5
)

// usageDuty tells the other VMs how much each limited account is used here,
// and the core how much it is used elsewhere: within the data centre by VM, from
// other data centres by a summary that one VM of each writes.
type usageDuty struct {
	gossip *gossip.Gossip
	loop   *loop.Loop
	self   string
	dc     string

	mu       sync.Mutex
	accounts map[uint32]string
	set      *config.Set
	live     int
	near     int
	ticks    int
	wanted   map[string]uint32
	told     map[string]uint32
	// elsewhere is the levels told by other VMs, and summed those of other data centres.
	elsewhere rateTable
	summed    rateTable
	dirty     bool
}

func newUsageDuty(g *gossip.Gossip, l *loop.Loop, self, dc string) *usageDuty {
	return &usageDuty{
		gossip: g, loop: l, self: self, dc: dc, live: 1, near: 1,
		accounts:  make(map[uint32]string),
		wanted:    make(map[string]uint32),
		told:      make(map[string]uint32),
		elsewhere: make(rateTable),
		summed:    make(rateTable),
	}
}

func accountHash(account string) uint32 { return digest.KeyHash("account/" + account) }

func (d *usageDuty) configured(set *config.Set) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set = set
	// An account that was unknown may exist now.
	maps.DeleteFunc(d.accounts, func(_ uint32, name string) bool { return name == "" })
}

func (d *usageDuty) setLive(live, near int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dirty = d.dirty || live != d.live
	d.live, d.near = live, near
}

// here takes the rates on this VM. They are told with the next ticks, the
// largest changes first.
func (d *usageDuty) here(rates []core.AccountRate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.wanted)
	for _, rate := range rates {
		d.wanted[rate.Account] = rateLevel(rate.PerSecond)
	}
}

func (d *usageDuty) gaugeHeard(gauge gossip.Gauge) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.elsewhere.put(gauge.VM, gauge.Key, gauge.Level)
	d.dirty = true
}

// summaryHeard takes another data centre's summary in place of its earlier one.
func (d *usageDuty) summaryHeard(entry gossip.Entry) {
	if d.gossip.DataCentre(entry.VM) == d.dc {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summed.replace(entry.VM, entry.Value)
	d.dirty = true
}

func (d *usageDuty) forget(vm string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.elsewhere, vm)
	delete(d.summed, vm)
	d.dirty = true
}

func (d *usageDuty) tick() {
	live := d.gossip.LiveVMs()
	d.mu.Lock()
	d.tell()
	d.ticks++
	if d.ticks%usageSummaryTicks == 0 {
		d.summarise(live[d.dc])
	}
	event, changed := d.event()
	d.mu.Unlock()
	if changed {
		d.loop.Post(event)
	}
}

// tell writes the largest changes since they were last told.
func (d *usageDuty) tell() {
	type change struct {
		account string
		level   uint32
		size    float64
	}
	var changes []change
	for _, account := range unionKeys(d.wanted, d.told) {
		if want, told := d.wanted[account], d.told[account]; want != told {
			changes = append(changes, change{account, want, max(levelRate(want), levelRate(told)) - min(levelRate(want), levelRate(told))})
		}
	}
	slices.SortStableFunc(changes, func(a, b change) int { return cmp.Compare(b.size, a.size) })
	for _, c := range changes[:min(len(changes), max(usageMinimum, usageChanges/max(d.near, 1)))] {
		d.gossip.PutGauge(accountHash(c.account), c.level)
		if c.level == 0 {
			delete(d.told, c.account)
		} else {
			d.told[c.account] = c.level
		}
	}
}

func unionKeys(a, b map[string]uint32) []string {
	keys := slices.Collect(maps.Keys(a))
	keys = slices.AppendSeq(keys, maps.Keys(b))
	slices.Sort(keys)
	return slices.Compact(keys)
}

// summarise writes the data centre's largest users, if that is this VM's task.
func (d *usageDuty) summarise(near []string) {
	if observers := fleet.Observers("usage", near, 1); len(observers) == 0 || observers[0] != d.self {
		d.gossip.Put(prefixUsage, nil, false)
		return
	}
	sums := make(map[uint32]float64)
	for account, level := range d.wanted {
		sums[accountHash(account)] += levelRate(level)
	}
	d.elsewhere.addTo(sums)
	d.gossip.Put(prefixUsage, encodeSummary(sums, usageSummary), false)
}

// event sums what is known of elsewhere, if that changed.
func (d *usageDuty) event() (core.RemoteAccountUsage, bool) {
	if !d.dirty || d.set == nil {
		return core.RemoteAccountUsage{}, false
	}
	d.dirty = false
	d.nameAccounts()
	sums := make(map[string]float64)
	for _, source := range []rateTable{d.elsewhere, d.summed} {
		for _, levels := range source {
			for key, level := range levels {
				if account := d.accounts[key]; account != "" {
					sums[account] += levelRate(level)
				}
			}
		}
	}
	event := core.RemoteAccountUsage{LiveVMs: d.live}
	for _, account := range slices.Sorted(maps.Keys(sums)) {
		event.Elsewhere = append(event.Elsewhere, core.AccountRate{Account: account, PerSecond: sums[account]})
	}
	return event, true
}

// nameAccounts finds the names behind hashes not met before. The hashes of all
// accounts would take megabytes; those in use are few.
func (d *usageDuty) nameAccounts() {
	unknown := make(map[uint32]bool)
	for _, source := range []rateTable{d.elsewhere, d.summed} {
		for _, levels := range source {
			for key := range levels {
				if _, ok := d.accounts[key]; !ok {
					unknown[key] = true
				}
			}
		}
	}
	if len(unknown) == 0 {
		return
	}
	for record := range d.set.Records(api.KindClientAccount) {
		if key := accountHash(record.Name); unknown[key] {
			d.accounts[key] = record.Name
		}
	}
	for key := range unknown {
		if _, ok := d.accounts[key]; !ok {
			d.accounts[key] = ""
		}
	}
}
