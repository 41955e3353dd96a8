package relay

import (
	"bytes"
	"fmt"
	"strconv"
)

// eventSplitter splits a stream of server-sent events into complete events and checks the order
// of their IDs.
type eventSplitter struct {
	// pending holds the beginning of an event whose end hasn't arrived.
	pending []byte
	// last is the ID of the last complete event, and lastNumber its numeric value; -1 if it has
	// none.
	last       string
	lastNumber int64
	// returned is the number of events returned by the last call of feed.
	returned int
}

// maxEventBytes bounds the size of one event.
const maxEventBytes = 1 << 20

func newEventSplitter(after string) *eventSplitter {
	e := &eventSplitter{last: after, lastNumber: -1}
	if number, err := strconv.ParseInt(after, 10, 64); err == nil {
		e.lastNumber = number
	}
	return e
}

func (e *eventSplitter) hasPartial() bool { return len(bytes.TrimSpace(e.pending)) > 0 }

// feed adds bytes and returns the events that are complete. It returns an error for an event
// whose number isn't the one after the last: the caller would get an event twice or miss one,
// or parts of two runs would be joined. The result is valid until the next call.
func (e *eventSplitter) feed(data []byte) ([]byte, error) {
	e.returned = 0
	e.pending = append(e.pending, data...)
	end := 0
	for {
		length := eventLength(e.pending[end:])
		if length == 0 {
			break
		}
		if err := e.trackIDs(e.pending[end : end+length]); err != nil {
			return nil, err
		}
		end += length
	}
	if len(e.pending)-end > maxEventBytes {
		return nil, fmt.Errorf("event of more than %d bytes", maxEventBytes)
	}
	complete := append([]byte(nil), e.pending[:end]...)
	e.pending = append(e.pending[:0], e.pending[end:]...)
	return complete, nil
}

// eventLength returns the length of the first complete event including its blank line, or 0 if
// there is none.
func eventLength(data []byte) int {
	offset := 0
	for {
		newline := bytes.IndexByte(data[offset:], '\n')
		if newline < 0 {
			return 0
		}
		line := data[offset : offset+newline]
		offset += newline + 1
		if len(bytes.TrimSuffix(line, []byte("\r"))) == 0 {
			return offset
		}
	}
}

func (e *eventSplitter) trackIDs(event []byte) error {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id := string(bytes.TrimSpace(value))
		number, err := strconv.ParseInt(id, 10, 64)
		if err == nil && number <= e.lastNumber {
			return fmt.Errorf("event %d after event %d", number, e.lastNumber)
		}
		if err == nil && e.lastNumber >= 0 && number != e.lastNumber+1 {
			return fmt.Errorf("event %d is missing before %d", e.lastNumber+1, number)
		}
		if err == nil {
			e.lastNumber = number
		}
		e.last = id
		e.returned++
	}
	return nil
}
