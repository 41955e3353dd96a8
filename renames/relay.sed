# Single-word names in comments and in one table of type names, which the rename program leaves.
# After the list: sed -i -f renames/relay.sed internal/relay/*.go platform/*.go && gofumpt -w internal/relay internal/edge platform
s|// Said is what|// ServerSignals is what|
s|// Take applies what|// Apply applies what|
s|// Lost records that|// MarkUnresponsive records that|
s|// Registered records|// ObserveProcess records|
s|// Findings returns|// TakeFindings returns|
s|// Fleet calls use|// WithFleet calls use|
s|// Live sets the|// SetLiveVMs sets the|
s|// Repeats returns this|// RetryCounts returns this|
s|// Begun reports whether this|// HasRecentRequests reports whether this|
s|// Members sets this|// SetMembers sets this|
s|// Unreached sets the|// SetUnreachable sets the|
s|// Found, if set,|// OnUnresponsive, if set,|
s|// Patience is how|// StallTimeout is how|
s|// Wait is the caller's|// Timeout is the caller's|
s|// Prompt, Answer and Hint are|// PromptTokens, MaxTokens and EstimatedTokens are|
s|// After is the ID|// LastEventID is the ID|
s|// Left is the|// Timeout is the|
s|// Answer holds the|// ResponseInfo holds the|
s|// Blame is the|// FaultyAddress is the|
s|// Orders is the number of orders that the server has|// OrderCount is the number of orders that the server has|
s|// Orders is the number of orders that the server must|// ExpectedOrderCount is the number of orders that the server must|
s|// Read reads the|// ReadRequest reads the|
s|// Write adds the|// WriteAttempt adds the|
s|// Answer reads the|// ReadResponse reads the|
s|{"Answer", "Report"}|{"ResponseInfo", "Report"}|
s|// Read implements relay.Wire|// ReadRequest implements relay.Wire|
s|// Write implements relay.Wire|// WriteAttempt implements relay.Wire|
s|// Answer implements relay.Wire|// ReadResponse implements relay.Wire|
