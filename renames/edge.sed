# sed -i -f renames/edge.sed internal/edge/*.go
s|// Parts are the dependencies and settings of Run\.|// Options are the dependencies and settings of Run.|
s|// Callers, Ready and Peers are the listen addresses|// CallerAddress, HealthAddress and PeerAddress are the listen addresses|
s|// Store is the address of|// StoreAddress is the address of|
s|// Contact is the time within|// ResyncTime is the time within|
s|// Signs is the heartbeat|// HeartbeatInterval is the heartbeat|
s|// Grace is the time|// StopGracePeriod is the time|
