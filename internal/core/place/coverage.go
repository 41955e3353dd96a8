package place

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"oleandershunt.example/oleandershunt/api"
)

// serving reports whether the server offers its layers to new requests.
func (s *server) serving() bool {
	return s.available && !s.config.Leaving && !s.loading() && s.report != nil
}

// servingPlacements lists the placements of all serving servers except one.
func (p *Planner) servingPlacements(except *server) []Placement {
	var placements []Placement
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		if s := p.servers[name]; s != except && s.serving() {
			placements = append(placements, s.report.Current)
		}
	}
	return placements
}

// confirmedPlacements lists the placements of the serving servers, except one,
// that have been read since this VM acquired the role. A previous holder's order
// may have taken any other server out of service, which its stale report does
// not show yet.
func (p *Planner) confirmedPlacements(except *server) []Placement {
	var placements []Placement
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		if s := p.servers[name]; s != except && s.serving() && p.confirmed(s) {
			placements = append(placements, s.report.Current)
		}
	}
	return placements
}

// possiblePlacements lists the placements of the servers, except one, that may
// be serving. It includes those that are loading, since the order may have been
// lost and the load may have finished.
func (p *Planner) possiblePlacements(except *server) []Placement {
	var placements []Placement
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[name]
		if s != except && s.available && !s.config.Leaving && s.report != nil {
			placements = append(placements, s.report.Current)
		}
	}
	return placements
}

// confirmed reports whether the current process of the server was read directly
// after the last order of a previous lease holder can have arrived.
func (p *Planner) confirmed(s *server) bool {
	return p.lease != nil && s.directReport != nil && s.report != nil &&
		s.directReport.Incarnation == s.report.Incarnation && s.directReport.At > p.lateOrdersUntil(s)
}

// covers reports whether every layer in the range has a copy among the
// placements.
func covers(placements []Placement, model, version string, layers api.Layers) bool {
	for layer := layers.From; layer < layers.To; layer++ {
		if !slices.ContainsFunc(placements, func(p Placement) bool { return p.hasLayer(model, version, layer) }) {
			return false
		}
	}
	return true
}

// canDrain reports whether a server can be taken out of service: without it, the
// data centre still has every layer of the configured version, or another copy
// of each layer that the server has loaded. Otherwise a version change or the
// repair of one gap could itself make requests fail with no_path while every
// server is up.
func (p *Planner) canDrain(s *server) bool {
	if s.report == nil {
		return false
	}
	current := s.report.Current
	model, known := p.models[current.Model]
	if !known || current.Layers.Len() <= 0 {
		return true
	}
	whole := api.Layers{From: 0, To: model.Layers}
	others := p.confirmedPlacements(s)
	if covers(others, current.Model, model.Version, whole) {
		return true
	}
	if covers(others, current.Model, current.Version, current.Layers) {
		return true
	}
	return p.obsolete(current, model, append(p.possiblePlacements(s), current))
}

// obsolete reports whether the server's layers are of no use: they belong to an
// old version that has lost a layer elsewhere, so that only the configured
// version can become complete again.
func (p *Planner) obsolete(current Placement, model Model, all []Placement) bool {
	whole := api.Layers{From: 0, To: model.Layers}
	return current.Version != model.Version && p.desiredCoversModel(current.Model, whole) &&
		!covers(all, current.Model, current.Version, whole)
}

// desiredCoversModel reports whether the placements configured in this data
// centre cover the whole model.
func (p *Planner) desiredCoversModel(model string, whole api.Layers) bool {
	var desired []Placement
	for _, s := range p.servers {
		if s.config.Desired.Model == model {
			desired = append(desired, Placement{Model: model, Layers: s.config.Desired.Layers})
		}
	}
	return covers(desired, model, "", whole)
}

// updateSubstitutes releases the substitutes that are no longer needed or
// available, and assigns substitutes to lost servers that have none.
func (p *Planner) updateSubstitutes(now time.Duration) {
	for _, lost := range slices.Sorted(maps.Keys(p.substitutes)) {
		if p.recovered(now, p.servers[lost]) || !p.servers[p.substitutes[lost]].available {
			delete(p.substitutes, lost)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[name]
		if _, has := p.substitutes[name]; has || !p.needsSubstitute(now, s) || p.covered(s) {
			continue
		}
		if substitute, ok := p.chooseSubstitute(s); ok {
			p.substitutes[name] = substitute
		}
	}
}

// needsSubstitute reports whether a server's placement must be assigned to
// another server.
func (p *Planner) needsSubstitute(now time.Duration, s *server) bool {
	if s.config.Desired.Model == "" {
		return false
	}
	return s.config.Leaving || !s.available && now >= s.availabilityChangedAt+p.options.LossGrace
}

// recovered reports whether a server has had its configured placement for long
// enough that its substitute may return. The substitute returns only if it can
// be drained then.
func (p *Planner) recovered(now time.Duration, s *server) bool {
	return s.serving() && satisfied(s.report.Current, s.config.Desired) && now >= s.availabilityChangedAt+p.options.ReturnDelay
}

// covered reports whether the lost server's layers have other serving copies of
// the configured version, or are about to have them. A planned version change
// thus does not look like a loss.
func (p *Planner) covered(lost *server) bool {
	desired := lost.config.Desired
	placements := p.servingPlacements(lost)
	if covers(placements, desired.Model, desired.Version, desired.Layers) {
		return true
	}
	for _, s := range p.servers {
		if s != lost && s.available && !s.config.Leaving {
			placements = append(placements, p.desired(s))
		}
	}
	return covers(placements, desired.Model, desired.Version, desired.Layers)
}

// chooseSubstitute picks a server to take over the placement of a lost one:
// among the servers that can be drained and are configured for at least as many
// layers, the one that is expected to be ready first.
func (p *Planner) chooseSubstitute(lost *server) (string, bool) {
	assigned := make(map[string]bool, len(p.substitutes))
	for _, substitute := range p.substitutes {
		assigned[substitute] = true
	}
	var candidates []*server
	for _, name := range slices.Sorted(maps.Keys(p.servers)) {
		s := p.servers[name]
		largeEnough := s.config.Desired.Layers.Len() >= lost.config.Desired.Layers.Len()
		if s != lost && largeEnough && !assigned[name] && s.serving() && p.canDrain(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	desired := lost.config.Desired
	first := slices.MinFunc(candidates, func(a, b *server) int {
		return cmp.Compare(p.expectedLoadTime(a, desired), p.expectedLoadTime(b, desired))
	})
	return first.config.Name, true
}
