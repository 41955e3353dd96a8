package place

import "time"

// inFlightOrder is the order that a server has in flight. There is at most one.
type inFlightOrder struct {
	order Order
	state State
	// answeredAt is when the response arrived or was given up as lost.
	sentAt     time.Duration
	answeredAt time.Duration
	// layers is the number of layers that the order makes the server load.
	layers int
	// incarnation is the server process that the order was sent to.
	incarnation uint64
}

// HandleResult handles the result of sending an order.
func (p *Planner) HandleResult(now time.Duration, id string, result Result) {
	s := p.serverOfOrder(id)
	if s == nil {
		return
	}
	s.inFlight.answeredAt = now
	switch result {
	case Accepted:
		s.inFlight.state = Loading
	case Unknown:
		s.inFlight.state = Unacknowledged
	case Refused:
		p.orderFailed(now, s)
	case StaleFence:
		// A later lease holder has sent an order. Sending more would undo its
		// work.
		p.ClearLease()
	case NotSent:
		s.inFlight = nil
	}
}

func (p *Planner) serverOfOrder(id string) *server {
	for _, s := range p.servers {
		if s.inFlight != nil && s.inFlight.order.ID == id {
			return s
		}
	}
	return nil
}

func (p *Planner) orderFailed(now time.Duration, s *server) {
	s.inFlight, s.directReport = nil, nil
	s.retryAt = now + min(p.options.Backoff<<min(s.failures, 10), p.options.MaxBackoff)
	s.failures++
}

// reconcileOrders completes the in-flight orders whose outcome is visible in the
// servers' reports.
func (p *Planner) reconcileOrders(now time.Duration) {
	for _, s := range p.servers {
		if s.inFlight == nil {
			continue
		}
		if !s.available || s.report != nil && s.report.Incarnation > s.inFlight.incarnation {
			// The process that got the order is gone, and the order with it.
			s.inFlight = nil
			continue
		}
		p.reconcileWithReport(now, s)
	}
}

func (p *Planner) reconcileWithReport(now time.Duration, s *server) {
	f := s.inFlight
	reported := s.directReport != nil && s.directReport.At > f.answeredAt
	if !reported || f.state == Ordered {
		return
	}
	switch {
	case s.directReport.Loading:
		f.state = Loading
	case applied(s.directReport.Current, f.order):
		p.learnLayerTime(now, s)
		s.inFlight, s.failures = nil, 0
	case f.state == Loading:
		p.orderFailed(now, s)
	}
}

func applied(current Placement, order Order) bool {
	switch order.Kind {
	case OrderLoad:
		return current.sameWeights(order.Placement)
	case OrderRole:
		return current.Role == order.Placement.Role
	default:
		return satisfied(Placement{Adapters: current.Adapters}, Placement{Adapters: order.Placement.Adapters})
	}
}

// followOrder tracks an order in flight: it has the server read, and resends an
// order whose response was lost if the server shows no effect of it. The order
// keeps its ID, so that a server that did accept it returns the same result.
func (p *Planner) followOrder(now time.Duration, s *server, d *Decision) {
	f := s.inFlight
	noEffect := f.state == Unacknowledged && s.directReport != nil && s.directReport.At > f.answeredAt && now >= f.answeredAt+p.options.Backoff
	switch {
	case f.state == Ordered:
	case noEffect && (f.order.Kind == OrderAdapter || p.canDrain(s)):
		f.state = Ordered
		d.Orders = append(d.Orders, f.order)
	case noEffect && now >= f.answeredAt+p.options.OrderTimeout:
		// The server has the last copy by now, and the order can no longer arrive.
		s.inFlight, s.directReport = nil, nil
	default:
		p.requestRead(now, s, d)
	}
}

// layerTimeWeight is the weight of the latest measurement in the moving average.
const layerTimeWeight = 0.5

// learnLayerTime adds the duration of a finished load to the moving average.
func (p *Planner) learnLayerTime(now time.Duration, s *server) {
	f := s.inFlight
	if f.layers <= 0 {
		return
	}
	perLayer := (now - f.sentAt) / time.Duration(f.layers)
	accelerator := s.config.Accelerator
	if previous, ok := p.layerTimes[accelerator]; ok {
		perLayer = time.Duration(layerTimeWeight*float64(perLayer) + (1-layerTimeWeight)*float64(previous))
	}
	p.layerTimes[accelerator] = perLayer
}

// expectedLoadTime estimates how long the server needs to reach a placement.
func (p *Planner) expectedLoadTime(s *server, desired Placement) time.Duration {
	layerTime, ok := p.layerTimes[s.config.Accelerator]
	if !ok {
		layerTime = p.options.InitialLayerTime
	}
	layers := desired.Layers.Len()
	if s.report != nil {
		layers = s.report.Current.missingLayers(desired)
	}
	return layerTime * time.Duration(layers)
}
