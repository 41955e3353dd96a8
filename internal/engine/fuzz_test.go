package engine

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"oleandershunt.example/oleandershunt/api"
)

func fuzzExpectation() *Expectation {
	return &Expectation{
		Request: "r", Attempt: 1, Version: "v1", Layers: 4,
		Path: []Hop{{Server: "a", Layers: api.Layers{From: 0, To: 2}}, {Server: "b", Layers: api.Layers{From: 2, To: 4}}},
	}
}

const validFrame = `{"request":"r","attempt":1,"token":{"index":0,"id":7,"text":"x","receipts":[` +
	`{"server":"a","incarnation":1,"version":"v1","layers":{"from":0,"to":2},"attempt":1},` +
	`{"server":"b","incarnation":1,"version":"v1","layers":{"from":2,"to":4},"attempt":1}]}}`

// FuzzStream feeds arbitrary bytes from an engine to the decoder: it must not panic, nor
// yield a token that its receipts do not prove.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{validFrame + "\n", validFrame, "{}\n", "null\n", "\x00\xff{]\n", `{"request":"r","attempt":1,"finish":"stop"}` + "\n", `{"request":"r","attempt":1,"token":{}}` + "\n", "\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		s := newStream(io.NopCloser(bytes.NewReader(data)))
		expect := fuzzExpectation()
		for index := 0; ; {
			s.More()
			frame, err := s.Next()
			if err != nil {
				g.Expect(errors.Is(err, io.EOF) || errors.Is(err, ErrBadFrame)).To(BeTrue(), "%v", err)
				return
			}
			if judgement, _ := expect.Judge(frame); judgement == FrameToken {
				g.Expect(frame.Token.Index).To(Equal(index))
				g.Expect(frame.Token.Receipts).To(HaveLen(2))
				index++
			}
		}
	})
}

// FuzzDecodeFrameLikeTheStandardLibrary checks that the fast decoder agrees with the
// standard library on every line that it accepts.
func FuzzDecodeFrameLikeTheStandardLibrary(f *testing.F) {
	for _, seed := range []string{
		validFrame, `{"request":"\u00e9","attempt":1e0,"finish":"x"}`, `{"token":null}`, `[]`, `{"attempt":99999999999999999999}`, validFrame + `{}`,
		strings.ReplaceAll(validFrame, `"b"`, `"c"`), `{"token":{"receipts":null}}`, `{"token":{}}`, `{"token":{"receipts":[]}}`, `{"token":{"receipts":[7]}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		g := NewWithT(t)
		// Receipts equal to the previous ones are not decoded again.
		var seen frameDecoder
		for _, line := range [][]byte{[]byte(validFrame), data, data} {
			frame, err := seen.decode(line)
			if err != nil {
				g.Expect(err).To(MatchError(ErrBadFrame))
				continue
			}
			var want Frame
			g.Expect(json.Unmarshal(line, &want)).To(Succeed())
			g.Expect(frame).To(Equal(want))
		}
	})
}

// FuzzRefusal guards against reporting a request as "not run" without proof: an answer
// other than 200 may hold arbitrary bytes.
func FuzzRefusal(f *testing.F) {
	for _, seed := range []string{`{"message":"full","kind":"busy"}`, `{"message":"x","started":true}`, `{}`, `null`, `<html>`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		refusal, err := decodeRefusal(bytes.NewReader(data))
		if err == nil {
			NewWithT(t).Expect(refusal.Message).NotTo(BeEmpty())
		}
	})
}
