package core

import (
	"maps"
	"slices"

	"oleandershunt.example/oleandershunt/api"
)

// servingVersion returns the model version that new requests run on: the
// configured version once eligible servers hold all its layers, and until then
// another version of which they do. Servers change versions one after another,
// so the configured version has missing layers for a while. Requiring it at once
// would refuse every request with no path although the earlier version still serves.
func (m *Machine) servingVersion(model string, spec api.ModelSpec) string {
	if version, known := m.routing.servingVersions[model]; known {
		return version
	}
	version := m.findServingVersion(model, spec)
	m.routing.servingVersions[model] = version
	return version
}

func (m *Machine) findServingVersion(model string, spec api.ModelSpec) string {
	held := make(map[string][]api.Layers)
	for _, record := range m.config.Servers() {
		if server := m.routeServer(record); server.Eligible && server.Model == model {
			held[server.Version] = append(held[server.Version], server.Layers)
		}
	}
	if covers(held[spec.Version], spec.Layers) {
		return spec.Version
	}
	for _, version := range slices.Backward(slices.Sorted(maps.Keys(held))) {
		if covers(held[version], spec.Layers) {
			return version
		}
	}
	return spec.Version
}

// covers reports whether every layer of [0, layers) is in at least one of the ranges.
func covers(ranges []api.Layers, layers int) bool {
	for layer := range layers {
		if !slices.ContainsFunc(ranges, func(r api.Layers) bool { return r.From <= layer && layer < r.To }) {
			return false
		}
	}
	return true
}
