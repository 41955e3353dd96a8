// Package routes is the routing table for opaque requests: routes by host and path, the services
// behind them and the client accounts that may call them. A Table is immutable. The package does no
// I/O and reads no clock.
package routes

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/share"
)

// RepeatPolicy says whether a request may run more than once.
type RepeatPolicy int

// Values of RepeatPolicy.
const (
	// AtMostOnce: at most one backend server may run it, once.
	AtMostOnce RepeatPolicy = iota
	// Repeatable: it may run any number of times.
	Repeatable
	// Resumable: it is answered by a stream of numbered events, and may run again from the last
	// event that was delivered.
	Resumable
)

// Route maps requests of a host and a path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Repeat RepeatPolicy
	// Stream is set if the answer is a stream of events.
	Stream bool
	// Timeout is the maximum time until the end of the answer. 0 means unlimited.
	Timeout time.Duration
	// TargetLatency is the target time to the first byte of the answer.
	TargetLatency time.Duration
	// TargetGap is the target for the longest time between two events. 0 means none.
	TargetGap time.Duration
	// Priority is the urgency of requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the maximum number of backend servers that may run one request.
	MaxAttempts int
	// KeyExempt is set if no key is required.
	KeyExempt bool
	// Shares are the weighted services.
	Shares []Share
}

// Share is a service's share of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a group of equivalent backend servers.
type Service struct {
	Name string
	// Engine is set if the servers run layers of a model.
	Engine *Engine
}

// Account is a client account.
type Account struct {
	Name string
	// Priority overrides the route's if HasPriority is set.
	Priority    int
	HasPriority bool
	// Entitlement is its part of services that are short of capacity.
	Entitlement share.Entitlement
}

// Limits are limits for client requests. 0 means unlimited.
type Limits struct {
	BodyBytes int64
}

// Table is one version of the configuration.
type Table struct {
	Version  uint64
	Limits   Limits
	services map[string]Service
	// byHost are the routes of each host, the longest prefix first.
	byHost       map[string][]Route
	accounts     map[string]Account
	keysRequired bool
	// ordersRequests is the result of OrdersRequests.
	ordersRequests bool
	// priorities are the priorities of the routes to each service, and accountPriorities those of accounts,
	// which override them.
	priorities        map[servicePriority]bool
	accountPriorities map[int]bool
}

type servicePriority struct {
	service  string
	priority int
}

// New builds a table. keys maps each key to its account; nil means that no request needs a key.
func New(version uint64, limits Limits, list []Route, services []Service, keys map[string]Account) *Table {
	t := &Table{
		Version:      version,
		Limits:       limits,
		services:     make(map[string]Service, len(services)),
		byHost:       make(map[string][]Route),
		accounts:     keys,
		keysRequired: keys != nil,

		priorities: make(map[servicePriority]bool), accountPriorities: make(map[int]bool),
	}
	for _, account := range keys {
		if account.HasPriority {
			t.accountPriorities[account.Priority] = true
		}
	}
	for _, service := range services {
		t.services[service.Name] = service
		t.ordersRequests = t.ordersRequests || service.Engine != nil
	}
	for _, route := range list {
		t.ordersRequests = t.ordersRequests || route.TargetGap > 0 || route.Priority != list[0].Priority
	}
	t.ordersRequests = t.ordersRequests || len(keys) > 0
	for _, route := range list {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
		for _, share := range route.Shares {
			t.priorities[servicePriority{share.Service, route.Priority}] = true
		}
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// HasPriority reports whether requests for a service may have a priority: that of a route or of an account.
func (t *Table) HasPriority(service string, priority int) bool {
	return t.priorities[servicePriority{service, priority}] || t.accountPriorities[priority]
}

// OrdersRequests reports whether the configuration has a field that admission control uses: an engine, a
// client account, different priorities or a gap target. Without any, requests to busy servers of plain
// services wait at the servers.
func (t *Table) OrdersRequests() bool { return t.ordersRequests }

// Match returns the route of a host, without port, and a path.
func (t *Table) Match(host, path string) (Route, bool) {
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route, true
		}
	}
	return Route{}, false
}

// NeedsKey reports whether requests of a route must carry a key.
func (t *Table) NeedsKey(route Route) bool { return t.keysRequired && !route.KeyExempt }

// Account returns the account of a key.
func (t *Table) Account(key string) (Account, bool) {
	account, ok := t.accounts[key]
	return account, ok
}

// Entitlements returns the entitlements of the accounts that have one of their own, by name.
func (t *Table) Entitlements() map[string]share.Entitlement {
	entitlements := make(map[string]share.Entitlement)
	for _, account := range t.accounts {
		if account.Entitlement != (share.Entitlement{}) {
			entitlements[account.Name] = account.Entitlement
		}
	}
	return entitlements
}

// Service returns a service by name.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// ServiceNames returns the names of the services in order.
func (t *Table) ServiceNames() []string { return slices.Sorted(maps.Keys(t.services)) }

// ModelServices returns the services that run layers of a model, ordered by name.
func (t *Table) ModelServices() []Service {
	var engines []Service
	for _, service := range t.services {
		if service.Engine != nil {
			engines = append(engines, service)
		}
	}
	slices.SortFunc(engines, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return engines
}

// Pick chooses the service for one request; draw is uniform in [0, 1).
func (r Route) Pick(draw float64) string {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	rest := draw * float64(total)
	for _, share := range r.Shares {
		rest -= float64(share.Weight)
		if rest < 0 {
			return share.Service
		}
	}
	if len(r.Shares) == 0 {
		return ""
	}
	return r.Shares[len(r.Shares)-1].Service
}
