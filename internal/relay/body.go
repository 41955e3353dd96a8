package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"oleandershunt.example/oleandershunt/internal/core/membound"
)

const (
	// bodyChunkBytes is the size of a body's buffers, and firstChunkBytes that of the first one of a body
	// of unknown length.
	bodyChunkBytes  = 64 << 10
	firstChunkBytes = 4 << 10
	// maxBodyTime is how long a body may take to arrive, within the request's time limit.
	maxBodyTime = 30 * time.Second
)

// requestBody is a body in memory. The whole body is needed because an attempt that fails before a server
// ran it is retried on another server. The zero value is an empty body.
type requestBody struct {
	chunks [][]byte
	size   int64
}

// reader returns a new reader of the body.
func (b *requestBody) reader() io.Reader {
	readers := make([]io.Reader, len(b.chunks))
	for i, chunk := range b.chunks {
		readers[i] = bytes.NewReader(chunk)
	}
	return io.MultiReader(readers...)
}

// errBodyGivenUp is returned for a body that can't be read on, since there is no memory for it.
var errBodyGivenUp = errors.New("memory is needed for other bodies")

// readBody reads the request's body into memory.
func (h *Handler) readBody(x *exchange) *refusal {
	limit := int64(defaultMaxBodyBytes)
	if table := h.Dispatcher.Table(); table.Limits.BodyBytes > 0 {
		limit = table.Limits.BodyBytes
	}
	if x.r.ContentLength > limit {
		return rejection(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	}
	if x.r.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(x.w)
	abort := func() { _ = control.SetReadDeadline(time.Now()) } // not supported: it is read to its end
	x.memory = h.buffers.admit(max(x.r.ContentLength, 0), abort)
	if x.memory == nil {
		x.detail = "no memory for the body"
		return notRunRefusal(ReasonBusy, retryAfterDefault)
	}
	_ = control.SetReadDeadline(x.start.Add(min(x.timeLimit()+time.Since(x.start), maxBodyTime)))
	err := h.fillBody(x, http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil && h.buffers.complete(x.memory) {
		_ = control.SetReadDeadline(time.Time{})
		return nil
	}
	return h.refuseBody(x, err)
}

// refuseBody returns the refusal of a request whose body could not be read.
func (h *Handler) refuseBody(x *exchange, err error) *refusal {
	tooLarge := new(http.MaxBytesError)
	switch {
	case h.buffers.givenUp(x.memory):
		x.detail = "body was given up for others"
		return notRunRefusal(ReasonBusy, retryAfterDefault)
	case errors.As(err, &tooLarge):
		return rejection(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rejection(http.StatusRequestTimeout, ReasonBodySlow)
	default:
		return rejection(http.StatusBadRequest, ReasonBodyUnread)
	}
}

// fillBody reads a body. Each chunk is reserved before it is made.
func (h *Handler) fillBody(x *exchange, from io.Reader) error {
	next := int64(firstChunkBytes)
	if x.r.ContentLength > 0 {
		next = min(x.r.ContentLength, bodyChunkBytes)
	}
	for {
		if !h.buffers.grow(x.memory, next) {
			return errBodyGivenUp
		}
		chunk := make([]byte, next)
		n, err := readFull(from, chunk)
		if n > 0 {
			x.body.chunks = append(x.body.chunks, chunk[:n:n])
			x.body.size += int64(n)
		}
		switch {
		case err == io.EOF && x.r.ContentLength < 0:
			return nil
		case err == io.EOF:
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		case x.body.size == x.r.ContentLength:
			return readEnd(from)
		}
		next = bodyChunkBytes
		if x.r.ContentLength > 0 {
			next = min(next, x.r.ContentLength-x.body.size)
		}
	}
}

// readEnd reads the end of a body, after which the HTTP server notices when the caller disconnects.
func readEnd(from io.Reader) error {
	if _, err := from.Read(make([]byte, 1)); err != io.EOF {
		return err
	}
	return nil
}

// releaseBody gives the memory of the request's body back.
func (h *Handler) releaseBody(x *exchange) {
	if x.memory != nil {
		h.buffers.release(x.memory)
	}
}

// reserved is memory that an attempt holds for one use.
type reserved struct {
	buffers *buffers
	use     membound.Use
	bytes   int64
}

// grow makes it as many bytes, and reports whether they fit.
func (r *reserved) grow(to int64) bool {
	if to <= r.bytes {
		return true
	}
	if !r.buffers.reserve(r.use, to-r.bytes) {
		return false
	}
	r.bytes = to
	return true
}

func (r *reserved) free() {
	if r.bytes == 0 {
		return
	}
	r.buffers.free(r.use, r.bytes)
	r.bytes = 0
}
