package gossip

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/digest"
	"oleandershunt.example/oleandershunt/internal/core/fleet"
	membershipv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/membership/v1"
)

// Round does what is due once an interval. The calls go on after it returns.
func (g *Gossip) Round(ctx context.Context) {
	targets, contact := g.beat()
	for _, vm := range targets {
		g.call(func() { _ = g.Exchange(ctx, vm) })
	}
	if contact != "" {
		g.call(func() { g.contact(ctx, contact) })
	}
}

// Wait returns when no call is under way.
func (g *Gossip) Wait() {
	for range maxCalls {
		g.calls <- struct{}{}
	}
	for range maxCalls {
		<-g.calls
	}
}

// call runs one of a bounded number of calls. When all places are taken the
// call is left out: the next round makes up for it.
func (g *Gossip) call(do func()) {
	select {
	case g.calls <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-g.calls }()
		do()
	}()
}

func (g *Gossip) beat() (targets []string, contact string) {
	g.mu.Lock()
	g.round++
	g.store.Heartbeat()
	g.tellFar()
	g.purge()
	g.tickVMs()
	targets = g.roundTargets()
	if len(targets) == 0 || g.round%contactEvery == 0 {
		contact = g.pickContact()
	}
	g.mu.Unlock()
	g.drain()
	return targets, contact
}

// tellFar writes what other data centres are to know of this one's life: that
// this VM lives, and by one VM of the data centre which releases are in force.
func (g *Gossip) tellFar() {
	vms := uint64(len(g.vms.Statuses()))
	if g.round >= g.aliveRound {
		g.store.Put(keyAlive, putUvarint(g.round))
		g.aliveRound = g.round + aliveEvery + vms*aliveEach
	}
	if g.round < g.summaryRound {
		return
	}
	g.summaryRound = g.round + summaryEvery + vms/summaryEach
	value := []byte{}
	if near, _ := g.callable(); fleet.Observers(keyRelease, append(near, g.self.Name), 1)[0] == g.self.Name {
		value = g.summary()
	}
	g.put(keyRelease, value, false)
}

// purge forgets withdrawals that everybody has met by now.
func (g *Gossip) purge() {
	var upto uint64
	for len(g.withdrawn) > 0 && g.round-g.withdrawn[0].round >= purgeRounds {
		upto = g.withdrawn[0].version
		g.withdrawn = g.withdrawn[1:]
	}
	if upto > 0 {
		g.store.PurgeTombstones(upto)
	}
}

// roundTargets picks a VM of this data centre, and with a chance that makes
// about two a round for the whole data centre, one of another.
func (g *Gossip) roundTargets() []string {
	near, far := g.callable()
	var targets []string
	if len(near) > 0 {
		targets = append(targets, g.pick(near))
	}
	if len(far) > 0 && g.random.IntN(len(near)+1) < 2 {
		targets = append(targets, g.pick(far[g.pick(slices.Sorted(maps.Keys(far)))]))
	}
	return targets
}

// callable lists the VMs that may answer: those of this data centre, and the
// others by data centre.
func (g *Gossip) callable() (near []string, far map[string][]string) {
	far = make(map[string][]string)
	for _, vm := range g.vms.Statuses() {
		switch {
		case vm.State == fleet.Gone:
		case vm.DataCentre == g.self.DataCentre:
			near = append(near, vm.Name)
		default:
			far[vm.DataCentre] = append(far[vm.DataCentre], vm.Name)
		}
	}
	return near, far
}

func (g *Gossip) pick(names []string) string { return names[g.random.IntN(len(names))] }

// pickContact picks an address among the contacts and the VMs that are gone:
// after a partition, or with a list that lags, nothing else joins the islands.
func (g *Gossip) pickContact() string {
	contacts := slices.DeleteFunc(g.options.Contacts(), func(a string) bool { return a == g.self.Address })
	for _, vm := range g.vms.Statuses() {
		if value, ok := g.store.Entry(vm.Name, digest.State, keyMember); ok && vm.State == fleet.Gone {
			if member, ok := decodeMember(digest.Change{Origin: digest.Origin{Name: vm.Name}, Value: value}); ok && member.State != fleet.Gone {
				contacts = append(contacts, member.Address)
			}
		}
	}
	if len(contacts) == 0 {
		return ""
	}
	return g.pick(contacts)
}

// push sends an entry to a few others soon. It must be called with the lock held.
func (g *Gossip) push(item news) {
	g.urgent[item] = pushes
	g.pushAfter(pushDelay)
}

func (g *Gossip) pushAfter(delay time.Duration) {
	if !g.pushSoon {
		g.pushSoon = true
		time.AfterFunc(delay, g.flush)
	}
}

func (g *Gossip) flush() {
	g.mu.Lock()
	g.pushSoon = false
	items := slices.SortedFunc(maps.Keys(g.urgent), compareNews)
	for item, left := range g.urgent {
		if left == 1 {
			delete(g.urgent, item)
		} else {
			g.urgent[item] = left - 1
		}
	}
	if len(g.urgent) > 0 {
		g.pushAfter(pushAgain)
	}
	// Other data centres are told by the VM that wrote the news.
	own := slices.ContainsFunc(items, func(item news) bool { return item.origin == g.self.Name })
	targets := g.pushTargets(own)
	message := g.newsMessage(items)
	g.mu.Unlock()
	for _, vm := range targets {
		g.call(func() { g.deliver(context.Background(), vm, message) })
	}
}

func compareNews(a, b news) int {
	return cmp.Or(cmp.Compare(a.origin, b.origin), cmp.Compare(a.key, b.key))
}

// pushTargets picks a few VMs of this data centre; for news of this VM's own
// some more, and one of each other data centre.
func (g *Gossip) pushTargets(own bool) []string {
	near, far := g.callable()
	g.random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	if !own {
		return near[:min(fanOut, len(near))]
	}
	targets := near[:min(fanOutOwn, len(near))]
	for _, dataCentre := range slices.Sorted(maps.Keys(far)) {
		targets = append(targets, g.pick(far[dataCentre]))
	}
	return targets
}

// newsMessage must be called with the lock held.
func (g *Gossip) newsMessage(items []news) *membershipv1.Message {
	message := g.message()
	byOrigin := make(map[string][]string)
	for _, item := range items {
		if item.key != keyRelease {
			byOrigin[item.origin] = append(byOrigin[item.origin], item.key)
		}
	}
	for _, origin := range slices.Sorted(maps.Keys(byOrigin)) {
		if delta, ok := g.store.EntryDelta(origin, byOrigin[origin]...); ok {
			message.Deltas = append(message.Deltas, wireDelta(delta))
		}
	}
	return message
}

func (g *Gossip) sendAll(ctx context.Context, targets []string, message *membershipv1.Message) {
	var sent sync.WaitGroup
	for _, vm := range targets {
		sent.Go(func() { g.deliver(ctx, vm, message) })
	}
	sent.Wait()
}

func (g *Gossip) deliver(ctx context.Context, vm string, message *membershipv1.Message) {
	client, err := g.client(vm)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := send(ctx, client, message)
	if err == nil {
		g.take(vm, answer)
	}
	g.note(vm, err)
}
