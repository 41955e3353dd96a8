# Run on the named files after renames/peer.txt is applied.
# internal/peer/gossip/*.go
s|^// Confirm exchanges|// ExchangeAll exchanges|
s|number of VMs that Confirm exchanges with|number of VMs that ExchangeAll exchanges with|
s|yet: Confirm fetches|yet: ExchangeAll fetches|
s|^// BenchmarkConfirm measures Confirm among|// BenchmarkConfirm measures ExchangeAll among|
s|^// Meet exchanges|// ContactUnknown exchanges|
s|^// Leave announces|// AnnounceLeaving announces|
s|^// Left announces|// AnnounceStopped announces|
s|^// OnVM subscribes|// OnVMStatus subscribes|
s|^// Level encodes a count|// EncodeCount encodes a count|
s|^// Count returns the lowest|// DecodeCount returns the lowest|
s|^// Pair encodes two|// EncodePair encodes two|
s|^// Counts decodes a pair made by Pair\.|// DecodePair decodes a pair made by EncodePair.|
# internal/peer/*.go
s|^// Age converts an age|// AgeFromMicros converts an age|
s|^// Set reports whether|// IsSet reports whether|
s|^// Seed is like Endpoint|// SeedEndpoint is like Endpoint|
s|^// Change applies a change|// Update applies a change|
s|^// Placements returns a number|// PlacementVersion returns a number|
