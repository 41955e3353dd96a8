#!/bin/sh
# Doc comments and local names that the rename program doesn't follow (names of one word).
# Run from the root, after spread.txt is applied.
set -e
c=internal/core
sed -i \
	-e 's|^// Loads limits|// LoadLimit limits|' \
	-e 's|^// Share returns|// LocalLoadLimit returns|' \
	-e 's|// Elsewhere is, for|// RemoteCopies is, for|' \
	-e 's|// Turn is the index|// Offset is the index|' \
	$c/spread/loads.go
sed -i \
	-e 's|// Holds is the range|// Held is the range|' \
	-e 's|// Ordered is the range|// Target is the range|' \
	-e 's|// Wait is the remaining|// LoadRemaining is the remaining|' \
	-e 's|// Used is the utilization|// Utilization is the utilization|' \
	-e 's|// Pace is the current slowdown|// Slowdown is the current slowdown|' \
	$c/spread/spread.go
sed -i \
	-e 's|^// Word is a report|// Report is an observation|' \
	-e 's|// At is when|// ObservedAt is when|' \
	-e 's|^// Said records|// ObserveAnswer records|' \
	-e 's|^// Heard merges|// MergeReport merges|' \
	-e 's|^// Words returns|// Reports returns|' \
	-e 's|^// Word returns|// Report returns|' \
	$c/ratelimit/reports.go
sed -i \
	-e 's|^// Live sets|// SetLiveVMs sets|' \
	-e 's|^// Sent records|// RecordSent records|' \
	-e 's|^// Next returns|// NextSend returns|' \
	$c/ratelimit/shares.go
sed -i \
	-e 's|// VMs is the minimum|// MinVMs is the minimum|' \
	-e 's|^// Heard sets|// SetPeerCounts sets|' \
	-e 's|^// Begun reports|// HasTraffic reports|' \
	-e 's|^// Request counts|// CountRequest counts|' \
	-e 's|^// Repeat takes|// TakeRetry takes|' \
	-e 's|^// Live sets|// SetLiveVMs sets|' \
	$c/budget/budget.go
sed -i \
	-e 's|// Fresh is how long|// ReportTTL is how long|' \
	-e 's|^// Near returns|// LocalSum returns|' \
	-e 's|^// Others returns|// SumExcept returns|' \
	$c/tally/tally.go
sed -i \
	-e 's|^// Parameters of Reach|// Parameters of Reachability|' \
	-e 's|^// Reach tracks|// Reachability tracks|' \
	-e 's|returns a Reach by|returns a Reachability by|' \
	-e 's|^// Answered records|// RecordAnswer records|' \
	-e 's|^// Silent records|// RecordTimeout records|' \
	-e 's|^// Lost returns|// Unreachable returns|' \
	$c/tally/reach.go
sed -i \
	-e 's|^// Ask records|// RequestPause records|' \
	-e 's|^// Until returns|// NextSend returns|' \
	-e 's|^// Sent records|// RecordSent records|' \
	-e 's|^// Took records|// RecordAccepted records|' \
	-e 's|^// Ends returns|// SendTimes returns|' \
	-e 's|^// Tidy removes|// RemoveExpired removes|' \
	$c/backpressure/pauses.go
sed -i \
	-e 's|if it asks for no pause, Unread if|if it asks for no pause, InvalidPause if|' \
	-e 's|// Unread if the value|// InvalidPause if the value|' \
	-e 's|^// Unread is the value|// InvalidPause is the value|' \
	$c/backpressure/signals.go
