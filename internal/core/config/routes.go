package config

import (
	"fmt"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/api"
)

// matchKey is the part of a route that two conflicting routes have in common. They
// also share a method.
type matchKey struct {
	host   string
	prefix string
}

// checkRoutes checks that each route's service has a backend server that is not
// leaving, and that no request matches two routes equally well, as its route
// would then be arbitrary.
func (v *servingCheck) checkRoutes() {
	byMatch := map[matchKey][]*Record{}
	for record := range v.set.Records(api.KindRoute) {
		spec := record.Spec().(*api.RouteSpec)
		if !v.services[spec.Service] {
			v.report(unservedRoute(record, spec, v.set))
		}
		key := matchKey{strings.ToLower(spec.Host), spec.PathPrefix}
		for _, other := range byMatch[key] {
			if methodsOverlap(spec.Methods, other.Spec().(*api.RouteSpec).Methods) {
				v.reportRouteClash(record, other)
			}
		}
		byMatch[key] = append(byMatch[key], record)
	}
}

// unservedRoute reports a route whose service has no server that stays. It lists the
// leaving servers of the service as related, because a change that makes the last
// one leave causes the violation.
func unservedRoute(record *Record, spec *api.RouteSpec, set *Set) finding {
	var leaving []string
	for server := range set.Records(api.KindBackendServer) {
		if server.Spec().(*api.BackendServerSpec).Service == spec.Service {
			leaving = append(leaving, server.Key())
		}
	}
	return finding{Violation: api.Violation{
		Rule: api.RuleReference, Record: record.Key(), Field: api.FieldPath(record.Header, "service"),
		Problem: fmt.Sprintf("no backend server that stays runs service %q", spec.Service),
		Remedy:  "write a BackendServer record with the service, or delete the route first",
		Related: leaving,
	}, service: spec.Service}
}

func (v *servingCheck) reportRouteClash(a, b *Record) {
	if writtenAfter(b, a) {
		a, b = b, a
	}
	v.report(finding{Violation: api.Violation{
		Rule: api.RuleClash, Record: a.Key(), Field: api.FieldPath(a.Header, "pathPrefix"),
		Problem: b.Key() + " matches the same host, path and method",
		Remedy:  "change host, pathPrefix or methods of one, or delete one",
		Related: []string{b.Key()},
	}})
}

// methodsOverlap reports whether two lists have a method in common. An empty list
// stands for all methods.
func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(method string) bool { return slices.Contains(b, method) })
}
