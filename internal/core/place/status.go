package place

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// String returns a short description of a placement.
func (h Placement) String() string {
	if h.Model == "" {
		return "nothing"
	}
	return fmt.Sprintf("%s %s %v", h.Model, h.Version, h.Layers)
}

// String returns a one-line description of a change.
func (c Change) String() string {
	text := fmt.Sprintf("%s: %s -> %s", c.Server, c.From, c.To)
	if c.Replaces != "" {
		text += ", instead of " + c.Replaces
	}
	text += ", " + string(c.State)
	if c.Reason != "" {
		text += ": " + c.Reason
	}
	if c.ExpectedDuration > 0 {
		text += fmt.Sprintf(", takes about %v", c.ExpectedDuration.Round(time.Second))
	}
	return text
}

func (p *Planner) status(now time.Duration) Status {
	status := Status{DataCentre: p.options.DataCentre, Holder: p.lease != nil && now < p.lease.until}
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		if change, ok := p.change(now, p.servers[name]); ok {
			status.Changes = append(status.Changes, change)
		}
	}
	for _, model := range slices.Sorted(maps.Keys(p.models)) {
		status.Uncovered = append(status.Uncovered, p.gaps(model)...)
	}
	return status
}

// change describes a server that differs from its configured placement. Servers
// that have not been read yet are left out: after a start or a change of the
// lease holder that would be every server, although most need no change.
func (p *Planner) change(now time.Duration, s *server) (Change, bool) {
	reason := p.blockedBy(now, s)
	lost := p.lostServerOf(s)
	upToDate := s.inFlight == nil && reason == blockerSatisfied
	if upToDate && lost == "" || s.report == nil && s.inFlight == nil {
		return Change{}, false
	}
	desired := p.desired(s)
	change := Change{Server: s.config.Name, Model: desired.Model, From: "not known", To: desired.String(), Replaces: lost, State: Pending, Reason: string(reason)}
	if s.report != nil {
		change.From = s.report.Current.String()
	}
	switch {
	case upToDate:
		change.State = Substituting
	case s.inFlight != nil:
		change.State, change.Reason, change.Since = s.inFlight.state, "", s.inFlight.sentAt
		change.ExpectedDuration = p.expectedLoadTime(s, desired)
	default:
		change.ExpectedDuration = p.expectedLoadTime(s, desired)
	}
	return change, true
}

// lostServerOf returns the lost server that a server replaces, or an empty name.
func (p *Planner) lostServerOf(s *server) string {
	for _, lost := range slices.Sorted(maps.Keys(p.substitutes)) {
		if p.substitutes[lost] == s.config.Name {
			return lost
		}
	}
	return ""
}

// gaps lists the layers of a model that are configured in the data centre and
// that no serving server has loaded, in any version.
func (p *Planner) gaps(model string) []Gap {
	var gaps []Gap
	placements := p.servingPlacements(nil)
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		desired := p.servers[name].config.Desired
		if desired.Model != model {
			continue
		}
		for _, missing := range uncoveredRanges(placements, desired) {
			gap := Gap{Model: model, Version: desired.Version, Layers: missing, Substitute: p.substitutes[name]}
			known := slices.IndexFunc(gaps, func(g Gap) bool { return g.Layers == missing })
			switch {
			case known < 0:
				gaps = append(gaps, gap)
			case gaps[known].Substitute == "":
				gaps[known].Substitute = gap.Substitute
			}
		}
	}
	return gaps
}

// uncoveredRanges lists the ranges of a placement that have no copy of any
// version.
func uncoveredRanges(placements []Placement, desired Placement) []api.Layers {
	var ranges []api.Layers
	for layer := desired.Layers.From; layer < desired.Layers.To; layer++ {
		if slices.ContainsFunc(placements, func(p Placement) bool { return p.hasLayer(desired.Model, p.Version, layer) }) {
			continue
		}
		if n := len(ranges); n > 0 && ranges[n-1].To == layer {
			ranges[n-1].To++
		} else {
			ranges = append(ranges, api.Layers{From: layer, To: layer + 1})
		}
	}
	return ranges
}
