package edge

import (
	"fmt"
	"strings"

	"github.com/go-logr/logr"

	"oleandershunt.example/oleandershunt/internal/relay"
	"oleandershunt.example/oleandershunt/internal/telemetry"
)

// shareLogEndRounds is the number of rounds without an exceeded share after which that is logged:
// accounts near their share exceed it by turns.
const shareLogEndRounds = 8

// shareLog logs once which accounts begin to exceed their share of a service, and once when none does.
type shareLog struct {
	services map[string]*loggedShares
}

// loggedShares are the accounts of a service that were logged, and the rounds since one exceeded its
// share.
type loggedShares struct {
	accounts map[string]bool
	calm     int
}

// record records the accounts that exceed their shares now.
func (l *shareLog) record(log logr.Logger, exceeded map[string][]relay.Exceeded) {
	for service, accounts := range exceeded {
		known, ok := l.services[service]
		if !ok {
			if l.services == nil {
				l.services = make(map[string]*loggedShares)
			}
			known = &loggedShares{accounts: make(map[string]bool)}
			l.services[service] = known
		}
		known.calm = 0
		if added := known.add(accounts); len(added) > 0 {
			telemetry.ShareExceeded.Log(log, "service", service, "accounts", strings.Join(added, " "))
		}
	}
	for service, known := range l.services {
		if known.calm++; known.calm > shareLogEndRounds {
			delete(l.services, service)
			telemetry.ShareKept.Log(log, "service", service)
		}
	}
}

// add adds accounts and returns those that are new, with their shares.
func (s *loggedShares) add(accounts []relay.Exceeded) (added []string) {
	for _, account := range accounts {
		if !s.accounts[account.Account] {
			s.accounts[account.Account] = true
			added = append(added, fmt.Sprintf("%s=%.0f", account.Account, account.PerSecond))
		}
	}
	return added
}
