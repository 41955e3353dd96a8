package place

import (
	"slices"
	"time"
)

// blocker is a reason not to send an order to a server now. Operators see it in
// Status.
type blocker string

const (
	blockerNone        blocker = ""
	blockerSatisfied   blocker = "holds what it should"
	blockerUnavailable blocker = "server does not answer"
	blockerLeaving     blocker = "server is leaving"
	blockerNeedsRead   blocker = "server is being read first"
	blockerLateOrder   blocker = "an order of the former holder may still arrive, and the server ignores fencing numbers"
	blockerBusy        blocker = "server is carrying out another order"
	blockerBackoff     blocker = "an order failed; it is tried again"
	blockerLoadLimit   blocker = "weight store's limit of loads at once"
	blockerLastCopy    blocker = "it holds the last live copy of layers in its data centre: add a server, or bring one back"
	blockerNoRole      blocker = "no VM of the data centre that is known here holds the placement role"
)

// blockedBy returns the first reason against sending an order to the server, or
// blockerNone.
func (p *Planner) blockedBy(now time.Duration, s *server) blocker {
	desired := p.desired(s)
	switch {
	case desired.Model == "" || s.report != nil && satisfied(s.report.Current, desired) && !s.report.Loading:
		return blockerSatisfied
	case !s.available:
		return blockerUnavailable
	case s.config.Leaving:
		return blockerLeaving
	case p.lease == nil || now >= p.lease.until:
		return blockerNoRole
	case now < p.lateOrdersUntil(s):
		return blockerLateOrder
	case !p.confirmed(s) || now > s.directReport.At+p.options.MaxReportAge:
		return blockerNeedsRead
	case s.directReport.Loading:
		return p.busyBlocker(now, s)
	case now < s.retryAt:
		return blockerBackoff
	}
	return p.drainBlocker(s, desired)
}

// busyBlocker requests another read of a loading server once its report is old,
// so that the end of the load is noticed.
func (p *Planner) busyBlocker(now time.Duration, s *server) blocker {
	if now > s.directReport.At+p.options.ReadInterval {
		return blockerNeedsRead
	}
	return blockerBusy
}

// drainBlocker returns the reason against taking the server out of service for a
// change of its weights or role.
func (p *Planner) drainBlocker(s *server, desired Placement) blocker {
	load := !s.directReport.Current.sameWeights(desired)
	switch {
	case load && p.activeLoads() >= p.options.MaxLoads:
		return blockerLoadLimit
	case (load || s.directReport.Current.Role != desired.Role) && !p.canDrain(s):
		return blockerLastCopy
	default:
		return blockerNone
	}
}

// lateOrdersUntil is when orders of a previous lease holder can no longer reach
// the server. A server that checks fencing numbers refuses such an order itself.
// One that ignores them would execute it after ours: it would end up with the
// wrong layers although it acknowledged our order, and attempts on it would be
// refused. The planner therefore waits for the longest time that an order can be
// in flight, and reads the server after that.
func (p *Planner) lateOrdersUntil(s *server) time.Duration {
	if s.config.ChecksFencing {
		return p.lease.since
	}
	return p.lease.since + p.options.OrderTimeout
}

// activeLoads counts the servers that are loading, whichever VM sent the order.
func (p *Planner) activeLoads() int {
	n := 0
	for _, s := range p.servers {
		if s.loading() {
			n++
		}
	}
	return n
}

func (s *server) loading() bool {
	if s.inFlight != nil {
		return s.inFlight.order.Kind == OrderLoad
	}
	return s.available && s.report != nil && s.report.Loading
}

// satisfied reports whether the current placement includes all that is desired.
func satisfied(current, desired Placement) bool {
	if !current.sameWeights(desired) || desired.Role != "" && current.Role != "" && current.Role != desired.Role {
		return false
	}
	for _, adapter := range desired.Adapters {
		if !slices.Contains(current.Adapters, adapter) {
			return false
		}
	}
	return true
}

// nextOrder returns the next step from the current to the desired placement: one
// order at a time, the weights first.
func (p *Planner) nextOrder(s *server) Order {
	current, desired := s.directReport.Current, p.desired(s)
	next := Order{Server: s.config.Name}
	switch {
	case !current.sameWeights(desired):
		next.Kind = OrderLoad
		next.Placement = Placement{Model: desired.Model, Version: desired.Version, Layers: desired.Layers}
	case desired.Role != "" && current.Role != desired.Role:
		next.Kind = OrderRole
		next.Placement = Placement{Role: desired.Role}
	default:
		next.Kind = OrderAdapter
		for _, adapter := range desired.Adapters {
			if !slices.Contains(current.Adapters, adapter) {
				next.Placement = Placement{Adapters: []string{adapter}}
				break
			}
		}
	}
	return next
}
