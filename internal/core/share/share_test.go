package share_test

import (
	"errors"
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/internal/core/demand"
	"oleandershunt.example/oleandershunt/internal/core/share"
)

// input returns the demand for a service that starts so much work per second and refuses a request.
func input(started int64, work map[string]int64) share.Input {
	var accounts []demand.Account
	offered := int64(0)
	for name, n := range work {
		accounts = append(accounts, demand.Account{Name: name, Work: n})
		offered += n
	}
	summary := demand.NewSummary(accounts, 0)
	return share.Input{Local: summary, All: summary, Counts: demand.Counts{
		Offered: demand.Amount{Work: offered}, Started: demand.Amount{Work: started}, Refused: demand.Amount{Requests: 1},
	}}
}

// shareOf returns the share of an account, or -1 if it doesn't exceed it.
func shareOf(s *share.Shares, account string) float64 {
	perSecond, exceeded := s.Share(0, "llm", account)
	if !exceeded {
		return -1
	}
	return math.Round(perSecond)
}

// Seven eighths of what the servers start are divided.
func TestSharesAreMaxMinFair(t *testing.T) {
	for _, test := range []struct {
		name         string
		entitlements map[string]share.Entitlement
		started      int64
		demands      map[string]int64
		shares       map[string]float64
	}{
		{"unused share goes to the others", nil, 160, map[string]int64{"a": 10, "b": 20, "c": 400}, map[string]float64{"a": -1, "b": -1, "c": 110}},
		{"equal shares", nil, 96, map[string]int64{"a": 400, "b": 50, "c": 31}, map[string]float64{"a": 28, "b": 28, "c": 28}},
		{"a weight", map[string]share.Entitlement{"a": {Weight: 2}}, 96, map[string]int64{"a": 400, "b": 500}, map[string]float64{"a": 56, "b": 28}},
		{"a reserved fraction", map[string]share.Entitlement{"a": {Reserved: 0.5}}, 160, map[string]int64{"a": 100, "b": 120}, map[string]float64{"a": -1, "b": 40}},
		{"a reserved fraction that is exceeded", map[string]share.Entitlement{"a": {Reserved: 0.5}}, 160, map[string]int64{"a": 120, "b": 120}, map[string]float64{"a": 105, "b": 35}},
		{"a reserved fraction that isn't used", map[string]share.Entitlement{"a": {Reserved: 0.5}}, 160, map[string]int64{"a": 10, "b": 200}, map[string]float64{"a": -1, "b": 130}},
		{"no excess", nil, 160, map[string]int64{"a": 60, "b": 80}, map[string]float64{"a": -1, "b": -1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			s := share.New()
			s.SetEntitlements(test.entitlements)
			s.Update(0, "llm", input(test.started, test.demands))
			for account, expected := range test.shares {
				g.Expect(shareOf(s, account)).To(Equal(expected), account)
			}
		})
	}
}

// Guards against marking accounts in normal operation, which would change the order of requests that
// arrive in the same moment.
func TestNothingIsMarkedWhileCapacityIsLeft(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	in := input(50, map[string]int64{"a": 400, "b": 1})
	in.Counts.Refused = demand.Amount{}
	s.Update(0, "llm", in)
	g.Expect(s.Mark(0, "llm", "a", 1)).NotTo(Equal(share.Over))
	in.Counts.Waiting = demand.Amount{Requests: 1, Work: 2}
	s.Update(0, "llm", in)
	g.Expect(s.Exceeding(0, "llm")).To(BeEmpty(), "a wait of a moment")
	in.Counts.Waiting.Work = 20
	s.Update(0, "llm", in)
	g.Expect(s.Exceeding(0, "llm")).To(Equal([]string{"a"}))
	in.Counts.Waiting = demand.Amount{}
	s.Update(0, "llm", in)
	g.Expect(s.Exceeding(0, "llm")).To(BeEmpty(), "the service recovered")
}

// Guards against marking requests of a deployment without accounts.
func TestRequestsWithoutAccountAreNeverMarked(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	s.Update(0, "llm", input(10, nil))
	g.Expect(s.Mark(0, "llm", "", 1000)).NotTo(Equal(share.Over))
	s.Update(0, "llm", input(10, map[string]int64{"a": 400}))
	g.Expect(s.Mark(0, "llm", "", 1000)).NotTo(Equal(share.Over))
}

