package gossip

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
)

// maxConfirmTargets is the maximum number of VMs that Confirm exchanges with. In a
// larger deployment the remaining VMs rely on the urgent pushes alone.
const maxConfirmTargets = 64

// Confirm exchanges with every VM that may be live, up to maxConfirmTargets of them
// and this data centre first, until ctx is done. After a successful exchange both
// sides have merged each other's state and the subscribers have been called.
// missing lists the VMs whose exchange failed. A VM that refuses the connection
// serves no clients either and isn't listed.
func (g *Gossip) Confirm(ctx context.Context) (missing []string) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for _, vm := range g.confirmTargets() {
		wg.Go(func() {
			err := g.Exchange(ctx, vm)
			if err != nil && ctx.Err() == nil {
				// A pooled connection breaks when its VM dies. Retry on a new
				// connection to find out whether a process is listening.
				err = g.Exchange(ctx, vm)
			}
			if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			missing = append(missing, vm)
		})
	}
	wg.Wait()
	slices.Sort(missing)
	return missing
}

func (g *Gossip) confirmTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	targets, remote := g.reachableVMs()
	var others []string
	for _, names := range remote {
		others = append(others, names...)
	}
	slices.Sort(others)
	targets = append(targets, others...)
	return targets[:min(maxConfirmTargets, len(targets))]
}

// Meet exchanges with contacts that are not in the directory yet, at most
// ownFanOut of them. Without it, VMs that start together know no other VM for
// some rounds, and their urgent entries are pushed to nobody.
func (g *Gossip) Meet(ctx context.Context) {
	known := []string{g.self.Address}
	for _, member := range g.options.Directory.Members() {
		known = append(known, member.Address)
	}
	contacted := 0
	for _, address := range g.options.Contacts() {
		if slices.Contains(known, address) || contacted >= ownFanOut {
			continue
		}
		contacted++
		g.startCall(func() { g.contact(ctx, address) })
	}
}
