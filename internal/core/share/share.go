// Package share divides a service that is short of capacity between client accounts by weighted
// max-min fairness over work, and marks requests of accounts that exceed their share. While no
// request waits or is refused anywhere, nothing is marked. The package does no I/O and reads no clock;
// it is not safe for concurrent use. Times are durations since the VM's start.
package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/demand"
)

// Parameters of Shares.
const (
	// Lifetime is how long an update counts: that of the tallies of other VMs.
	Lifetime = 1500 * time.Millisecond
	// minBacklog is the waiting work from which on a service is short of capacity, as a fraction of
	// what it starts in a second. Below it requests of a moment wait for one another.
	minBacklog = 0.05
	// divided is the part of a service's capacity that is divided. Every eighth start of a queue goes to
	// the request that has waited longest, whatever its account.
	divided = 7.0 / 8
	// admitted is the fraction of its share that an account has admitted before others' requests. The
	// rest it gets when no other request waits: if the admitted work were all that the servers can
	// do, its queue would grow without bound at some VMs.
	admitted = 0.9
	// burst is how much of its share an account may have saved up.
	burst = 500 * time.Millisecond
)

// Input is what is known of the demand for a service.
type Input struct {
	// Local and All are the accounts with the most work offered in the last second, to this VM and to
	// all VMs. Local is used as All when the other VMs' demand isn't known.
	Local, All demand.Summary
	// Counts are of all VMs, as All.
	Counts demand.Counts
}

// short reports whether the service is short of capacity.
func (in Input) short() bool {
	return in.Counts.Refused.Requests > 0 || float64(in.Counts.Waiting.Work) > minBacklog*float64(in.Counts.Started.Work)
}

// Shares are the shares of the accounts of all services at this VM.
type Shares struct {
	entitlements map[string]Entitlement
	services     map[string]*service
}

// service is the division of one service that is short of capacity.
type service struct {
	updatedAt time.Duration
	// accounts are those that exceed their share.
	accounts map[string]*allowance
}

// allowance is the work of an account that this VM admits within its share.
type allowance struct {
	// perSecond is the account's share times the fraction of its demand that reaches this VM.
	perSecond float64
	// share is the account's share over all VMs, in work per second.
	share float64
	// saved is the work that the account may still use, as of at. It is negative after a request that
	// was larger.
	saved float64
	at    time.Duration
}

// New returns Shares by which every account has the same share.
func New() *Shares { return &Shares{services: make(map[string]*service)} }

// SetEntitlements sets the weights and reserved fractions of accounts, which must be valid. They apply
// from the next update.
func (s *Shares) SetEntitlements(entitlements map[string]Entitlement) { s.entitlements = entitlements }

// Update divides a service anew.
func (s *Shares) Update(now time.Duration, name string, in Input) {
	capacity := divided * float64(in.Counts.Started.Work)
	if !in.short() || capacity <= 0 || len(in.All.Accounts) == 0 {
		delete(s.services, name)
		return
	}
	current, ok := s.services[name]
	if !ok {
		current = &service{}
		s.services[name] = current
	}
	before := current.accounts
	current.updatedAt, current.accounts = now, make(map[string]*allowance)
	for account, share := range s.exceeded(capacity, in) {
		local, _ := in.Local.Find(account)
		all, _ := in.All.Find(account)
		part := float64(local.Work) / float64(max(all.Least(), local.Work, 1))
		next := &allowance{share: share, perSecond: admitted * share * part, at: now}
		next.saved = next.maxSaved()
		if old, had := before[account]; had {
			old.advance(now)
			next.saved = min(old.saved, next.saved)
		}
		current.accounts[account] = next
	}
}

// Retain forgets the services that have no counts.
func (s *Shares) Retain(counts map[string]demand.Counts) {
	maps.DeleteFunc(s.services, func(name string, _ *service) bool {
		_, known := counts[name]
		return !known
	})
}

// Services returns the services that were short of capacity at their last update, sorted.
func (s *Shares) Services() []string { return slices.Sorted(maps.Keys(s.services)) }

// Mark says how a request stands to the share of its account.
type Mark int

// Values of Mark.
const (
	// Unlimited: the account doesn't exceed its share.
	Unlimited Mark = iota
	// Within: the account exceeds its share, and the request used up a part of it.
	Within
	// Over: the request exceeds the share.
	Over
)

// Mark marks a request. It is to be called once for each request.
func (s *Shares) Mark(now time.Duration, name, account string, work float64) Mark {
	allowed := s.allowance(now, name, account)
	if allowed == nil {
		return Unlimited
	}
	allowed.advance(now)
	if allowed.saved <= 0 {
		return Over
	}
	allowed.saved -= max(work, 1)
	return Within
}

