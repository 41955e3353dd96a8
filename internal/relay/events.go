package relay

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"oleandershunt.example/oleandershunt/internal/core/membound"
)

// readBufferBytes is the size of the read buffer of a stream; an event has about 100 bytes.
const readBufferBytes = 4 << 10

// eventReader reads the events of a response.
type eventReader struct {
	body   io.Reader
	buffer []byte
	*eventSplitter
	// ahead is what was read ahead, until it is returned.
	ahead *eventsRead
	// memory is what an incomplete event holds beyond the buffer.
	memory reserved
}

// eventsRead is the result of one read: complete events, and the error after them.
type eventsRead struct {
	events []byte
	err    error
}

// newEventReader returns a reader of the events that follow the one with an ID.
func (h *Handler) newEventReader(body io.Reader, after string) *eventReader {
	return &eventReader{
		body: body, buffer: make([]byte, readBufferBytes), eventSplitter: newEventSplitter(after),
		memory: reserved{buffers: h.buffers, use: membound.Event},
	}
}

// errNoMemory is returned for an event for which there is no memory.
var errNoMemory = errors.New("no memory for an event")

// next reads once. It returns the events that are complete, which may be none, and the error that
// follows them.
func (r *eventReader) next() ([]byte, error) {
	if ahead := r.ahead; ahead != nil {
		r.ahead = nil
		return ahead.events, ahead.err
	}
	n, readErr := r.body.Read(r.buffer)
	complete, err := r.feed(r.buffer[:n])
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errBadEvents, err)
	}
	if held := int64(cap(r.pending)); held > 2*readBufferBytes && !r.memory.grow(held) {
		return nil, fmt.Errorf("%w: %w", errBadEvents, errNoMemory)
	}
	return complete, readErr
}

// readAhead reads until there is an event, which next returns then, or returns the error if there is
// none.
func (r *eventReader) readAhead() error {
	for {
		events, err := r.next()
		if len(events) > 0 {
			r.ahead = &eventsRead{events: events, err: err}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

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
		return nil, fmt.Errorf("%w: event of more than %d bytes", errEndless, maxEventBytes)
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
