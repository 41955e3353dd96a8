package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/api"
)

const (
	// pageBytes is the size in bytes above which a page is split in two. Smaller
	// pages make a change cheaper; more pages make the first load slower.
	pageBytes = 16 << 10
	// maxShardBits limits the depth of splitting. Records whose name hashes share
	// that many leading bits stay in one page whatever its size.
	maxShardBits = 32
	// hashBytes is the length in bytes of a content hash, a truncated SHA-256.
	hashBytes = 16
	// recordOverhead is an upper bound of the bytes that a page adds to a record.
	recordOverhead = len(`{"version":18446744073709551615,"document":},`)
)

// ErrDamagedPage reports a page or index whose content does not match its hash, or
// which contains entries that belong elsewhere.
var ErrDamagedPage = eris.New("page is damaged: read it from the platform or another VM again")

// page holds the records of one kind whose name hashes start with the bits of a
// shard, ordered by name.
type page struct {
	ref api.PageRef
	// start is the lowest name hash of the shard.
	start   uint64
	records []*Record
	// bytes is the result of sizeOf for the records.
	bytes int
}

// nameHash distributes names over shards. It must never change, because it
// determines the page of a record on every VM.
func nameHash(name string) uint64 { return xxhash.Sum64String(name) }

// shardStart returns the lowest name hash of a shard.
func shardStart(shard string) uint64 {
	var start uint64
	for i, bit := range shard {
		if bit == '1' {
			start |= 1 << (63 - i)
		}
	}
	return start
}

// inShard reports whether a name belongs to a shard.
func inShard(shard, name string) bool {
	if shard == "" {
		return true
	}
	return (nameHash(name)^shardStart(shard))>>(64-len(shard)) == 0
}

// newPages makes the pages of a shard's records, which must be ordered by name. It
// splits the shard until every page fits pageBytes. The pages of a set therefore
// depend on its records only: two VMs that build the same set get the same hashes.
func newPages(kind api.Kind, shard string, records []*Record) []*page {
	size := sizeOf(records)
	if size <= pageBytes || len(shard) == maxShardBits {
		if len(records) == 0 {
			return nil
		}
		p := &page{ref: api.PageRef{Kind: kind, Shard: shard}, start: shardStart(shard), records: records, bytes: size}
		p.ref.Hash = contentHash(p.value())
		return []*page{p}
	}
	var halves [2][]*Record
	for _, record := range records {
		bit := nameHash(record.Name) >> (63 - len(shard)) & 1
		halves[bit] = append(halves[bit], record)
	}
	return append(newPages(kind, shard+"0", halves[0]), newPages(kind, shard+"1", halves[1])...)
}

// sizeOf returns the upper bound in bytes of the records' part of a page.
func sizeOf(records []*Record) int {
	size := 0
	for _, record := range records {
		size += len(record.Raw) + recordOverhead
	}
	return size
}

// value returns the page's JSON.
func (p *page) value() []byte {
	data := make([]byte, 0, p.bytes+128)
	data = fmt.Appendf(data, `{"kind":%q,"shard":%q,"records":[`, p.ref.Kind, p.ref.Shard)
	for i, record := range p.records {
		if i > 0 {
			data = append(data, ',')
		}
		data = fmt.Appendf(data, `{"version":%d,"document":`, record.Version)
		data = append(data, record.Raw...)
		data = append(data, '}')
	}
	return append(data, "]}"...)
}

func contentHash(value []byte) string {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:hashBytes])
}

// find returns the record with a name, or nil.
func (p *page) find(name string) *Record {
	i, ok := slices.BinarySearchFunc(p.records, name, compareName)
	if !ok {
		return nil
	}
	return p.records[i]
}

func compareName(record *Record, name string) int { return strings.Compare(record.Name, name) }

// readPage decodes a page and checks that it is byte for byte what this VM would
// write for the same records. Pages come from the platform or another VM; without
// the check, this VM could run a configuration that was never validated and pass
// it on to others.
func readPage(ref api.PageRef, value []byte) (*page, error) {
	var content api.Page
	if err := json.Unmarshal(value, &content); err != nil {
		return nil, eris.Wrapf(ErrDamagedPage, "%s/%s: %v", ref.Kind, ref.Shard, err)
	}
	p := &page{ref: ref, start: shardStart(ref.Shard), records: make([]*Record, 0, len(content.Records))}
	for _, entry := range content.Records {
		record, err := NewRecord(entry.Version, entry.Document)
		if errors.Is(err, api.ErrUnknownVersion) || errors.Is(err, api.ErrUnknownKind) {
			return nil, err
		}
		if err != nil {
			return nil, eris.Wrapf(ErrDamagedPage, "%s/%s: %v", ref.Kind, ref.Shard, err)
		}
		if !p.canAppend(record) {
			return nil, eris.Wrapf(ErrDamagedPage, "%s/%s holds %s, or holds it out of order", ref.Kind, ref.Shard, record.Key())
		}
		p.records = append(p.records, record)
	}
	p.bytes = sizeOf(p.records)
	if contentHash(p.value()) != ref.Hash {
		return nil, eris.Wrapf(ErrDamagedPage, "%s/%s: content hash is not %s", ref.Kind, ref.Shard, ref.Hash)
	}
	return p, nil
}

// canAppend reports whether a record belongs to the page and sorts after its last
// record.
func (p *page) canAppend(record *Record) bool {
	if record.Kind != p.ref.Kind || !inShard(p.ref.Shard, record.Name) {
		return false
	}
	last := len(p.records) - 1
	return last < 0 || p.records[last].Name < record.Name
}
