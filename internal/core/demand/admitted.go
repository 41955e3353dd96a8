package demand

const (
	// shortageFraction is the fraction of a service's started work that must wait, or of its more urgent
	// requests that must wait or be refused, before others are shed.
	shortageFraction = 0.05
	// usableFraction is the fraction of the started work that is given out, so that queues empty. Once
	// nothing waits, all are admitted, which shows whether there is more capacity.
	usableFraction = 0.95
	// reservedForLower is the fraction of the capacity that less urgent requests keep, as in the queue of a
	// VM: without it a lasting overload by urgent requests would leave them none.
	reservedForLower = 1.0 / 8
)

// Class is the requests of a service and priority that exceed the shares of their accounts, or those that
// don't.
type Class struct {
	Key
	OverShare bool
}

// Admitted are the fractions of the requests of each class that VMs are to admit, of those below 1.
//
// Each VM's queue starts urgent requests first, and those within the shares of their accounts before others.
// Capacity is shared by all VMs, though: without these fractions a VM at which no such request waits would
// start others while such requests are refused elsewhere.
type Admitted map[Class]float64

// Fraction returns the fraction of a class.
func (a Admitted) Fraction(class Class) float64 {
	if fraction, limited := a[class]; limited {
		return fraction
	}
	return 1
}

// Admitted returns what is left for each class of requests after those that go first. Demand with a priority that
// no request can have any more is left out: it was counted under an earlier configuration. hasPriority reports
// whether requests can have a priority; nil means that they can have each.
func (o *Overall) Admitted(hasPriority func(Key) bool) Admitted {
	if o == nil {
		return nil
	}
	var admitted Admitted
	var urgent serviceDemand
	for i, key := range SortedKeys(o.Counts) {
		if i == 0 || key.Service != urgent.service {
			urgent = serviceDemand{service: key.Service, all: Total(o.Counts, key.Service)}
		}
		if hasPriority != nil && !hasPriority(key) {
			continue
		}
		counts := o.Counts[key]
		for _, class := range []Class{{key, false}, {key, true}} {
			if fraction := urgent.fraction(class, counts); fraction < 1 {
				if admitted == nil {
					admitted = make(Admitted)
				}
				admitted[class] = fraction
			}
		}
		urgent.add(counts)
	}
	return admitted
}

// serviceDemand is the demand for a service, and the part of it that is more urgent than a priority.
type serviceDemand struct {
	service string
	all     Counts
	urgent  Counts
}

func (s *serviceDemand) add(counts Counts) { s.urgent = s.urgent.Add(counts) }

// fraction returns the admitted fraction of a class of the next priority, of which counts are given.
func (s *serviceDemand) fraction(class Class, counts Counts) float64 {
	over := float64(counts.OverShare.Work)
	within := float64(counts.Offered.Work) - over
	left := usableFraction*float64(s.all.Started.Work) - float64(s.urgent.Offered.Work)
	urgentLack := s.urgentLack()
	switch {
	case class.OverShare && (urgentLack || s.lacksCapacity(counts)):
		return limited(left-within, over)
	case !class.OverShare && urgentLack:
		return max(limited(left, within), s.reserved())
	default:
		return 1
	}
}

// limited returns the fraction of offered work for which left is enough.
func limited(left, offered float64) float64 {
	if offered <= 0 {
		return 1
	}
	return min(max(left/offered, 0), 1)
}

// urgentLack reports whether more urgent requests wait or are refused.
func (s *serviceDemand) urgentLack() bool {
	lacking := float64(s.urgent.Waiting.Requests + s.urgent.Refused.Requests)
	return lacking > shortageFraction*float64(s.urgent.Offered.Requests)
}

// lacksCapacity reports whether requests of a priority or more urgent ones wait. Refusals don't count:
// they follow from the fractions themselves.
func (s *serviceDemand) lacksCapacity(counts Counts) bool {
	return float64(s.urgent.Waiting.Work+counts.Waiting.Work) > shortageFraction*float64(s.all.Started.Work)
}

// reserved returns the fraction that less urgent requests keep, which is no more than that of the more
// urgent ones that start.
func (s *serviceDemand) reserved() float64 {
	lower := float64(s.all.Offered.Work - s.urgent.Offered.Work)
	served := limited(float64(s.urgent.Started.Work), float64(s.urgent.Offered.Work))
	return min(limited(reservedForLower*float64(s.all.Started.Work), lower), served)
}
