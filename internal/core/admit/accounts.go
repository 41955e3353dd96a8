package admit

import (
	"container/list"
	"time"
)

const (
	// accountIdleTimeout is how long an account is kept after its last request.
	// It is longer than a token bucket takes to fill, for all but very low rates.
	accountIdleTimeout = time.Minute
	// maxUsageAge is how long the rates reported by the other VMs are used.
	maxUsageAge = 10 * time.Second
	// unknownUsageFactor is how many even shares of a limit this VM grants while
	// it doesn't know the rates at the other VMs.
	unknownUsageFactor = 1.5
	// evenShareDivisor sets the minimum share to half of an even one, so that an
	// account that moves to this VM isn't refused before the VMs have exchanged
	// its new rates.
	evenShareDivisor = 2
)

// accountTable holds the accounts with recent requests.
type accountTable struct {
	byName map[string]*account
	// byLastUse is ordered by last use, the most recent at the back.
	byLastUse list.List
	// liveVMs is the number of VMs that serve callers. 0 if unknown.
	liveVMs        int
	remoteRates    map[string]float64
	remoteRatesAt  time.Duration
	hasRemoteRates bool
}

// account is the state of one client account on this VM.
type account struct {
	name   string
	limits Limits
	// tokens is the number of requests that may start at once.
	tokens     float64
	refilledAt time.Duration
	lastUsedAt time.Duration
	arrivals   rate
	element    *list.Element
}

func newAccountTable() accountTable { return accountTable{byName: make(map[string]*account)} }

// touch returns the account, adding it if necessary, and evicts idle ones.
func (a *accountTable) touch(now time.Duration, name string, limits Limits) *account {
	a.evictIdle(now)
	found, ok := a.byName[name]
	if !ok {
		found = &account{name: name, refilledAt: now, tokens: limits.burst()}
		found.element = a.byLastUse.PushBack(found)
		a.byName[name] = found
	}
	a.byLastUse.MoveToBack(found.element)
	found.limits = limits
	found.lastUsedAt = now
	found.arrivals.add(now)
	return found
}

func (a *accountTable) evictIdle(now time.Duration) {
	for oldest := a.byLastUse.Front(); oldest != nil; oldest = a.byLastUse.Front() {
		idle := oldest.Value.(*account)
		if now-idle.lastUsedAt < accountIdleTimeout {
			return
		}
		a.byLastUse.Remove(oldest)
		delete(a.byName, idle.name)
	}
}

// share is the fraction of an account's limit that this VM may grant, above 0
// and at most 1. It is proportional to the part of the account's requests that
// arrives here, so that the shares of all VMs add up to about 1 without a call
// to another VM.
func (a *accountTable) share(now time.Duration, of *account) float64 {
	if a.liveVMs <= 1 {
		return 1
	}
	even := 1 / float64(a.liveVMs)
	if !a.hasRemoteRates || now-a.remoteRatesAt > maxUsageAge {
		return min(1, unknownUsageFactor*even)
	}
	here := of.arrivals.perSecond(now)
	return max(here/(here+a.remoteRates[of.name]), even/evenShareDivisor)
}

// burst is the capacity of the token bucket.
func (l Limits) burst() float64 {
	if l.Burst > 0 {
		return float64(l.Burst)
	}
	return max(l.PerSecond, 1)
}

// takeToken takes a token for a request, or returns the time until one is
// available.
func (a *account) takeToken(now time.Duration, share float64) time.Duration {
	if a.limits.PerSecond <= 0 {
		return 0
	}
	perSecond := a.limits.PerSecond * share
	capacity := max(a.limits.burst()*share, 1)
	a.tokens = min(capacity, a.tokens+perSecond*(now-a.refilledAt).Seconds())
	a.refilledAt = now
	if a.tokens < 1 {
		// The wait for an almost complete token must not round down to 0, which
		// means granted.
		return max(time.Duration((1-a.tokens)/perSecond*float64(time.Second)), time.Millisecond)
	}
	a.tokens--
	return 0
}

// returnToken returns the token of a request that was refused for another
// reason.
func (a *account) returnToken() {
	if a.limits.PerSecond > 0 {
		a.tokens++
	}
}

// SetRemoteRates sets the other VMs' request rates by account, and the number of VMs
// that serve callers, including this one.
func (c *Controller) SetRemoteRates(now time.Duration, liveVMs int, remoteRates map[string]float64) {
	c.SetLiveVMs(liveVMs)
	c.accounts.remoteRates = remoteRates
	c.accounts.remoteRatesAt = now
	c.accounts.hasRemoteRates = true
}

// SetLiveVMs sets the number of VMs that serve callers, including this one.
func (c *Controller) SetLiveVMs(liveVMs int) {
	c.accounts.liveVMs = liveVMs
	for _, p := range c.pools {
		p.limiter.setServers(p.limiter.servers, liveVMs)
	}
}

// AccountRate is the rate of an account's requests at this VM.
type AccountRate struct {
	Account   string
	PerSecond float64
}

// LimitedRates lists at most atMost accounts that have a rate limit and were
// used within the last window, the most recently used first.
func (c *Controller) LimitedRates(now time.Duration, atMost int) []AccountRate {
	var rates []AccountRate
	for element := c.accounts.byLastUse.Back(); element != nil && len(rates) < atMost; element = element.Prev() {
		a := element.Value.(*account)
		if now-a.lastUsedAt > rateWindow {
			break
		}
		if a.limits.PerSecond > 0 {
			rates = append(rates, AccountRate{Account: a.name, PerSecond: a.arrivals.perSecond(now)})
		}
	}
	return rates
}
