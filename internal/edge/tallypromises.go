package edge

import (
	"math"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/promise"
	tallyv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/tally/v1"
)

// States of a promise in a message.
const (
	promiseOutstanding = iota
	promiseKept
	promiseLost
)

// encodePromises converts promises to their messages.
func encodePromises(from map[string]promise.Report) map[string]*tallyv1.Promises {
	if len(from) == 0 {
		return nil
	}
	to := make(map[string]*tallyv1.Promises, len(from))
	for service, report := range from {
		message := &tallyv1.Promises{Rate: report.Rate, Buckets: report.Buckets}
		for _, due := range report.Keys {
			message.Keys = append(message.Keys, uint64(due.Key))
			message.DueMillis = append(message.DueMillis, int32(due.In.Milliseconds()))
			message.States = append(message.States, promiseState(due))
		}
		to[service] = message
	}
	return to
}

func promiseState(due promise.Due) uint32 {
	switch {
	case due.Lost:
		return promiseLost
	case due.Ended:
		return promiseKept
	default:
		return promiseOutstanding
	}
}

// decodePromises is the inverse of encodePromises. Rates that aren't numbers and what exceeds the
// limits of a report are skipped, and lists that end too early are read up to there.
func decodePromises(from *tallyv1.Tally) map[string]promise.Report {
	var to map[string]promise.Report
	for service, message := range from.GetPromises() {
		report := promise.Report{Buckets: message.GetBuckets()}
		if rate := message.GetRate(); rate >= 0 && !math.IsInf(rate, 0) {
			report.Rate = rate
		}
		report.Buckets = report.Buckets[:min(len(report.Buckets), promise.Horizon)]
		for i := range min(len(message.GetKeys()), len(message.GetDueMillis()), len(message.GetStates()), promise.MaxKeys) {
			state := message.GetStates()[i]
			report.Keys = append(report.Keys, promise.Due{
				Key: promise.Key(message.GetKeys()[i]), In: time.Duration(message.GetDueMillis()[i]) * time.Millisecond,
				Ended: state != promiseOutstanding, Lost: state == promiseLost,
			})
		}
		if to == nil {
			to = make(map[string]promise.Report)
		}
		to[service] = report
	}
	return to
}
