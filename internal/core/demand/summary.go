package demand

import (
	"cmp"
	"slices"
	"strings"
)

// MaxAccounts is the number of accounts in a summary. It bounds the messages; accounts of which 32
// others ask for more are far below the fair share of a service that lacks capacity.
const MaxAccounts = 32

// Account is an account in a Summary. Its work is at most Work, and at least Work - Error.
type Account struct {
	Name        string
	Work, Error int64
}

// Least returns the work that the account certainly asked for.
func (a Account) Least() int64 { return a.Work - a.Error }

func compareAccounts(a, b Account) int {
	return cmp.Or(cmp.Compare(b.Work, a.Work), strings.Compare(a.Name, b.Name))
}

// Summary is a Space-Saving summary of the work by account: the accounts with the most work, of at
// most MaxAccounts, the highest estimate first. An account that isn't listed has at most Rest.
type Summary struct {
	Accounts []Account
	Rest     int64
}

// NewSummary returns the summary of accounts of which no others have more work than rest.
func NewSummary(accounts []Account, rest int64) Summary {
	slices.SortFunc(accounts, compareAccounts)
	if len(accounts) > MaxAccounts {
		rest = max(rest, accounts[MaxAccounts].Work)
		accounts = slices.Clip(accounts[:MaxAccounts])
	}
	return Summary{Accounts: accounts, Rest: rest}
}

// Find returns an account of the summary.
func (s Summary) Find(name string) (Account, bool) {
	i := slices.IndexFunc(s.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return Account{}, false
	}
	return s.Accounts[i], true
}

// Listed returns the work that the listed accounts certainly asked for.
func (s Summary) Listed() (work int64) {
	for _, account := range s.Accounts {
		work += account.Least()
	}
	return work
}

func (s Summary) isZero() bool { return len(s.Accounts) == 0 && s.Rest == 0 }

// Merge returns the summary of the accounts of two. An account that only one of them lists may have
// up to the other's Rest there.
func Merge(a, b Summary) Summary {
	var sums accountSums
	sums.replace(Summary{}, a)
	sums.replace(Summary{}, b)
	return sums.summary()
}
