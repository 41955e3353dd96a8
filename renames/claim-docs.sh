#!/bin/sh
# Run at the root after renames/claim.txt was applied: follows its single-word
# names in doc comments, which the rename program leaves.
set -e
sed -i -E \
  -e 's|// Want records|// RecordDemand records|' -e 's|// Holds reports|// OwnsOrReleasing reports|' \
  -e 's|// Next returns when|// NextTick returns when|' -e 's|// Interval is the minimum|// WriteInterval is the minimum|' \
  -e 's|// Lease is how long an owner|// LeaseDuration is how long an owner|' -e 's|// Poll is the interval|// PollInterval is the interval|' \
  -e 's|// Standbys is the number of standbys|// StandbyCount is the number of standbys|' internal/core/claim/shard.go
sed -i -E \
  -e 's|// Live lists|// LiveVMs lists|' -e 's|// To is the process|// Standby is the process|' \
  -e 's|// From is the index|// FirstIndex is the index|' internal/core/claim/messages.go
sed -i -E -e 's|// Seldom is|// BackgroundInterval is|' -e 's|is added to Seldom for|is added to BackgroundInterval for|' \
  -e 's|// Retry is the time|// RetryInterval is the time|' -e 's|// Ask, when set,|// QueryHolder, when set,|' \
  -e 's|// Tenure is one period|// LeaseState is one period|' -e 's|// Tenure returns|// LeaseState returns|' internal/role/role.go
sed -i -E -e 's|// Pulse records|// Heartbeat records|' -e 's|// Pulses returns|// Heartbeats returns|' \
  -e 's|since Pulses returned|since Heartbeats returned|' internal/schedclock/clock.go
