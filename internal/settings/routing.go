package settings

import (
	"fmt"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/route"
)

// Routing says how paths are chosen.
type Routing struct {
	// Policy is "max_flow", "least_in_flight", "round_robin" or "random"; all but the
	// first are baselines to measure against.
	Policy route.Policy `toml:"policy" unit:"name"`
	// Seed starts the random numbers of the routing.
	Seed uint64 `toml:"seed" unit:"number"`
	// CachePollsPerSecond bounds how often this VM asks model engines what prompt prefixes
	// they cache, over all engines. 0 turns affinity to caches off.
	CachePollsPerSecond int `toml:"cache_polls_per_second" unit:"polls/s" range:"0..100"`
	// Links are the ways between data centres that are worth telling apart. Without them
	// every link is taken for free.
	Links []Link `toml:"links" unit:"list of tables"`
}

// Link is the way between two data centres, in one direction.
type Link struct {
	// From is the data centre that sends. It must be set.
	From string `toml:"from" unit:"data centre"`
	// To is the data centre that receives. It must be set, and not be From.
	To string `toml:"to" unit:"data centre"`
	// Delay is the time one token's activations take to cross.
	Delay time.Duration `toml:"delay" unit:"duration" range:"0s.."`
	// TokensPerSecond bounds the activations that cross, for all VMs together. 0 is
	// no bound.
	TokensPerSecond float64 `toml:"tokens_per_second" unit:"tokens/s" range:"0.."`
}

func defaultRouting() Routing {
	return Routing{Policy: route.PolicyMaxFlow, Seed: 1, CachePollsPerSecond: 4}
}

func (r Routing) validate(report reporter) {
	known := slices.Contains(route.Policies(), r.Policy)
	report(known, "routing.policy", fmt.Sprintf("is %q", r.Policy), fmt.Sprintf("set one of %v", route.Policies()))
	for i, link := range r.Links {
		named := link.From != "" && link.To != "" && link.From != link.To
		report(named, fmt.Sprintf("routing.links[%d]", i), "does not name two data centres", "set from and to, not the same")
	}
}
