package engine

import (
	"bytes"
	"fmt"

	"github.com/segmentio/encoding/json"
)

// frameDecoder decodes the frames of one stream. The receipts of its tokens are
// the same bytes from token to token, as they name the same stages of the same
// attempt; they are most of a frame. The same bytes decode to the same receipts,
// so these are decoded again only when the bytes differ.
type frameDecoder struct {
	frame    wireFrame
	whole    Token
	raw      []byte
	receipts []Receipt
}

// wireFrame and wireToken are Frame and Token with the receipts undecoded.
type wireFrame struct {
	Request      string     `json:"request"`
	Attempt      int        `json:"attempt"`
	Token        *wireToken `json:"token,omitempty"`
	Finish       string     `json:"finish,omitempty"`
	PromptTokens int        `json:"promptTokens,omitempty"`
	Fault        *Fault     `json:"fault,omitempty"`
}

type wireToken struct {
	Index    int             `json:"index"`
	ID       uint32          `json:"id"`
	Text     string          `json:"text"`
	Receipts json.RawMessage `json:"receipts"`
}

// decode reads one line. The frame is valid until the next call. An error wraps
// ErrBadFrame.
func (d *frameDecoder) decode(line []byte) (Frame, error) {
	d.frame = wireFrame{}
	// Only the receipts' bytes are left without a copy; the line outlives them.
	rest, err := json.Parse(line, &d.frame, json.DontCopyRawMessage)
	if err != nil {
		return Frame{}, fmt.Errorf("%w: %w", ErrBadFrame, err)
	}
	if len(rest) > 0 {
		return Frame{}, fmt.Errorf("%w: bytes after the frame", ErrBadFrame)
	}
	frame := Frame{
		Request:      d.frame.Request,
		Attempt:      d.frame.Attempt,
		Finish:       d.frame.Finish,
		PromptTokens: d.frame.PromptTokens,
		Fault:        d.frame.Fault,
	}
	if token := d.frame.Token; token != nil {
		if err := d.decodeReceipts(token.Receipts); err != nil {
			return Frame{}, err
		}
		d.whole = Token{Index: token.Index, ID: token.ID, Text: token.Text, Receipts: d.receipts}
		frame.Token = &d.whole
	}
	if err := frame.Check(); err != nil {
		return Frame{}, err
	}
	return frame, nil
}

func (d *frameDecoder) decodeReceipts(raw []byte) error {
	if bytes.Equal(raw, d.raw) {
		return nil
	}
	d.receipts, d.raw = nil, nil
	if len(raw) > 0 {
		if err := json.Unmarshal(raw, &d.receipts); err != nil {
			return fmt.Errorf("%w: %w", ErrBadFrame, err)
		}
	}
	d.raw = bytes.Clone(raw)
	return nil
}
