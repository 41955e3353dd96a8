package poison

import "time"

// crashSite is a process that crashed: a backend server and its incarnation.
type crashSite struct {
	server      string
	incarnation uint64
}

// maxCrashSites limits the crashes counted against one body, and its unproven losses
// on other VMs. Three crashes block a body.
const maxCrashSites = 8

func crashSiteOf(server string, incarnation uint64) crashSite { return crashSite{server, incarnation} }

// addCrashSite adds a crashed process and reports whether it was new.
func (f *Finding) addCrashSite(site crashSite) bool {
	if f.crashSites[site] {
		return false
	}
	if f.crashSites == nil {
		f.crashSites = make(map[crashSite]bool)
	}
	if len(f.crashSites) < maxCrashSites {
		f.crashSites[site] = true
	}
	return true
}

// addRemoteLoss records an unproven loss on another VM. Otherwise the body's next
// request would start here without restriction and crash one more server for each VM
// that it is sent to, before the first crash is proven.
func (t *Table) addRemoteLoss(now time.Duration, learned Finding) {
	site := crashSiteOf(learned.Server, learned.Incarnation)
	until := learned.At + proofTimeout
	if finding := t.find(now, learned.Body); until <= now || finding != nil && finding.crashSites[site] {
		return
	}
	if c, ok := t.crashes[learned.Server]; ok {
		if _, isLocal := c.bodies[learned.Body]; isLocal {
			return
		}
	}
	sites, ok := t.remoteLosses[learned.Body]
	if !ok && len(t.remoteLosses) >= t.options.Bodies {
		return
	}
	if !ok {
		sites = make(map[crashSite]time.Duration)
		t.remoteLosses[learned.Body] = sites
	}
	if len(sites) < maxCrashSites {
		sites[site] = max(sites[site], until)
	}
}

// removeRemoteLoss removes the unproven loss that a finding proves.
func (t *Table) removeRemoteLoss(learned Finding) {
	sites := t.remoteLosses[learned.Body]
	delete(sites, crashSiteOf(learned.Server, learned.Incarnation))
	if learned.Blocked || len(sites) == 0 {
		delete(t.remoteLosses, learned.Body)
	}
}

// expireRemoteLosses removes the losses that were not proven in time.
func (t *Table) expireRemoteLosses(now time.Duration) {
	for body, sites := range t.remoteLosses {
		for site, until := range sites {
			if now >= until {
				delete(sites, site)
			}
		}
		if len(sites) == 0 {
			delete(t.remoteLosses, body)
		}
	}
}

func (t *Table) remoteLossCount(body Body) int { return len(t.remoteLosses[body]) }

// provenCrashesWithExpired returns the proven crashes of a body, even if its finding
// has expired but is not yet removed.
func (t *Table) provenCrashesWithExpired(body Body) int {
	if element, ok := t.bodies[body]; ok {
		return element.Value.(*Finding).Crashes
	}
	return 0
}