// Remark returns the mark of a waiting request that had another one before, after an update: that of an
// account that begins to exceed its share is marked, and that of one that doesn't any more isn't.
func (s *Shares) Remark(now time.Duration, name, account string, work float64, before Mark) Mark {
	if s.allowance(now, name, account) == nil {
		return Unlimited
	}
	if before != Unlimited {
		return before
	}
	return s.Mark(now, name, account, work)
}

// Returned gives back the work of a request marked as Within that didn't start.
func (s *Shares) Returned(now time.Duration, name, account string, work float64) {
	if allowed := s.allowance(now, name, account); allowed != nil {
		allowed.advance(now)
		allowed.saved = min(allowed.saved+max(work, 1), allowed.maxSaved())
	}
}

// Share returns the share of an account of a service over all VMs, in work per second, or false if the
// account doesn't exceed it.
func (s *Shares) Share(now time.Duration, name, account string) (perSecond float64, exceeded bool) {
	allowed := s.allowance(now, name, account)
	if allowed == nil {
		return 0, false
	}
	return allowed.share, true
}

// Exceeding returns the accounts that exceed their share of a service, sorted.
func (s *Shares) Exceeding(now time.Duration, name string) []string {
	current, ok := s.services[name]
	if !ok || now-current.updatedAt > Lifetime {
		return nil
	}
	return slices.Sorted(maps.Keys(current.accounts))
}

func (s *Shares) allowance(now time.Duration, name, account string) *allowance {
	current, ok := s.services[name]
	if !ok || account == "" || now-current.updatedAt > Lifetime {
		return nil
	}
	return current.accounts[account]
}

func (a *allowance) advance(now time.Duration) {
	if now > a.at {
		a.saved = min(a.saved+a.perSecond*(now-a.at).Seconds(), a.maxSaved())
		a.at = now
	}
}

// maxSaved returns the work that the account may have saved up. It is above 0, so that an account that
// has used nothing lately has a request admitted.
func (a *allowance) maxSaved() float64 { return max(a.perSecond*burst.Seconds(), 1) }

// exceeded returns the shares of the accounts that certainly ask for more than theirs.
func (s *Shares) exceeded(capacity float64, in Input) map[string]float64 {
	claims := make([]claim, 0, len(in.All.Accounts)+1)
	listed := 0.0
	for _, account := range in.All.Accounts {
		entitlement := s.entitlements[account.Name]
		local, _ := in.Local.Find(account.Name)
		demanded := float64(max(account.Least(), local.Work)) // the sums are older
		listed += demanded
		claims = append(claims, claim{demanded, entitlement.Reserved * capacity, entitlement.weight()})
	}
	if others := float64(in.Counts.Offered.Work) - listed; others > 0 {
		claims = append(claims, unlistedClaim(others, float64(in.All.Rest)))
	}
	level := fairLevel(capacity, claims)
	exceeded := make(map[string]float64)
	for i, account := range in.All.Accounts {
		if share := claims[i].share(level); claims[i].demanded > share {
			exceeded[account.Name] = share
		}
	}
	return exceeded
}

// unlistedClaim returns the claim of the accounts that a summary doesn't list. Each of them asks for at
// most rest, so there are at least others/rest of them.
func unlistedClaim(others, rest float64) claim {
	accounts := 1.0
	if rest > 0 {
		accounts = math.Ceil(others / rest)
	}
	return claim{demanded: others, weight: accounts}
}

// claim is what an account asks of a service per second: the work it demands, what is reserved for
// it, and its weight.
type claim struct{ demanded, reserved, weight float64 }

// share returns the most that the account may have at a level, which is the work per weight.
func (c claim) share(level float64) float64 { return c.reserved + c.weight*level }

// saturation returns the level from which on the account has all that it demands.
func (c claim) saturation() float64 { return max(c.demanded-c.reserved, 0) / c.weight }

// fairLevel returns the level at which the accounts together use the capacity, or infinity if they
// demand no more than that.
func fairLevel(capacity float64, claims []claim) float64 {
	ordered := slices.SortedFunc(slices.Values(claims), func(a, b claim) int {
		return cmp.Compare(a.saturation(), b.saturation())
	})
	left, weights := capacity, 0.0
	for _, c := range ordered {
		left -= min(c.demanded, c.reserved)
		weights += c.weight
	}
	for _, c := range ordered {
		level := c.saturation()
		if level*weights > left {
			return max(left, 0) / weights
		}
		left -= level * c.weight
		weights -= c.weight
	}
	return math.Inf(1)
}
