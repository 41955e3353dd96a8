package config

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/api"
)

// coverage describes how the layers of a model are covered by its servers. A
// server always runs its whole range, so the path of a request is a chain of
// ranges in which each one starts where the previous one ends.
type coverage struct {
	layers int
	// held tells, for each layer, whether some server holds it.
	held []bool
	// bestRate is, for each layer boundary, the rate in tokens per second for one
	// stream on the fastest chain from layer 0 to that boundary; 0 if there is no
	// chain. A server without a declared rate does not limit a chain.
	bestRate []float64
	// reachesEnd tells, for each boundary, whether a chain leads from it to the last layer.
	reachesEnd []bool
}

func newCoverage(layers int, servers []*Record) *coverage {
	c := &coverage{
		layers:     layers,
		held:       make([]bool, layers),
		bestRate:   make([]float64, layers+1),
		reachesEnd: make([]bool, layers+1),
	}
	specs := make([]*api.BackendServerSpec, 0, len(servers))
	for _, record := range servers {
		specs = append(specs, record.Spec().(*api.BackendServerSpec))
	}
	c.fillBestRate(specs)
	c.fillReachesEnd(specs)
	return c
}

func (c *coverage) fillBestRate(specs []*api.BackendServerSpec) {
	slices.SortFunc(specs, func(a, b *api.BackendServerSpec) int { return cmp.Compare(a.Layers.From, b.Layers.From) })
	c.bestRate[0] = math.Inf(1)
	filled := 0
	for _, spec := range specs {
		for layer := max(filled, spec.Layers.From); layer < spec.Layers.To; layer++ {
			c.held[layer] = true
		}
		filled = max(filled, spec.Layers.To)
		serverRate := spec.TokensPerSecond
		if serverRate == 0 {
			serverRate = math.Inf(1)
		}
		chainRate := min(c.bestRate[spec.Layers.From], serverRate)
		c.bestRate[spec.Layers.To] = max(c.bestRate[spec.Layers.To], chainRate)
	}
}

func (c *coverage) fillReachesEnd(specs []*api.BackendServerSpec) {
	slices.SortFunc(specs, func(a, b *api.BackendServerSpec) int { return cmp.Compare(b.Layers.To, a.Layers.To) })
	c.reachesEnd[c.layers] = true
	for _, spec := range specs {
		if c.reachesEnd[spec.Layers.To] {
			c.reachesEnd[spec.Layers.From] = true
		}
	}
}

// complete reports whether some chain runs every layer exactly once, in order.
func (c *coverage) complete() bool { return c.bestRate[c.layers] > 0 }

// check returns a violation if the servers can't serve a pipeline of the model:
// the first of missing layers, ranges that don't form a chain, and too low a rate.
func (c *coverage) check(record *Record, spec *api.PipelineSpec, related []string) (api.Violation, bool) {
	violation := api.Violation{Record: record.Key(), Field: api.FieldPath(record.Header, "model"), Related: related}
	if holes := c.holes(); len(holes) > 0 {
		violation.Rule = api.RuleHole
		violation.Problem = fmt.Sprintf("layers %s of Model/%s are held by no server that stays", strings.Join(holes, " "), spec.Model)
		violation.Remedy = "write BackendServer records that hold them, in the same apply, or delete the pipeline"
		return violation, true
	}
	if !c.complete() {
		furthest := c.furthestReached()
		violation.Rule = api.RuleOverlap
		violation.Problem = fmt.Sprintf("ranges of Model/%s join up to layer %d and none goes on from there: a pass would skip layers or run some twice", spec.Model, furthest)
		violation.Remedy = fmt.Sprintf("let the range of some server start at layer %d", furthest)
		return violation, true
	}
	requiredRate := float64(cmp.Or(spec.MaxTokens, api.DefaultMaxTokens)) / float64(cmp.Or(spec.DeadlineSeconds, api.DefaultDeadlineSeconds))
	if best := c.bestRate[c.layers]; best < requiredRate {
		violation.Rule = api.RuleCapacity
		violation.Field = api.FieldPath(record.Header, "maxTokens")
		violation.Problem = fmt.Sprintf("an answer of that length within the deadline takes %.1f tokens/s, and the best path passes %.1f", requiredRate, best)
		violation.Remedy = "lower maxTokens, raise deadlineSeconds, or add faster servers"
		return violation, true
	}
	return api.Violation{}, false
}

// holes lists the ranges of layers that no server holds.
func (c *coverage) holes() []string {
	var holes []string
	for at := 0; at < c.layers; at++ {
		if c.held[at] {
			continue
		}
		end := at
		for end < c.layers && !c.held[end] {
			end++
		}
		holes = append(holes, api.Layers{From: at, To: end}.String())
		at = end
	}
	return holes
}

// furthestReached returns the last layer boundary that a chain from layer 0 reaches.
func (c *coverage) furthestReached() int {
	for at := c.layers; at > 0; at-- {
		if c.bestRate[at] > 0 {
			return at
		}
	}
	return 0
}
