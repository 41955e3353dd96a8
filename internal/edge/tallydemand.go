package edge

import (
	"slices"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// maxReported bounds a number of a received message, so that sums of all VMs can't overflow.
const maxReported = 1 << 40

// encodeDemand converts counts to their message, with rows in the order of the keys; nil without any.
func encodeDemand(counts map[demand.Key]demand.Counts) *tallyv1.Demand {
	if len(counts) == 0 {
		return nil
	}
	to := &tallyv1.Demand{}
	for _, key := range demand.SortedKeys(counts) {
		to.Services, to.Priorities = append(to.Services, key.Service), append(to.Priorities, uint32(max(key.Priority, 0)))
		c := counts[key]
		to.OfferedRequests, to.OfferedWork = appendAmount(to.OfferedRequests, to.OfferedWork, c.Offered)
		to.OverShareRequests, to.OverShareWork = appendAmount(to.OverShareRequests, to.OverShareWork, c.OverShare)
		to.StartedRequests, to.StartedWork = appendAmount(to.StartedRequests, to.StartedWork, c.Started)
		to.RefusedRequests, to.RefusedWork = appendAmount(to.RefusedRequests, to.RefusedWork, c.Refused)
		to.WaitingRequests, to.WaitingWork = appendAmount(to.WaitingRequests, to.WaitingWork, c.Waiting)
	}
	to.RefusedRequests, to.RefusedWork = dropZeros(to.RefusedRequests), dropZeros(to.RefusedWork)
	to.WaitingRequests, to.WaitingWork = dropZeros(to.WaitingRequests), dropZeros(to.WaitingWork)
	to.OverShareRequests, to.OverShareWork = dropZeros(to.OverShareRequests), dropZeros(to.OverShareWork)
	return to
}

func appendAmount(requests, work []uint64, a demand.Amount) ([]uint64, []uint64) {
	return append(requests, uint64(max(a.Requests, 0))), append(work, uint64(max(a.Work, 0)))
}

// dropZeros returns nil for a column of zeros.
func dropZeros(column []uint64) []uint64 {
	if slices.ContainsFunc(column, func(n uint64) bool { return n != 0 }) {
		return column
	}
	return nil
}

// decodeDemand is the inverse of encodeDemand. Rows that are missing in a column are 0 there.
func decodeDemand(from *tallyv1.Demand) map[demand.Key]demand.Counts {
	if len(from.GetServices()) == 0 {
		return nil
	}
	counts := make(map[demand.Key]demand.Counts, len(from.GetServices()))
	for i := range from.GetServices() {
		key := demandKey(from, i)
		counts[key] = counts[key].Add(demand.Counts{
			Offered:   amountAt(from.GetOfferedRequests(), from.GetOfferedWork(), i),
			OverShare: amountAt(from.GetOverShareRequests(), from.GetOverShareWork(), i),
			Started:   amountAt(from.GetStartedRequests(), from.GetStartedWork(), i),
			Refused:   amountAt(from.GetRefusedRequests(), from.GetRefusedWork(), i),
			Waiting:   amountAt(from.GetWaitingRequests(), from.GetWaitingWork(), i),
		})
	}
	return counts
}

func demandKey(from *tallyv1.Demand, row int) demand.Key {
	key := demand.Key{Service: from.GetServices()[row]}
	if row < len(from.GetPriorities()) {
		key.Priority = int(from.GetPriorities()[row])
	}
	return key
}

func amountAt(requests, work []uint64, row int) demand.Amount {
	return demand.Amount{Requests: numberAt(requests, row), Work: numberAt(work, row)}
}

func numberAt(column []uint64, row int) int64 {
	if row >= len(column) {
		return 0
	}
	return int64(min(column[row], maxReported))
}

// demandMessages keeps the messages of the demand that VMs were told last, since all get the same for a
// moment.
type demandMessages struct {
	complete, short demandMessage
}

// demandMessage is the message of a demand. It is shared by responses and must not be changed.
type demandMessage struct {
	of      *demand.Overall
	message *tallyv1.TellResponse
}

// addTo adds demand to a response.
func (d *demandMessages) addTo(to *tallyv1.TellResponse, overall *demand.Overall, complete bool) {
	to.DemandComplete = complete
	if overall == nil {
		return
	}
	last := &d.short
	if complete {
		last = &d.complete
	}
	if last.of != overall {
		*last = demandMessage{overall, &tallyv1.TellResponse{}}
		addOverall(last.message, overall)
	}
	to.Demand, to.DemandByDataCentre, to.HeavyHitters = last.message.Demand, last.message.DemandByDataCentre, last.message.HeavyHitters
}

// addOverall adds the demand of all VMs to a response.
func addOverall(to *tallyv1.TellResponse, overall *demand.Overall) {
	if overall == nil {
		return
	}
	to.Demand, to.HeavyHitters = encodeDemand(overall.Counts), encodeSummaries(overall.Accounts)
	keys := demand.SortedKeys(overall.Counts)
	for dataCentre, rates := range overall.DataCentres {
		part := &tallyv1.DataCentreDemand{DataCentre: dataCentre}
		for _, key := range demand.SortedKeys(rates) {
			if row, ok := slices.BinarySearchFunc(keys, key, demand.Key.Compare); ok {
				part.Rows = append(part.Rows, uint32(row))
				part.OfferedWork = append(part.OfferedWork, uint64(max(rates[key].Offered, 0)))
				part.StartedWork = append(part.StartedWork, uint64(max(rates[key].Started, 0)))
			}
		}
		to.DemandByDataCentre = append(to.DemandByDataCentre, part)
	}
}

// decodeOverall is the inverse of addOverall. It returns nil for a response without demand.
func decodeOverall(from *tallyv1.TellResponse) *demand.Overall {
	counts := decodeDemand(from.GetDemand())
	if counts == nil {
		return nil
	}
	overall := &demand.Overall{
		Counts: counts, Accounts: decodeSummaries(from.GetHeavyHitters()),
		DataCentres: make(map[string]map[demand.Key]demand.Rate, len(from.GetDemandByDataCentre())),
	}
	for _, part := range from.GetDemandByDataCentre() {
		rates := make(map[demand.Key]demand.Rate, len(part.GetRows()))
		for i, row := range part.GetRows() {
			if uint64(row) < uint64(len(from.GetDemand().GetServices())) {
				rates[demandKey(from.GetDemand(), int(row))] = demand.Rate{Offered: numberAt(part.GetOfferedWork(), i), Started: numberAt(part.GetStartedWork(), i)}
			}
		}
		overall.DataCentres[part.GetDataCentre()] = rates
	}
	return overall
}

// encodeSummaries converts the summaries of accounts by service to their messages.
func encodeSummaries(summaries map[string]demand.Summary) []*tallyv1.HeavyHitters {
	messages := make([]*tallyv1.HeavyHitters, 0, len(summaries))
	for service, summary := range summaries {
		to := &tallyv1.HeavyHitters{Service: service, Rest: uint64(max(summary.Rest, 0))}
		for _, account := range summary.Accounts {
			to.Accounts = append(to.Accounts, account.Name)
			to.Work, to.Excess = append(to.Work, uint64(max(account.Work, 0))), append(to.Excess, uint64(max(account.Error, 0)))
		}
		to.Excess = dropZeros(to.Excess)
		messages = append(messages, to)
	}
	return messages
}

// decodeSummaries is the inverse of encodeSummaries. Accounts beyond the bound of a summary are
// dropped, and of those listed twice the second.
func decodeSummaries(messages []*tallyv1.HeavyHitters) map[string]demand.Summary {
	if len(messages) == 0 {
		return nil
	}
	summaries := make(map[string]demand.Summary, len(messages))
	for _, from := range messages {
		seen := make(map[string]bool, len(from.GetAccounts()))
		accounts := make([]demand.Account, 0, len(from.GetAccounts()))
		for i, name := range from.GetAccounts() {
			if !seen[name] {
				seen[name] = true
				work := numberAt(from.GetWork(), i)
				accounts = append(accounts, demand.Account{Name: name, Work: work, Error: min(numberAt(from.GetExcess(), i), work)})
			}
		}
		summaries[from.GetService()] = demand.NewSummary(accounts, int64(min(from.GetRest(), maxReported)))
	}
	return summaries
}
