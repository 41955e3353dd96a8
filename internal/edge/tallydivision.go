package edge

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/internal/core/division"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// logDivision logs the services that started or stopped to be divided over data centres.
func (t *tallyExchanger) logDivision(changes []division.Change) {
	for _, change := range changes {
		if change.Divided {
			telemetry.ServiceDivided.Log(t.log, "service", change.Service, "shares", describeShares(change.Shares), "sites", describeSites(change.Sites))
		} else {
			telemetry.ServiceUndivided.Log(t.log, "service", change.Service, "sites", describeSites(change.Sites))
		}
	}
}

func describeShares(shares []division.Share) string {
	parts := make([]string, 0, len(shares))
	for _, share := range shares {
		parts = append(parts, fmt.Sprintf("%s %.2f", share.DataCentre, share.Fraction))
	}
	return strings.Join(parts, ", ")
}

func describeSites(sites map[string]division.Site) string {
	parts := make([]string, 0, len(sites))
	for _, name := range slices.Sorted(maps.Keys(sites)) {
		site, offered := sites[name], "unknown"
		if site.DemandKnown {
			offered = fmt.Sprintf("%.0f", site.Demand)
		}
		parts = append(parts, fmt.Sprintf("%s demand %s capacity %.0f free %.0f", name, offered, site.Total, site.Free))
	}
	return strings.Join(parts, ", ")
}
