package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/platform/standin"
)

// Parameters of floods.
const (
	// floodPerSecond is the rate of a flood's requests. An account usually sends 15 per second, and the
	// plain servers can serve about 100.
	floodPerSecond = 300
	// floodFor is how much longer than its fault a flood lasts.
	floodFor = 5 * time.Second
	// floodRecovery is how long after a flood requests may still be refused for it.
	floodRecovery = 2 * time.Second
	// floodAbandoned is the fraction of a flood's requests that their callers abandon while most
	// requests wait in queues.
	floodAbandoned = 0.25
	// sharesKnownAfter is the time from the first failed request of the flooding account until VMs must
	// limit it. The shares come with the tallies, and apply only while requests are refused or wait.
	sharesKnownAfter = time.Second
	// maxStarved is the maximum time in which an account within its share may be served nothing.
	maxStarved = 3 * time.Second
	// Below these numbers and this fraction of failed requests, a flood shows nothing.
	minFloodRequests = 50
	minShareRequests = 20
	minFloodFailed   = 0.2
	// maxShareFailed is the maximum fraction of failed requests of the other accounts, as a multiple of
	// the flooding account's, and shareFailedSlack is added to it.
	maxShareFailed   = 0.5
	shareFailedSlack = 0.1
	// maxQueueWait is the bound of a VM for the wait in its queue.
	maxQueueWait = 1500 * time.Millisecond
)

// flood is a flood by one account, or by all if account is empty.
type flood struct {
	account  string
	from, to time.Time
}

// flood sends requests of one account, or of all, at a high rate. Of two floods that overlap, the
// second one waits: no account is within its share while all flood.
func (w *world) flood(f Fault) {
	w.floodMu.Lock()
	defer w.floodMu.Unlock()
	random := rand.New(rand.NewPCG(w.options.Seed, uint64(f.Target)))
	account := standin.Accounts[f.Target%len(standin.Accounts)]
	ticker := time.NewTicker(time.Second / floodPerSecond)
	defer ticker.Stop()
	from := time.Now()
	for time.Since(from) < floodFor+f.For {
		<-ticker.C
		sender := account
		if f.Kind == FloodAll {
			sender = drawAccount(random)
		}
		w.callers.sendOne(random, sender, floodAbandoned)
	}
	if f.Kind == FloodAll {
		account = ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.facts.floods = append(w.facts.floods, flood{account, from, time.Now()})
}

// isRefusedForAFlood reports whether a request was refused for lack of capacity, of the servers or the VM, while
// requests exceed what these can serve.
func (f *observations) isRefusedForAFlood(r request) bool {
	if r.reason != "overloaded" && r.reason != "vm_busy" {
		return false
	}
	return slices.ContainsFunc(f.floods, func(flood flood) bool {
		return r.sent.After(flood.from) && r.sent.Before(flood.to.Add(floodRecovery))
	})
}

// checkFloods finds accounts within their share that are served too little while another one floods.
func (f *observations) checkFloods() []finding {
	var found []finding
	for _, flood := range f.floods {
		if flood.account == "" {
			continue // no account is within its share
		}
		for _, service := range []string{standin.PlainService, standin.ModelService} {
			found = append(found, f.checkFlood(flood, service)...)
		}
	}
	return found
}

func (f *observations) checkFlood(flood flood, service string) []finding {
	byAccount := make(map[string][]request)
	var flooding, others served
	from := f.limitedFrom(flood, service)
	for _, r := range f.requests {
		if r.sent.Before(from) || r.sent.After(flood.to) || serviceOf(r.route) != service || !f.showsAdmission(r) {
			continue
		}
		byAccount[r.account] = append(byAccount[r.account], r)
		if r.account == flood.account {
			flooding.count(r)
		} else {
			others.count(r)
		}
	}
	var found []finding
	failed := 1 - flooding.share()
	if flooding.all >= minFloodRequests && others.all >= minShareRequests && failed >= minFloodFailed && 1-others.share() > maxShareFailed*failed+shareFailedSlack {
		found = append(found, finding{"account crowded out", fmt.Sprintf("%s: %d of %d served, refused %v, of %s %d of %d",
			service, others.complete, others.all, others.reasons, flood.account, flooding.complete, flooding.all)})
	}
	for _, account := range standin.Accounts {
		if account != flood.account && starved(byAccount[account], byAccount[flood.account]) {
			found = append(found, finding{"account starved", fmt.Sprintf("%s: %s is served nothing for %s while %s floods", service, account, maxStarved, flood.account)})
		}
	}
	return found
}

// limitedFrom returns the time from which VMs must limit the account of a flood at a service.
func (f *observations) limitedFrom(flood flood, service string) time.Time {
	first := flood.to
	for _, r := range f.requests {
		if r.account == flood.account && serviceOf(r.route) == service && f.showsAdmission(r) && !r.complete && r.sent.After(flood.from) && r.ended.Before(first) {
			first = r.ended
		}
	}
	return first.Add(sharesKnownAfter)
}

// showsAdmission reports whether a request shows what VMs admit: it was served or refused for capacity,
// or no server was disturbed. Without its servers, no account is served.
func (f *observations) showsAdmission(r request) bool {
	return f.competes(r) && (r.complete || r.reason == "overloaded" || f.serversUndisturbed(r))
}

// competes reports whether a request competes for servers with those of other accounts. A VM that is
// saturated refuses all accounts alike.
func (f *observations) competes(r request) bool {
	return r.version == 0 && !r.crashing && r.abandonedAt.IsZero() && r.reason != "vm_busy" && f.undisturbedUntil(r, r.ended)
}

// starved reports whether requests fail for longer than maxStarved, while of the flooding account some
// that were sent meanwhile are served.
func starved(requests, flooding []request) bool {
	const some = 5
	bySent := func(a, b request) int { return a.sent.Compare(b.sent) }
	slices.SortFunc(requests, bySent)
	first := 0
	for i, r := range requests {
		if r.complete {
			first = i + 1
			continue
		}
		from := requests[first].sent
		if i-first < some || r.sent.Sub(from) <= maxStarved {
			continue
		}
		servedMeanwhile := 0
		for _, other := range flooding {
			if other.complete && other.sent.After(from) && other.sent.Before(r.sent) {
				servedMeanwhile++
			}
		}
		if servedMeanwhile >= some {
			return true
		}
	}
	return false
}

// checkWaits finds requests that waited for longer than the bound before they were sent to a server
// or refused.
func (f *observations) checkWaits() []finding {
	first := make(map[string]time.Time)
	for _, a := range f.arrivals {
		if at, ok := first[a.ID]; !ok || a.At.Before(at) {
			first[a.ID] = a.At
		}
	}
	var found []finding
	for _, r := range f.requests {
		until, ok := first[r.id]
		if !ok && standin.GuaranteesNotExecuted(r.status) {
			until, ok = r.ended, true
		}
		if wait := until.Sub(r.sent); ok && wait > maxQueueWait+machineSlack && f.competes(r) && f.serversUndisturbed(r) {
			found = append(found, finding{"waited too long", fmt.Sprintf("%s by %s: %s, status %d %s", r.id, r.vm, wait.Round(time.Millisecond), r.status, r.reason)})
		}
	}
	return found
}

// serversUndisturbed reports whether no server was disturbed at a request.
func (f *observations) serversUndisturbed(r request) bool {
	for _, disturbed := range f.servers {
		if !disturbed.undisturbed(r.sent, r.ended, f.bounds.Contact) {
			return false
		}
	}
	return true
}
