package entry

import (
	"net"
	"net/http"
	"slices"
	"strings"

	"oleandershunt.example/oleandershunt/api"
	"oleandershunt.example/oleandershunt/internal/core/config"
)

// matchRoute finds the route with the longest path prefix that fits the request.
func matchRoute(set *config.Set, r *http.Request) (string, bool) {
	host := r.Host
	if name, _, err := net.SplitHostPort(r.Host); err == nil {
		host = name
	}
	found := ""
	for name, route := range set.Routes {
		if routeFits(route, host, r) && (found == "" || before(set.Routes, name, found)) {
			found = name
		}
	}
	return found, found != ""
}

// before orders routes by the length of their prefix, then by name, so that
// every VM takes the same.
func before(routes map[string]api.RouteSpec, a, b string) bool {
	x, y := len(routes[a].PathPrefix), len(routes[b].PathPrefix)
	return x > y || x == y && a < b
}

func routeFits(route api.RouteSpec, host string, r *http.Request) bool {
	if route.Host != "" && !strings.EqualFold(route.Host, host) {
		return false
	}
	if len(route.Methods) > 0 && !slices.Contains(route.Methods, r.Method) {
		return false
	}
	return strings.HasPrefix(r.URL.Path, route.PathPrefix)
}
