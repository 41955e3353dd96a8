sed -i 's|// Tells reports whether this VM reads|// HasFirstHandData reports whether this VM reads|' internal/mirror/follower.go
sed -i 's|// Settled reports whether the VMs|// MembershipSettled reports whether the VMs|' internal/mirror/follower.go
sed -i -E 's#// Contacts are the addresses to fetch from before that, and (IsContact|IsSeed) reports#// Seeds are the addresses to fetch from before that, and IsSeed reports#' internal/mirror/follower.go
sed -i 's|// All lists the live VMs including this one, and Near those|// AllVMs lists the live VMs including this one, and LocalVMs those|' internal/mirror/follower.go
sed -i 's|// Ask requests changes from another VM|// Fetch requests changes from another VM|' internal/mirror/follower.go
sed -i 's|^// Judgement classifies a frame|// FrameClass classifies a frame|; s|^// Judge classifies one frame|// Classify classifies one frame|' internal/engine/receipts.go
sed -i 's|// Once requests a new connection|// NewConnection requests a new connection|' internal/engine/protocol.go
