package config

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"sort"
	"strings"

	"oleandershunt.example/oleandershunt/api"
)

// table holds the records of one kind in pages, ordered by shard. It is immutable:
// a change makes a new table that shares the unchanged pages.
type table struct {
	kind  api.Kind
	pages []*page
	count int
}

// newTable makes a table. Of records with the same name the last one is used.
func newTable(kind api.Kind, records []*Record) *table {
	byName := make(map[string]*Record, len(records))
	for _, record := range records {
		byName[record.Name] = record
	}
	sorted := slices.SortedFunc(maps.Values(byName), compareRecords)
	return &table{kind: kind, pages: newPages(kind, "", sorted), count: len(sorted)}
}

// get returns the record with a name, or nil.
func (t *table) get(name string) *Record {
	if i := t.pageIndex(name); i >= 0 {
		return t.pages[i].find(name)
	}
	return nil
}

// pageIndex returns the index of the page that a name belongs to, or -1 if there is
// none: a shard without records has no page.
func (t *table) pageIndex(name string) int {
	hash := nameHash(name)
	i := sort.Search(len(t.pages), func(i int) bool { return t.pages[i].start > hash }) - 1
	if i < 0 || !inShard(t.pages[i].ref.Shard, name) {
		return -1
	}
	return i
}

// all returns the records ordered by shard and name.
func (t *table) all() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		for _, p := range t.pages {
			for _, record := range p.records {
				if !yield(record) {
					return
				}
			}
		}
	}
}

// edit replaces or, if record is nil, deletes the record with a name.
type edit struct {
	name   string
	record *Record
}

// with returns a new table with the edits applied. The cost is proportional to the
// pages that they change.
func (t *table) with(edits []edit) *table {
	next := &table{kind: t.kind, pages: slices.Clone(t.pages), count: t.count}
	rest := slices.SortedFunc(slices.Values(edits), func(a, b edit) int {
		return cmp.Or(cmp.Compare(nameHash(a.name), nameHash(b.name)), cmp.Compare(a.name, b.name))
	})
	for len(rest) > 0 {
		rest = next.apply(rest)
	}
	return next
}

// apply applies the edits that belong to the shard of the first one and returns the
// rest. The edits must be ordered by name hash.
func (t *table) apply(edits []edit) []edit {
	shard, records := t.locate(edits[0].name)
	n := 1
	for n < len(edits) && inShard(shard, edits[n].name) {
		n++
	}
	changed := make(map[string]*Record, n)
	for _, e := range edits[:n] {
		changed[e.name] = e.record
	}
	kept := make([]*Record, 0, len(records)+n)
	for _, record := range records {
		if _, ok := changed[record.Name]; !ok {
			kept = append(kept, record)
		}
	}
	for _, record := range changed {
		if record != nil {
			kept = append(kept, record)
		}
	}
	slices.SortFunc(kept, compareRecords)
	t.count += len(kept) - len(records)
	t.replace(shard, kept)
	return edits[n:]
}

func compareRecords(a, b *Record) int { return cmp.Compare(a.Name, b.Name) }

// locate returns the shard that a name belongs to and the shard's records.
func (t *table) locate(name string) (string, []*Record) {
	if index := t.pageIndex(name); index >= 0 {
		return t.pages[index].ref.Shard, t.pages[index].records
	}
	if len(t.pages) == 0 {
		return "", nil
	}
	// No page covers the name. Its shard is the largest one that contains it and
	// overlaps no page.
	shard := ""
	hash := nameHash(name)
	for t.overlaps(shard) {
		bit := "0"
		if hash>>(63-len(shard))&1 == 1 {
			bit = "1"
		}
		shard += bit
	}
	return shard, nil
}

// firstPageFrom returns the index of the first page whose shard starts at or after
// the start of the given one.
func (t *table) firstPageFrom(shard string) int {
	start := shardStart(shard)
	return sort.Search(len(t.pages), func(i int) bool { return t.pages[i].start >= start })
}

// page returns the page that a reference names, or nil.
func (t *table) page(ref api.PageRef) *page {
	i := t.firstPageFrom(ref.Shard)
	if i < len(t.pages) && t.pages[i].ref == ref {
		return t.pages[i]
	}
	return nil
}

// canAppend reports whether a page of the shard may follow the table's last page.
func (t *table) canAppend(shard string) bool {
	if len(shard) > maxShardBits {
		return false
	}
	if len(t.pages) == 0 {
		return true
	}
	last := t.pages[len(t.pages)-1].ref.Shard
	return !strings.HasPrefix(shard, last) && shardStart(shard) > t.pages[len(t.pages)-1].start
}

// overlaps reports whether the shard of some page lies within the given one.
func (t *table) overlaps(shard string) bool {
	i := t.firstPageFrom(shard)
	return i < len(t.pages) && strings.HasPrefix(t.pages[i].ref.Shard, shard)
}

// replace replaces the page of a shard by pages of new records. It splits the page
// if it exceeds pageBytes, and merges it with its neighbour while both fit.
func (t *table) replace(shard string, records []*Record) {
	for shard != "" {
		neighbour := t.neighbour(shard)
		size := sizeOf(records)
		var neighbourRecords []*Record
		if neighbour != nil {
			neighbourRecords = neighbour.records
			size += neighbour.bytes
		} else if t.overlaps(sibling(shard)) {
			break
		}
		if size > pageBytes {
			break
		}
		records = mergeByName(records, neighbourRecords)
		shard = shard[:len(shard)-1]
	}
	from := t.firstPageFrom(shard)
	to := from
	for to < len(t.pages) && strings.HasPrefix(t.pages[to].ref.Shard, shard) {
		to++
	}
	t.pages = slices.Replace(t.pages, from, to, newPages(t.kind, shard, records)...)
}

// neighbour returns the page of the sibling shard, which could be merged with the
// shard's page. It returns nil if there is none or it is split further.
func (t *table) neighbour(shard string) *page {
	other := sibling(shard)
	i := t.firstPageFrom(other)
	if i < len(t.pages) && t.pages[i].ref.Shard == other {
		return t.pages[i]
	}
	return nil
}

// sibling returns the shard whose last bit differs.
func sibling(shard string) string {
	last := len(shard) - 1
	if shard[last] == '0' {
		return shard[:last] + "1"
	}
	return shard[:last] + "0"
}

func mergeByName(a, b []*Record) []*Record {
	merged := append(slices.Clone(a), b...)
	slices.SortFunc(merged, compareRecords)
	return merged
}
