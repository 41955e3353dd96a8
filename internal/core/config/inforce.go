package config

import (
	"oleandershunt.example/oleandershunt/api"
)

// maxPeerLead is how many releases a release offered by another VM may be ahead of
// the one in force. At 8,100 changes a day it covers 12 days of changes; a VM
// that was disconnected for longer reads the release from the platform.
const maxPeerLead = 100_000

// Source is where an offered release came from.
type Source string

// The sources of a release.
const (
	FromPlatform Source = "platform"
	FromPeer     Source = "peer"
)

// Decision is what to do with an offered release.
type Decision string

// The decisions on a release.
const (
	// Adopt: the release is newer. Read its pages and bring it in force.
	Adopt Decision = "adopt"
	// Same: the release is the one in force.
	Same Decision = "same"
	// Older: the release is older than the one in force. Ignore it.
	Older Decision = "older"
	// Implausible: another VM offered a release that is too far ahead. Read the
	// release from the platform instead.
	Implausible Decision = "implausible"
	// Forked: the release has the sequence number of the one in force but other
	// content. The platform's conditional update prevents this, so something else
	// rewrote the Release object. The release in force stays.
	Forked Decision = "forked"
)

// DecideRelease decides what to do with an offered release, given the one in force. The
// release in force never regresses, not even after a network partition, a
// restart of the platform, a stale list or a slow watch.
func DecideRelease(inForce, offered api.Release, source Source) Decision {
	switch {
	case offered.Sequence < inForce.Sequence:
		return Older
	case offered.Sequence == inForce.Sequence && offered.Digest() == inForce.Digest():
		return Same
	case offered.Sequence == inForce.Sequence:
		return Forked
	case source == FromPeer && inForce.Sequence > 0 && offered.Sequence-inForce.Sequence > maxPeerLead:
		return Implausible
	default:
		return Adopt
	}
}