func TestVMAdmitsItsFractionOfTheShare(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	in := input(160, map[string]int64{"a": 400, "b": 10})
	in.Local = demand.NewSummary([]demand.Account{{Name: "a", Work: 100}}, 0)
	within := 0
	for ms := range 10_000 {
		now := time.Duration(ms) * time.Millisecond
		if ms%250 == 0 {
			s.Update(now, "llm", in)
		}
		if ms%10 == 0 && s.Mark(now, "llm", "a", 1) != share.Over { // 100 a second
			within++
		}
	}
	g.Expect(within).To(BeNumerically("~", 292+15, 3), "nine tenths of a quarter of 130 a second for 10 s, and what was saved up")
}

// Guards against an account over its share that gets none of it because each of its requests is larger
// than what it may save up.
func TestLargeRequestsUseTheShareOverTime(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	within := 0
	for ms := range 20_000 {
		now := time.Duration(ms) * time.Millisecond
		if ms%250 == 0 {
			s.Update(now, "llm", input(160, map[string]int64{"a": 5000, "b": 50}))
		}
		if ms%100 == 0 && s.Mark(now, "llm", "a", 500) != share.Over {
			within++
		}
	}
	g.Expect(within).To(BeNumerically("~", 4, 1), "81 a second for 20 s are three requests of 500, and one more begins")
}

func TestReturnedWorkIsUsedAgain(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	s.Update(0, "llm", input(2, map[string]int64{"a": 4000}))
	g.Expect(s.Mark(0, "llm", "a", 10)).NotTo(Equal(share.Over))
	g.Expect(s.Mark(0, "llm", "a", 10)).To(Equal(share.Over))
	s.Returned(0, "llm", "a", 10)
	g.Expect(s.Mark(0, "llm", "a", 10)).NotTo(Equal(share.Over))
}

// Guards against decisions by an update that is older than the tallies may be.
func TestOldSharesDontCount(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	s.Update(0, "llm", input(1, map[string]int64{"a": 400}))
	s.Mark(0, "llm", "a", 1000)
	g.Expect(s.Mark(share.Lifetime, "llm", "a", 1000)).To(Equal(share.Over))
	g.Expect(s.Mark(share.Lifetime+1, "llm", "a", 1000)).NotTo(Equal(share.Over))
	g.Expect(s.Exceeding(share.Lifetime+1, "llm")).To(BeEmpty())
	s.Update(share.Lifetime, "llm", input(1, map[string]int64{"a": 400}))
	s.Retain(map[string]demand.Counts{"other": {}})
	g.Expect(s.Exceeding(share.Lifetime, "llm")).To(BeEmpty())
}

// Guards against marking an account by work that a merged summary attributes to it without certainty.
func TestUncertainWorkIsNotHeldAgainstAnAccount(t *testing.T) {
	g := NewWithT(t)
	s := share.New()
	in := input(100, map[string]int64{"b": 300})
	in.Local = demand.Summary{}
	in.All = demand.NewSummary([]demand.Account{{Name: "a", Work: 200, Error: 180}, {Name: "b", Work: 300}}, 180)
	s.Update(0, "llm", in)
	g.Expect(s.Exceeding(0, "llm")).To(Equal([]string{"b"}))
}

func TestInvalidEntitlementsAreNamed(t *testing.T) {
	g := NewWithT(t)
	check := func(entitlements map[string]share.Entitlement, account, field string, value float64) {
		err := share.Validate(entitlements)
		g.Expect(err).To(MatchError(share.ErrEntitlement))
		invalid := new(share.EntitlementError)
		g.Expect(errors.As(err, &invalid)).To(BeTrue())
		g.Expect([]any{invalid.Account, invalid.Field, invalid.Value}).To(Equal([]any{account, field, value}))
	}
	check(map[string]share.Entitlement{"a": {Weight: -1}}, "a", "weight", -1)
	check(map[string]share.Entitlement{"a": {Weight: 1001}}, "a", "weight", 1001)
	check(map[string]share.Entitlement{"b": {Reserved: 1.5}}, "b", "reservedFraction", 1.5)
	check(map[string]share.Entitlement{"a": {Reserved: 0.7}, "b": {Reserved: 0.4}}, "b", "reservedFraction", 0.4)
	g.Expect(share.Validate(map[string]share.Entitlement{"a": {Reserved: 0.7, Weight: 3}, "b": {Reserved: 0.3}})).To(Succeed())
	g.Expect(share.Validate(nil)).To(Succeed())
	g.Expect(share.Validate(map[string]share.Entitlement{"a": {Weight: math.NaN()}})).To(MatchError(share.ErrEntitlement))
}
