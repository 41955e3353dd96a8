package demand

import (
	"cmp"
	"container/heap"
	"maps"
	"strings"
)

// Sums are running sums of reports: a report costs what it changes.
type Sums struct {
	counts   map[Key]Counts
	accounts map[string]*accountSums
}

// NewSums returns sums of no reports.
func NewSums() *Sums {
	return &Sums{counts: make(map[Key]Counts), accounts: make(map[string]*accountSums)}
}

// Replace takes a report off the sums and adds another one.
func (s *Sums) Replace(before, after Report) {
	for key, counts := range before.Counts {
		if next := after.Counts[key]; next != counts {
			s.add(key, next.Subtract(counts))
		}
	}
	for key, counts := range after.Counts {
		if _, had := before.Counts[key]; !had {
			s.add(key, counts)
		}
	}
	for service, summary := range before.Accounts {
		s.replaceAccounts(service, summary, after.Accounts[service])
	}
	for service, summary := range after.Accounts {
		if _, had := before.Accounts[service]; !had {
			s.replaceAccounts(service, Summary{}, summary)
		}
	}
}

func (s *Sums) add(key Key, counts Counts) {
	if sum := s.counts[key].Add(counts); sum != (Counts{}) {
		s.counts[key] = sum
	} else {
		delete(s.counts, key)
	}
}

func (s *Sums) replaceAccounts(service string, before, after Summary) {
	sums, ok := s.accounts[service]
	if !ok {
		sums = &accountSums{}
		s.accounts[service] = sums
	}
	if sums.replace(before, after); len(sums.order) == 0 && sums.rest == 0 {
		delete(s.accounts, service)
	}
}

// Counts returns the counts by service and priority, nil without any.
func (s *Sums) Counts() map[Key]Counts {
	if len(s.counts) == 0 {
		return nil
	}
	return maps.Clone(s.counts)
}

// Rates returns the work per second by service and priority.
func (s *Sums) Rates() map[Key]Rate { return Rates(s.counts) }

// Rates returns the work per second of counts. Those without work are left out.
func Rates(counts map[Key]Counts) map[Key]Rate {
	rates := make(map[Key]Rate, len(counts))
	for key, c := range counts {
		if rate := (Rate{c.Offered.Work, c.Started.Work}); rate != (Rate{}) {
			rates[key] = rate
		}
	}
	return rates
}

// Report returns the sums as one report.
func (s *Sums) Report() Report {
	report := Report{Counts: s.Counts()}
	if len(s.accounts) > 0 {
		report.Accounts = make(map[string]Summary, len(s.accounts))
	}
	for service, sums := range s.accounts {
		report.Accounts[service] = sums.summary()
	}
	return report
}

// ShortAccounts returns the summaries of the services that are short of capacity, nil without any.
// The others' aren't needed, and would be most of an answer to a VM.
func (s *Sums) ShortAccounts() map[string]Summary {
	var summaries map[string]Summary
	for key, counts := range s.counts {
		sums := s.accounts[key.Service]
		if _, done := summaries[key.Service]; done || sums == nil || !counts.Short() {
			continue
		}
		if summaries == nil {
			summaries = make(map[string]Summary)
		}
		summaries[key.Service] = sums.summary()
	}
	return summaries
}

// accountSums are running sums of the summaries of one service. They hold all accounts that a report
// lists, ordered by estimate, so that the highest are found without looking at the others.
type accountSums struct {
	byName map[string]*accountSum
	order  accountOrder
	// rest is the sum of the Rests of all summaries.
	rest int64
}

// accountSum is the sum of the entries of one account.
type accountSum struct {
	Account
	// listedRest is the sum of the Rests of the summaries that list the account.
	listedRest int64
	summaries  int
	index      int
}

// rank orders the accounts by their estimates, which exceed it by the same amount for all.
func (a *accountSum) rank() int64 { return a.Work - a.listedRest }

