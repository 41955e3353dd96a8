package mirror

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"oleandershunt.example/oleandershunt/internal/core/history"
	entriesv1 "oleandershunt.example/oleandershunt/internal/peer/gen/peer/entries/v1"
	"oleandershunt.example/oleandershunt/internal/platform"
)

const (
	// repackDivisor: a snapshot is packed again once there are more changes since than the
	// number of objects divided by repackDivisor.
	repackDivisor = 8
	// maxSnapshotBytes bounds an unpacked snapshot: some 200,000 entries.
	maxSnapshotBytes = 64 << 20
)

// errSnapshotTooLarge is returned for a snapshot beyond maxSnapshotBytes.
var errSnapshotTooLarge = eris.New("packed snapshot exceeds 64 MB: the VM that sent it is faulty, or the deployment has too many servers")

// packedSnapshot is an encoded and compressed copy of all objects. It is made once and sent to
// many VMs: when hundreds of them start together, encoding and compressing thousands of objects
// for each of them would take seconds of processor time.
type packedSnapshot struct {
	// mu is held while a snapshot is packed, so that it is packed once.
	mu      sync.Mutex
	data    []byte
	version history.Version
	// packs counts the snapshots packed.
	packs int
}

// packedChanges returns a packed snapshot and the changes since it. ok is false if there
// is none, because the log has no objects yet or changes faster than they are packed.
func (l *Log) packedChanges() (data []byte, changes changeSet, ok bool) {
	l.packed.mu.Lock()
	defer l.packed.mu.Unlock()
	if l.packed.data != nil {
		changes = l.changesSince(l.packed.version)
		if !changes.page.IsSnapshot && len(changes.page.Events) <= l.size()/repackDivisor {
			return l.packed.data, changes, true
		}
	}
	all := l.changesSince(0)
	if all.page.Version == 0 {
		return nil, all, false
	}
	packed, err := pack(all.page.Events)
	if err != nil {
		return nil, all, false // the caller sends the entries as they are
	}
	l.packed.data, l.packed.version = packed, all.page.Version
	l.packed.packs++
	changes = l.changesSince(l.packed.version)
	return l.packed.data, changes, !changes.page.IsSnapshot
}

func (l *Log) size() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.objects)
}

func pack(events []platform.WatchEvent) ([]byte, error) {
	data, err := proto.Marshal(&entriesv1.Snapshot{Entries: encodeEvents(events)})
	if err != nil {
		return nil, eris.Wrap(err, "encoding a snapshot")
	}
	var packed bytes.Buffer
	writer, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compressing a snapshot")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, eris.Wrap(err, "compressing a snapshot")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compressing a snapshot")
	}
	return packed.Bytes(), nil
}

// unpack returns the entries of a packed snapshot with the later changes applied, sorted
// by name.
func unpack(packed []byte, changes []*entriesv1.Entry) ([]*entriesv1.Entry, error) {
	reader, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "packed snapshot isn't compressed")
	}
	data, err := io.ReadAll(io.LimitReader(reader, maxSnapshotBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "packed snapshot is damaged")
	}
	if len(data) > maxSnapshotBytes {
		return nil, errSnapshotTooLarge
	}
	var snapshot entriesv1.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return nil, eris.Wrap(err, "packed snapshot is not a list of entries")
	}
	entries := make(map[string]*entriesv1.Entry, len(snapshot.Entries))
	for _, entry := range slices.Concat(snapshot.Entries, changes) {
		if entry.Gone {
			delete(entries, entry.Name)
		} else {
			entries[entry.Name] = entry
		}
	}
	all := make([]*entriesv1.Entry, 0, len(entries))
	for _, entry := range entries {
		all = append(all, entry)
	}
	slices.SortFunc(all, func(a, b *entriesv1.Entry) int { return strings.Compare(a.Name, b.Name) })
	return all, nil
}

// PackCount returns how many snapshots were packed.
func (l *Log) PackCount() int {
	l.packed.mu.Lock()
	defer l.packed.mu.Unlock()
	return l.packed.packs
}
