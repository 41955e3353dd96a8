package relay

import (
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestOnlyCompleteEventsAreForwarded(t *testing.T) {
	g := NewWithT(t)
	e := newEventSplitter("")
	complete, err := e.feed([]byte("id: 1\ndata: x\n\nid: 2\nda"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(complete)).To(Equal("id: 1\ndata: x\n\n"))
	g.Expect(e.last).To(Equal("1"))
	g.Expect(e.hasPartial()).To(BeTrue())
	complete, err = e.feed([]byte("ta: y\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(complete)).To(Equal("id: 2\ndata: y\r\n\r\n"))
	g.Expect(e.hasPartial()).To(BeFalse())
}

// Guards against duplicate or missing events after a server resumes from another event than
// requested, or joins two runs.
func TestEventsOutOfOrderEndTheStream(t *testing.T) {
	for name, text := range map[string]string{"twice": "id: 4\n\n", "missing": "id: 6\n\n", "older": "id: 1\n\n"} {
		g := NewWithT(t)
		e := newEventSplitter("4")
		complete, err := e.feed([]byte(text))
		g.Expect(err).To(HaveOccurred(), name)
		g.Expect(complete).To(BeEmpty())
	}
}

func TestEventsDoNotDependOnReadBoundaries(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid: 3\ndata: d\n\n"
	rapid.Check(t, func(t *rapid.T) {
		e := newEventSplitter("")
		var got string
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "cut")
			complete, err := e.feed([]byte(rest[:n]))
			if err != nil {
				t.Fatal(err)
			}
			got += string(complete)
			rest = rest[n:]
		}
		if got != text || e.last != "3" {
			t.Fatalf("%q, last %q", got, e.last)
		}
	})
}

// FuzzEvents checks that a stream is forwarded unchanged in complete events with consecutive
// numbers, regardless of how it is split into reads.
func FuzzEvents(f *testing.F) {
	f.Add("", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", 7)
	f.Add("4", "id: 5\r\ndata: x\r\n\r\nid: 7\n\n", 1)
	f.Add("4", "id: 4\n\n", 3)
	f.Add("x", ": comment\n\nid\n\nid:\n\n", 2)
	f.Add("", "id: -9223372036854775808\n\nid: 9223372036854775807\n\n", 5)
	f.Fuzz(func(t *testing.T, after, text string, cut int) {
		g := NewWithT(t)
		cut = max(1, cut)
		inPieces, inOnePiece := newEventSplitter(after), newEventSplitter(after)
		var got []byte
		var failed error
		for rest := text; rest != "" && failed == nil; {
			n := min(cut, len(rest))
			var complete []byte
			complete, failed = inPieces.feed([]byte(rest[:n]))
			got = append(got, complete...)
			rest = rest[n:]
		}
		g.Expect(text).To(HavePrefix(string(got)))
		want, err := inOnePiece.feed([]byte(text))
		if err != nil {
			g.Expect(failed).To(HaveOccurred(), "in one piece: %v", err)
			return
		}
		g.Expect(failed).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		g.Expect(inPieces.last).To(Equal(inOnePiece.last))
		g.Expect(inPieces.hasPartial()).To(Equal(inOnePiece.hasPartial()))
	})
}
