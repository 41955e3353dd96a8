// Package claim decides which requests may use the idempotency keys of
// non-idempotent requests, so that each key's request is dispatched at most once
// across all VMs. Keys are partitioned into shards; a Shard is one VM's state
// machine for one shard, as owner or as standby. It does no I/O, reads no clock
// and starts no goroutine.
package claim

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"oleandershunt.example/oleandershunt/internal/core"
)

// KeyHash is the 128-bit hash of a client account's key. Collisions are not
// expected at this size; if one occurred, the second key would be refused.
type KeyHash [2]uint64

// secondSeed is the xxhash seed of the second 64 bits of a KeyHash, so that they are independent of the first.
const secondSeed = 0x9e3779b97f4a7c15

// HashKey returns the hash of a key. The account is part of the hash, so no
// account can detect another account's key.
func HashKey(key core.ClaimKey) KeyHash {
	text := key.Account + "\x00" + key.Key
	second := xxhash.NewWithSeed(secondSeed)
	_, _ = second.WriteString(text)
	return KeyHash{xxhash.Sum64String(text), second.Sum64()}
}

// HashOrigin returns the hash that identifies a VM's incarnation in an Op.
func HashOrigin(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

// HashRequest returns the hash that identifies one request of one incarnation of a VM.
func HashRequest(incarnation, request string) uint64 {
	return xxhash.Sum64String(incarnation + "\x00" + request)
}

// OpKind is what an Op does to its key.
type OpKind uint8

// The kinds of Op.
const (
	// OpClaim claims a key for a request.
	OpClaim OpKind = iota + 1
	// OpRan records that the request ran.
	OpRan
	// OpMayHaveRun records that the request ended without proof of whether it ran.
	OpMayHaveRun
	// OpFree records that the request provably did not run and releases the key.
	OpFree
)

// Op is one entry of a shard's journal.
type Op struct {
	Kind    OpKind
	Key     KeyHash
	Body    uint64
	Request uint64
	Origin  uint32
}

// opBytes is the size of an encoded Op in bytes.
const opBytes = 1 + 16 + 8 + 8 + 4

// ErrJournalDamaged is returned for a journal that can't be decoded.
var ErrJournalDamaged = eris.New("claim journal is damaged: restore the object or delete it once its retention is over")

// Journal is a sequence of ops. In JSON it is one base64 string.
type Journal []Op

// MarshalText encodes the ops in base64, 37 bytes each before the encoding.
func (j Journal) MarshalText() ([]byte, error) {
	raw := make([]byte, 0, len(j)*opBytes)
	for _, op := range j {
		raw = append(raw, byte(op.Kind))
		raw = binary.LittleEndian.AppendUint64(raw, op.Key[0])
		raw = binary.LittleEndian.AppendUint64(raw, op.Key[1])
		raw = binary.LittleEndian.AppendUint64(raw, op.Body)
		raw = binary.LittleEndian.AppendUint64(raw, op.Request)
		raw = binary.LittleEndian.AppendUint32(raw, op.Origin)
	}
	return base64.StdEncoding.AppendEncode(nil, raw), nil
}

// UnmarshalText decodes the output of MarshalText. Its errors wrap ErrJournalDamaged.
func (j *Journal) UnmarshalText(text []byte) error {
	raw, err := base64.StdEncoding.AppendDecode(nil, text)
	if err != nil || len(raw)%opBytes != 0 {
		return eris.Wrapf(ErrJournalDamaged, "%d bytes", len(text))
	}
	ops := make(Journal, 0, len(raw)/opBytes)
	for ; len(raw) > 0; raw = raw[opBytes:] {
		op := Op{
			Kind:    OpKind(raw[0]),
			Key:     KeyHash{binary.LittleEndian.Uint64(raw[1:]), binary.LittleEndian.Uint64(raw[9:])},
			Body:    binary.LittleEndian.Uint64(raw[17:]),
			Request: binary.LittleEndian.Uint64(raw[25:]),
			Origin:  binary.LittleEndian.Uint32(raw[33:]),
		}
		if op.Kind < OpClaim || op.Kind > OpFree {
			return eris.Wrapf(ErrJournalDamaged, "op kind %d", op.Kind)
		}
		ops = append(ops, op)
	}
	*j = ops
	return nil
}

// Time is a reading of the VM's monotonic clock.
type Time = time.Duration
