# After `rename renames/place.txt`, run inside the repository:
#   sed -i -f renames/place-comments.sed internal/core/{place,admit,request}/*.go
# then gofumpt -w on the three folders and internal/placement. It makes the doc
# comments follow the one-word names, which the rename program leaves alone.
s|// Restarted discards|// HandleRestart discards|
s|// Hold records|// SetLease records|
s|// Lose records|// ClearLease records|
s|// Holding is the model|// Placement is the model|
s|// Holding has only|// Placement has only|
s|// Record is a model engine|// ServerConfig is a model engine|
s|// Want is the placement|// Desired is the placement|
s|// Taken: the server|// Accepted: the server|
s|// Stale: the server|// StaleFence: the server|
s|// Answered handles|// HandleResult handles|
s|// Again is true|// RateCharged is true|
s|// Wait is the estimated|// EstimatedWait is the estimated|
s|// Next starts queued|// StartQueued starts queued|
s|// Report handles a backend|// ReportLoad handles a backend|
s|// Use records the use|// CheckAndRecord records the use|
s|// Broken: the attempt|// Interrupted: the attempt|
s|// Slot is true|// HasSlot is true|
s|// Claimed is true|// ClaimUnsettled is true|
s|// Granted is true|// ClaimGranted is true|
s|// Losses counts the attempts that may have crashed a server. Progress is the|// SuspectedCrashes counts the attempts that may have crashed a server. LastProgress is the|
s|// Patience is when|// PathWaitUntil is when|
s|ConfirmBy at the latest. Confirmed is the attempt|ConfirmBy at the latest. ConfirmedAttempt is the attempt|
s|about. Alone is true|about. ConfirmIncomplete is true|
s|// Awaited is the last|// ProofWaitAttempt is the last|
s|// Wake is when|// WaitUntil is when|
s|// Move changes the state|// Transition changes the state|
s|// Record updates the request|// RecordOutcome updates the request|
s|// Suspect adds servers|// AvoidServers adds servers|
s|// Earn counts a first|// RecordFirstAttempt counts a first|
