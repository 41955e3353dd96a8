package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// ReleaseName is the name of the one Release object of a deployment. It is
// updated conditionally on its version in the platform, so that of two VMs that
// accept at the same time one loses and has to look again.
const ReleaseName = "current"

// Release says which records are in force: their exact versions, in pages.
type Release struct {
	// Sequence is the release's place; higher is newer. 0 is no release.
	Sequence uint64 `json:"sequence"`
	// Previous is the digest of the release that it was made from.
	Previous string `json:"previous,omitempty"`
	// Pages lists the pages, in order of kind and shard. Where they are many, an
	// index stands for those of a shard.
	Pages []PageRef `json:"pages"`
	// Seen is, by kind, the platform's version up to which the records had been
	// seen when the release was made. A view that is older must not make the next one.
	Seen map[Kind]uint64 `json:"seen,omitempty"`
	// By is the VM that accepted.
	By string `json:"by,omitempty"`
	// At is when, in RFC 3339, by that VM's clock. It is for operators' eyes.
	At string `json:"at,omitempty"`
}

// digestBytes is the length of a release's digest: SHA-256, cut.
const digestBytes = 16

// Digest identifies the release by its content, in hex.
func (r Release) Digest() string {
	data, err := json.Marshal(r)
	if err != nil {
		// A Release has no value that JSON can't hold.
		panic(err)
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:digestBytes])
}

// PageRef names a page by its content. Its JSON form is the string "Kind/shard/hash".
type PageRef struct {
	Kind Kind
	// Shard is the leading bits of the hash of the names in the page, as 0s and 1s.
	// Empty when the kind has one page.
	Shard string
	// Hash is the page's content hash in hex, the name of its Page object.
	Hash string
	// Index says that the object is not a page but a PageIndex. In the JSON form
	// the kind then stands behind "Index:": a program that knows no indexes
	// refuses a release with an unknown kind, and doesn't take it for empty.
	Index bool
}

// indexPrefix marks references to indexes.
const indexPrefix = "Index:"

// PageIndex lists the pages of a shard. It is kept in a Page object.
type PageIndex struct {
	Kind  Kind   `json:"kind"`
	Shard string `json:"shard"`
	// Pages are in order of shard.
	Pages []PageRef `json:"pages"`
}

// ErrMalformedPageRef marks a page reference that can't be read.
var ErrMalformedPageRef = eris.New("page reference is not Kind/shard/hash: the release is damaged, write a record to have a new one made")

// MarshalText implements encoding.TextMarshaler.
func (r PageRef) MarshalText() ([]byte, error) {
	prefix := ""
	if r.Index {
		prefix = indexPrefix
	}
	return []byte(prefix + string(r.Kind) + "/" + r.Shard + "/" + r.Hash), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *PageRef) UnmarshalText(text []byte) error {
	parts := strings.Split(string(text), "/")
	kind, index := strings.CutPrefix(parts[0], indexPrefix)
	if len(parts) != 3 || strings.Trim(parts[1], "01") != "" || kind == "" || parts[2] == "" {
		return eris.Wrapf(ErrMalformedPageRef, "%q", text)
	}
	*r = PageRef{Kind: Kind(kind), Shard: parts[1], Hash: parts[2], Index: index}
	return nil
}

// Page is the records of one kind whose names hash into one shard.
type Page struct {
	Kind  Kind   `json:"kind"`
	Shard string `json:"shard"`
	// Records are in order of name.
	Records []PageRecord `json:"records"`
}

// PageRecord is a record as it stood in the platform when it was accepted.
type PageRecord struct {
	// Version is the platform's version of the record's object.
	Version uint64 `json:"version"`
	// Document is the record as its operator wrote it.
	Document json.RawMessage `json:"document"`
}
