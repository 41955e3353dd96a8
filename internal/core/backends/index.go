package backends

import (
	"cmp"
	"maps"
	"slices"
)

// index finds servers by address and by name, and keeps them ordered by ID.
//
// Without it, searching all servers for each entry makes the first list of thousands take more than
// a second on a small VM, and sorting them for each request makes a path through them take
// milliseconds (BenchmarkReplace, BenchmarkPath).
type index struct {
	byAddress, byName map[string][]*serverState
	// sorted are all servers ordered by ID; nil after an addition or removal.
	sorted []*serverState
}

func newIndex() index {
	return index{byAddress: make(map[string][]*serverState), byName: make(map[string][]*serverState)}
}

func (x *index) add(s *serverState) {
	x.byAddress[s.Address] = append(x.byAddress[s.Address], s)
	x.byName[s.Name] = append(x.byName[s.Name], s)
	x.sorted = nil
}

// remove deletes a server. Its address and name must be the same as when it was added.
func (x *index) remove(s *serverState) {
	removeFrom(x.byAddress, s.Address, s)
	removeFrom(x.byName, s.Name, s)
	x.sorted = nil
}

func removeFrom(lists map[string][]*serverState, key string, s *serverState) {
	rest := slices.DeleteFunc(lists[key], func(other *serverState) bool { return other == s })
	if len(rest) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = rest
}

// atAddressOrName returns the servers at an address or under a name, ordered by ID.
func (x *index) atAddressOrName(address, name string) []*serverState {
	found := slices.Concat(x.byAddress[address], x.byName[name])
	slices.SortFunc(found, compareByID)
	return slices.Compact(found)
}

// sortedByID returns all servers ordered by ID.
func (x *index) sortedByID(all map[string]*serverState) []*serverState {
	if x.sorted == nil {
		x.sorted = slices.SortedFunc(maps.Values(all), compareByID)
	}
	return x.sorted
}

func compareByID(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) }
