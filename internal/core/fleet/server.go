package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// server holds all evidence on one backend server.
type server struct {
	record      Record
	link        link
	incarnation uint64
	// reportedLeaving is set if the current incarnation told this VM that it is
	// leaving.
	reportedLeaving bool
	listedLeaving   bool
	// peerOpinions holds the non-neutral opinions of other VMs by witness.
	peerOpinions map[string]Opinion
	// published is this VM's opinion as last sent to the other VMs.
	published Opinion
	status    Status
}

// leaving collects every reason to send the server no more new work. One reason from
// any source is enough: stopping too early costs a little capacity, continuing
// breaks streams.
func (s *server) leaving(self string) []Evidence {
	var found []Evidence
	if s.record.Leaving {
		found = append(found, Evidence{Source: SourceRecord})
	}
	if s.reportedLeaving {
		found = append(found, Evidence{Source: SourceReport, Witness: self})
	}
	if s.listedLeaving {
		found = append(found, Evidence{Source: SourcePlatformList, Witness: self})
	}
	for witness, opinion := range s.peerOpinions {
		if s.leavingApplies(opinion) {
			found = append(found, Evidence{Source: SourceReport, Witness: witness})
		}
	}
	return sortEvidence(found)
}

// leavingApplies reports whether another VM's report that the server is leaving
// applies to the known process, not to an earlier one.
func (s *server) leavingApplies(opinion Opinion) bool {
	return opinion.Leaving && (opinion.Incarnation == 0 || opinion.Incarnation >= s.incarnation)
}

// unreachable lists the VMs that can't reach the server. Each witness counts once.
func (s *server) unreachable(self string) []Evidence {
	var found []Evidence
	if s.link.down() {
		found = append(found, Evidence{Source: s.link.source(), Witness: self})
	}
	for witness, opinion := range s.peerOpinions {
		if opinion.Reach.down() {
			found = append(found, Evidence{Source: reachabilitySource(opinion.Reach), Witness: witness})
		}
	}
	return sortEvidence(found)
}

func reachabilitySource(reach Reachability) Source {
	switch reach {
	case ConnectionRefused:
		return SourceRefused
	default:
		return SourceUnresponsive
	}
}

func (l *link) source() Source {
	switch {
	case l.reach.down():
		return reachabilitySource(l.reach)
	case l.suppressed:
		return SourceFlapping
	default:
		return SourceFailedRequests
	}
}

// evaluate derives the status from the evidence.
func (s *server) evaluate(now time.Duration, options Options, vms int) Status {
	next := Status{Server: s.record.Name, State: Live, Since: s.status.Since, Incarnation: s.incarnation, Eligible: true, Unreachable: s.link.down()}
	leaving, unreachable := s.leaving(options.Self), s.unreachable(options.Self)
	enoughWitnesses := len(unreachable) >= max(min(options.MinWitnesses, vms), 1)
	recentSuccess := s.link.recentlyUp(now, options.SuccessTTL)
	switch {
	case enoughWitnesses && !recentSuccess:
		next.State, next.Evidence, next.Eligible = Gone, unreachable, false
	case len(leaving) > 0:
		next.State, next.Evidence, next.Eligible = Leaving, leaving, false
	case len(unreachable) > 0 || s.link.failures > 0:
		// One broken link must not make a healthy server unusable for all VMs, so
		// only the VM with the broken link stops using it.
		next.State, next.Evidence, next.Eligible = Suspect, unreachable, !s.link.down()
	}
	if next.State != s.status.State {
		next.Since = now
	}
	return next
}

// opinion returns what this VM publishes about the server. An entry of the
// platform's list is published only by the first VM that sees it; VMs that see the
// same entry later add nothing.
func (s *server) opinion() Opinion {
	opinion := Opinion{Server: s.record.Name, Incarnation: s.incarnation, Leaving: s.reportedLeaving}
	if s.link.down() {
		opinion.Reach = Unresponsive
		if s.link.reach == ConnectionRefused {
			opinion.Reach = ConnectionRefused
		}
	}
	if s.listedLeaving && (s.published.Leaving || !s.peerReportsLeaving()) {
		opinion.Leaving = true
	}
	if opinion.Neutral() {
		return Opinion{Server: s.record.Name}
	}
	return opinion
}

func (s *server) peerReportsLeaving() bool {
	for opinion := range maps.Values(s.peerOpinions) {
		if s.leavingApplies(opinion) {
			return true
		}
	}
	return false
}

func sortEvidence(found []Evidence) []Evidence {
	slices.SortFunc(found, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Witness, b.Witness))
	})
	return found
}

func sameStatus(a, b Status) bool {
	return a.State == b.State && a.Eligible == b.Eligible && a.Unreachable == b.Unreachable && a.Incarnation == b.Incarnation && slices.Equal(a.Evidence, b.Evidence)
}
