package backends

import (
	"cmp"
	"maps"
	"slices"
)

// index finds servers by where they are and what they are called, and in order of ID.
//
// What it gains: with a look through all servers for each entry, the first list of thousands
// takes a small VM more than a second, and with a sort for each request a path through them
// takes milliseconds (BenchmarkReplace, BenchmarkPath).
type index struct {
	addresses, names map[string][]*known
	// sorted are all servers in order of ID; nil after one came or went.
	sorted []*known
}

func newIndex() index {
	return index{addresses: make(map[string][]*known), names: make(map[string][]*known)}
}

// add takes a server in.
func (x *index) add(k *known) {
	x.addresses[k.Address] = append(x.addresses[k.Address], k)
	x.names[k.Name] = append(x.names[k.Name], k)
	x.sorted = nil
}

// remove takes a server out, which must be as it was when it was added.
func (x *index) remove(k *known) {
	removeFrom(x.addresses, k.Address, k)
	removeFrom(x.names, k.Name, k)
	x.sorted = nil
}

func removeFrom(lists map[string][]*known, key string, k *known) {
	left := slices.DeleteFunc(lists[key], func(other *known) bool { return other == k })
	if len(left) == 0 {
		delete(lists, key)
		return
	}
	lists[key] = left
}

// near lists the servers at an address or under a name, in order of ID.
func (x *index) near(address, name string) []*known {
	found := slices.Concat(x.addresses[address], x.names[name])
	slices.SortFunc(found, byID)
	return slices.Compact(found)
}

// inOrder lists all servers in order of ID.
func (x *index) inOrder(all map[string]*known) []*known {
	if x.sorted == nil {
		x.sorted = slices.SortedFunc(maps.Values(all), byID)
	}
	return x.sorted
}

func byID(a, b *known) int { return cmp.Compare(a.ID, b.ID) }