// replace takes a summary off the sums and adds another one.
func (s *accountSums) replace(before, after Summary) {
	if s.byName == nil {
		s.byName = make(map[string]*accountSum)
	}
	s.rest += after.Rest - before.Rest
	previous := make(map[string]Account, len(before.Accounts))
	for _, account := range before.Accounts {
		previous[account.Name] = account
	}
	for _, account := range after.Accounts {
		old, had := previous[account.Name]
		delete(previous, account.Name)
		if !had {
			s.change(account.Name, account.Work, account.Error, after.Rest, 1)
		} else if old != account || before.Rest != after.Rest {
			s.change(account.Name, account.Work-old.Work, account.Error-old.Error, after.Rest-before.Rest, 0)
		}
	}
	for _, old := range previous {
		s.change(old.Name, -old.Work, -old.Error, -before.Rest, -1)
	}
}

// change changes the sum of an account, which is dropped when no summary lists it any more.
func (s *accountSums) change(name string, work, errorBound, listedRest int64, summaries int) {
	sum, ok := s.byName[name]
	if !ok {
		sum = &accountSum{Account: Account{Name: name}}
		s.byName[name] = sum
		heap.Push(&s.order, sum)
	}
	sum.Work, sum.Error, sum.listedRest, sum.summaries = sum.Work+work, sum.Error+errorBound, sum.listedRest+listedRest, sum.summaries+summaries
	if sum.summaries > 0 {
		heap.Fix(&s.order, sum.index)
		return
	}
	heap.Remove(&s.order, sum.index)
	delete(s.byName, name)
}

// summary returns the summary of the sums.
func (s *accountSums) summary() Summary {
	highest := s.order.highest(MaxAccounts + 1)
	accounts := make([]Account, 0, len(highest))
	for _, sum := range highest {
		unlisted := s.rest - sum.listedRest
		accounts = append(accounts, Account{Name: sum.Name, Work: sum.Work + unlisted, Error: sum.Error + unlisted})
	}
	return NewSummary(accounts, s.rest)
}

// accountOrder is a heap of accounts, the highest rank first.
type accountOrder []*accountSum

func (o accountOrder) Len() int { return len(o) }

func (o accountOrder) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(o[j].rank(), o[i].rank()), strings.Compare(o[i].Name, o[j].Name)) < 0
}

func (o accountOrder) Swap(i, j int) {
	o[i], o[j] = o[j], o[i]
	o[i].index, o[j].index = i, j
}

// Push implements heap.Interface.
func (o *accountOrder) Push(x any) {
	sum := x.(*accountSum)
	sum.index = len(*o)
	*o = append(*o, sum)
}

// Pop implements heap.Interface.
func (o *accountOrder) Pop() any {
	last := (*o)[len(*o)-1]
	(*o)[len(*o)-1] = nil
	*o = (*o)[:len(*o)-1]
	return last
}

// highest returns the n accounts of the highest rank without changing the heap: after each account
// only its children come into question in addition.
func (o accountOrder) highest(n int) []*accountSum {
	result := make([]*accountSum, 0, min(n, len(o)))
	candidates := candidateHeap{order: o}
	candidates.push(0)
	for len(result) < n && len(candidates.indices) > 0 {
		i := heap.Pop(&candidates).(int)
		result = append(result, o[i])
		candidates.push(2*i + 1)
		candidates.push(2*i + 2)
	}
	return result
}

// candidateHeap is a heap of indices of an accountOrder.
type candidateHeap struct {
	order   accountOrder
	indices []int
}

func (c *candidateHeap) push(index int) {
	if index < len(c.order) {
		heap.Push(c, index)
	}
}

func (c *candidateHeap) Len() int           { return len(c.indices) }
func (c *candidateHeap) Less(i, j int) bool { return c.order.Less(c.indices[i], c.indices[j]) }
func (c *candidateHeap) Swap(i, j int)      { c.indices[i], c.indices[j] = c.indices[j], c.indices[i] }

// Push implements heap.Interface.
func (c *candidateHeap) Push(x any) { c.indices = append(c.indices, x.(int)) }

// Pop implements heap.Interface.
func (c *candidateHeap) Pop() any {
	last := c.indices[len(c.indices)-1]
	c.indices = c.indices[:len(c.indices)-1]
	return last
}
