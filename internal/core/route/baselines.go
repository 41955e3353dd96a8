package route

import (
	"cmp"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// baseline builds a path stage by stage without looking ahead: each stage is any
// usable server whose range begins at the next layer. The baseline policies are
// the comparison for max_flow.
func (r *Router) baseline(d *decision) (*candidate, bool) {
	c := &r.scratch[0]
	c.steps = c.steps[:0]
	for at := 0; at < d.graph.layers; {
		var usable []*server
		for _, class := range d.graph.ordered {
			if class.key.layers.From == at {
				usable = appendUsable(usable, d, class)
			}
		}
		if len(usable) == 0 {
			return nil, false
		}
		s := pickBaseline(d, usable)
		c.steps = append(c.steps, step{server: s, dataCentre: s.class.dataCentre, layers: api.Layers{From: at, To: s.class.key.layers.To}})
		at = s.class.key.layers.To
	}
	return c, len(c.steps) > 0
}

func appendUsable(usable []*server, d *decision, c *class) []*server {
	for _, s := range c.members {
		if !d.excluded(s) {
			usable = append(usable, s)
		}
	}
	return usable
}

func pickBaseline(d *decision, usable []*server) *server {
	switch d.policy {
	case PolicyRoundRobin:
		return nextRoundRobin(usable)
	case PolicyLeastInFlight:
		return fewestInFlight(d, usable)
	default:
		return usable[d.random.IntN(len(usable))]
	}
}

// nextRoundRobin returns the server that was chosen longest ago.
func nextRoundRobin(usable []*server) *server {
	next := slices.MinFunc(usable, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.roundRobinTurn, b.roundRobinTurn), compareServers(a, b))
	})
	latest := slices.MaxFunc(usable, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.roundRobinTurn, b.roundRobinTurn), compareServers(a, b))
	})
	next.roundRobinTurn = latest.roundRobinTurn + 1
	return next
}

// fewestInFlight returns the server with the fewest streams of all VMs relative
// to its recorded capacity, the first by name on a tie.
func fewestInFlight(d *decision, usable []*server) *server {
	return slices.MinFunc(usable, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.recordedLoad(d.now), b.recordedLoad(d.now)), compareServers(a, b))
	})
}

// recordedLoad returns the server's streams, with one more, relative to its
// recorded capacity.
func (s *server) recordedLoad(now time.Duration) float64 {
	return float64(s.streams(now)+1) / max(s.TokensPerSecond, 1)
}
