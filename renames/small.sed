sed -i 's|// Rare lowers the|// LowRate lowers the|; s|^\(\t// \)Rare set\.|\1LowRate set.|; s|with Rare set|with LowRate set|; s|// Misplaced is true|// WrongServer is true|; s|// Now schedules|// ProbeNow schedules|; s|calls of Now |calls of ProbeNow |' internal/probe/probe.go
sed -i 's|// Mount registers|// RegisterHandler registers|' internal/explain/explain.go
sed -i "s|// Answer is a service's response. Its body is Start, followed by Rest unless Rest|// Response is a service's response. Its body is BufferedBody, followed by\\n// RemainingBody unless RemainingBody|; s|// is nil. The receiver must close Rest\\.|// is nil. The receiver must close RemainingBody.|" internal/service/client.go
sed -i 's|// Lapse is|// EntryTimeout is|' platform/standin/server.go
sed -i 's|// Copy is a snapshot|// Snapshot is a snapshot|; s|// Copy returns|// Snapshot returns|; s|// Forget compacts|// Compact compacts|; s|// Sign writes|// SetHeartbeat writes|' platform/standin/store.go
sed -i 's|// Promised reports|// GuaranteesNotExecuted reports|' platform/standin/deployment.go
sed -i 's|// Ran is true if|// Executed is true if|; s|and Left is true if|and Cancelled is true if|; s|// Pause is the Retry-After|// RetryAfter is the Retry-After|' platform/standin/arrivals.go
sed -i 's|// Contacts are the seed|// SeedNodes are the seed|; s|// First is true|// Bootstrap is true|' platform/standin/deployment.go
