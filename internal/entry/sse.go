package entry

import (
	"encoding/json"
	"net/http"
	"time"
	"unicode/utf8"
)

// eventBytes is the room for the events that go out together.
const eventBytes = 512

// streamedAnswer sends server-sent events. Everything of an event that doesn't
// change from token to token is made once, since tokens are most of what a VM does.
type streamedAnswer struct {
	w       http.ResponseWriter
	control *http.ResponseController
	head    answerHead
	chat    bool
	usage   bool
	// before and after enclose a token's text in its event.
	before, after []byte
	buffer        []byte
	started       bool
	writeTime     time.Duration
	deadlineSet   time.Time
}

func newStreamedAnswer(w http.ResponseWriter, head answerHead, body completionRequest, writeTime time.Duration) *streamedAnswer {
	a := &streamedAnswer{
		w: w, control: http.NewResponseController(w), head: head,
		chat: body.chat, usage: body.usage, writeTime: writeTime,
		buffer: make([]byte, 0, eventBytes),
	}
	if body.chat {
		a.head.Object = "chat.completion.chunk"
	}
	open := a.openChunk()
	if body.chat {
		a.before = append(open, `{"index":0,"delta":{"content":`...)
		a.after = []byte("},\"finish_reason\":null}]}\n\n")
		return a
	}
	a.before = append(open, `{"index":0,"text":`...)
	a.after = []byte(",\"finish_reason\":null}]}\n\n")
	return a
}

// openChunk is the start of an event up to its first choice.
func (a *streamedAnswer) openChunk() []byte {
	head, err := json.Marshal(a.head)
	if err != nil {
		// A head of strings and a number can always be encoded.
		panic(err)
	}
	open := append([]byte("data: "), head[:len(head)-1]...)
	return append(open, `,"choices":[`...)
}

func (a *streamedAnswer) token(text string, more bool) error {
	a.begin()
	a.buffer = append(a.buffer, a.before...)
	a.buffer = appendJSONString(a.buffer, text)
	a.buffer = append(a.buffer, a.after...)
	if more && len(a.buffer) < eventBytes {
		return nil
	}
	return a.send(!more)
}

func (a *streamedAnswer) finish(reason string, use usage) error {
	a.begin()
	a.buffer = append(a.buffer, a.openChunk()...)
	if a.chat {
		a.buffer = append(a.buffer, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		a.buffer = append(a.buffer, `{"index":0,"text":"","finish_reason":`...)
	}
	a.buffer = appendJSONString(a.buffer, reason)
	a.buffer = append(a.buffer, "}]}\n\n"...)
	if a.usage {
		if err := a.appendUsage(use); err != nil {
			return err
		}
	}
	a.buffer = append(a.buffer, "data: [DONE]\n\n"...)
	err := a.send(true)
	// The connection may serve another request.
	_ = a.control.SetWriteDeadline(time.Time{})
	return err
}

func (a *streamedAnswer) appendUsage(use usage) error {
	encoded, err := json.Marshal(use)
	if err != nil {
		return err
	}
	a.buffer = append(a.buffer, a.openChunk()...)
	a.buffer = append(a.buffer, `],"usage":`...)
	a.buffer = append(a.buffer, encoded...)
	a.buffer = append(a.buffer, "}\n\n"...)
	return nil
}

// refuse sends the problem as the last event once bytes have gone out, so that
// a stream which ends early can't be mistaken for a whole answer.
func (a *streamedAnswer) refuse(problem *Problem) {
	if !a.started {
		problem.write(a.w)
		return
	}
	encoded, err := json.Marshal(problem)
	if err != nil {
		return
	}
	a.buffer = append(a.buffer, "event: error\ndata: "...)
	a.buffer = append(a.buffer, encoded...)
	a.buffer = append(a.buffer, "\n\n"...)
	_ = a.send(true)
	_ = a.control.SetWriteDeadline(time.Time{})
}

func (a *streamedAnswer) begin() {
	if a.started {
		return
	}
	a.started = true
	a.w.Header().Set("Content-Type", "text/event-stream")
	a.w.Header().Set("Cache-Control", "no-store")
	a.w.WriteHeader(http.StatusOK)
	if a.chat {
		a.buffer = append(a.buffer, a.openChunk()...)
		a.buffer = append(a.buffer, "{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n"...)
	}
}

// send writes the events that are ready. A caller who takes nothing for the
// write time is given up: its stream would hold places in the engines' batches.
func (a *streamedAnswer) send(flush bool) error {
	now := time.Now()
	if now.Sub(a.deadlineSet) > a.writeTime/deadlineRenewals {
		a.deadlineSet = now
		if err := a.control.SetWriteDeadline(now.Add(a.writeTime)); err != nil {
			return err
		}
	}
	_, err := a.w.Write(a.buffer)
	a.buffer = a.buffer[:0]
	if err != nil || !flush {
		return err
	}
	return a.control.Flush()
}

// deadlineRenewals is how often within the write time a stream's write deadline
// is moved. Moving it with each token would cost more than the token.
const deadlineRenewals = 8

// appendJSONString appends a text as a JSON string. Texts of plain ASCII, the
// most of them, need no allocation.
func appendJSONString(to []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			return appendEscaped(to, text)
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
}

func appendEscaped(to []byte, text string) []byte {
	encoded, err := json.Marshal(text)
	if err != nil {
		// A string can always be encoded.
		panic(err)
	}
	return append(to, encoded...)
}
