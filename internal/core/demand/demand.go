// Package demand counts what callers ask of each service: requests and their work that were offered,
// started, refused and that wait, by priority, and which client accounts ask for the most. VMs report
// it to their hub, which adds it up. The package does no I/O and reads no clock; it is not safe for
// concurrent use. Times are durations since the VM's start.
package demand

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// promptTokensPerUnit is how many prompt tokens are as much work as one token of a response: a prompt is
// read many tokens at a time.
const promptTokensPerUnit = 8

// Work returns the work of a request to a model in tokens of responses.
func Work(promptTokens, responseTokens float64) float64 {
	return responseTokens + promptTokens/promptTokensPerUnit
}

// Key is a service and a priority of its requests; 0 is the most urgent.
type Key struct {
	Service  string
	Priority int
}

// Compare orders keys by service and priority.
func (k Key) Compare(other Key) int {
	return cmp.Or(strings.Compare(k.Service, other.Service), cmp.Compare(k.Priority, other.Priority))
}

// Amount is a number of requests and their work in tokens. Work is whole, so that sums are exact.
type Amount struct{ Requests, Work int64 }

// Add returns the sum of two amounts.
func (a Amount) Add(b Amount) Amount { return Amount{a.Requests + b.Requests, a.Work + b.Work} }

// Subtract returns the difference of two amounts.
func (a Amount) Subtract(b Amount) Amount { return Amount{a.Requests - b.Requests, a.Work - b.Work} }

// Counts are what was asked of one service. Waiting is what waits now, the others are of the last
// second. OverShare is the part of Offered that exceeds the shares of its accounts.
type Counts struct{ Offered, OverShare, Started, Refused, Waiting Amount }

// Add returns the sum of two counts.
func (c Counts) Add(o Counts) Counts {
	return Counts{c.Offered.Add(o.Offered), c.OverShare.Add(o.OverShare), c.Started.Add(o.Started), c.Refused.Add(o.Refused), c.Waiting.Add(o.Waiting)}
}

// Subtract returns the difference of two counts.
func (c Counts) Subtract(o Counts) Counts {
	return Counts{c.Offered.Subtract(o.Offered), c.OverShare.Subtract(o.OverShare), c.Started.Subtract(o.Started), c.Refused.Subtract(o.Refused), c.Waiting.Subtract(o.Waiting)}
}

// Short reports whether the service lacks capacity: requests wait or were refused.
func (c Counts) Short() bool { return c.Waiting.Requests > 0 || c.Refused.Requests > 0 }

// Report is the demand that reached one VM, or all VMs of a data centre. Services without requests
// are absent.
type Report struct {
	Counts map[Key]Counts
	// Accounts are the accounts with the most offered work, by service.
	Accounts map[string]Summary
}

// Rate is work per second of one service.
type Rate struct{ Offered, Started int64 }

// Overall is the demand that reached all VMs, the reader's own as it was last reported included.
type Overall struct {
	Counts map[Key]Counts
	// DataCentres are the rates by the data centre whose VMs received the requests.
	DataCentres map[string]map[Key]Rate
	// Accounts are the accounts with the most offered work, of the services that are short of
	// capacity.
	Accounts map[string]Summary
}

// Service returns the counts of a service at all priorities.
func (o *Overall) Service(service string) Counts {
	if o == nil {
		return Counts{}
	}
	return Total(o.Counts, service)
}

// Services returns the services with requests, sorted.
func (o *Overall) Services() []string {
	if o == nil {
		return nil
	}
	return Services(o.Counts)
}

// Rate returns the work per second of a service that VMs of a data centre received and started.
func (o *Overall) Rate(service, dataCentre string) (rate Rate) {
	if o == nil {
		return rate
	}
	for key, part := range o.DataCentres[dataCentre] {
		if key.Service == service {
			rate.Offered, rate.Started = rate.Offered+part.Offered, rate.Started+part.Started
		}
	}
	return rate
}

// Totals returns the counts by service at all priorities.
func Totals(counts map[Key]Counts) map[string]Counts {
	totals := make(map[string]Counts)
	for key, part := range counts {
		totals[key.Service] = totals[key.Service].Add(part)
	}
	return totals
}

// Total returns the counts of a service at all priorities.
func Total(counts map[Key]Counts, service string) (total Counts) {
	for key, part := range counts {
		if key.Service == service {
			total = total.Add(part)
		}
	}
	return total
}

// Services returns the services that have counts, sorted.
func Services(counts map[Key]Counts) []string {
	services := make([]string, 0, len(counts))
	for _, key := range SortedKeys(counts) {
		if len(services) == 0 || services[len(services)-1] != key.Service {
			services = append(services, key.Service)
		}
	}
	return services
}

// SortedKeys returns the keys of a map in their order.
func SortedKeys[V any](of map[Key]V) []Key { return slices.SortedFunc(maps.Keys(of), Key.Compare) }
