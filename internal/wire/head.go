package wire

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"

	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead marks a response whose head is none of HTTP/1.x, or too long. What its server meant by it is
// unknown, and what follows is not known to be its body.
var ErrInvalidHead = errors.New("invalid head of a response")

// CheckHead returns a reader of one response, with the interim responses before it. It returns ErrInvalidHead in
// place of an invalid head's end, or of one of more than 64 KiB. The body is not checked.
func CheckHead(response io.Reader) io.Reader {
	r := &headReader{from: response}
	r.expect()
	return r
}

// headReader checks the heads of responses as they are read.
type headReader struct {
	from io.Reader
	// latest checks the latest response that is expected. Nil before the first one.
	latest atomic.Pointer[headChecker]
}

// expect says that the next bytes are those of another response.
func (r *headReader) expect() { r.latest.Store(new(headChecker)) }

// invalid returns the error of the latest response's head, or nil.
func (r *headReader) invalid() error {
	if head := r.latest.Load(); head != nil {
		return head.invalid()
	}
	return nil
}

// Read implements io.Reader. After an invalid line it reads no further: net/http reads again after some errors.
func (r *headReader) Read(p []byte) (int, error) {
	if err := r.invalid(); err != nil {
		return 0, err
	}
	n, err := r.from.Read(p)
	// Only now: the response may be to a request that was sent during the read.
	head := r.latest.Load()
	if head == nil {
		return n, err
	}
	valid, invalid := head.check(p[:n])
	if invalid != nil {
		return valid, invalid
	}
	return n, err
}

// headChecker checks the lines of a response's head as they arrive.
//
// net/http accepts more than the protocol: statuses under 100, names with blanks, chunks in HTTP/1.0. It ignores
// what it doesn't know in them, so that a body may be framed in another way than its server meant.
type headChecker struct {
	// line is the beginning of a line whose end hasn't arrived.
	line []byte
	// bytes counts the bytes of the head and the interim ones before it.
	bytes int
	// status is that of the head that is being checked; 0 before its first line.
	status int
	http10 bool
	// field is the latest field, which is checked once its last line has arrived.
	field []byte
	// length is the length of the body, and chunked says that it has chunks, as the lines so far say.
	length  string
	chunked bool
	done    bool
	// failure is the error of a line.
	failure atomic.Pointer[error]
}

func (h *headChecker) invalid() error {
	if failure := h.failure.Load(); failure != nil {
		return *failure
	}
	return nil
}

// check checks further bytes of a response and returns how many of them may be read: all, or fewer and an error if a
// line is invalid. At least one may, since net/http sends a request again whose response fails at its first byte.
func (h *headChecker) check(data []byte) (valid int, err error) {
	for rest := data; !h.done && len(rest) > 0; {
		line, after, ended := bytes.Cut(rest, []byte("\n"))
		h.line = append(h.line, line...)
		h.bytes += len(rest) - len(after)
		if h.bytes > maxHeadBytes {
			err = fmt.Errorf("%w: more than %d bytes", ErrInvalidHead, maxHeadBytes)
		} else if ended {
			err = h.checkLine(bytes.TrimSuffix(h.line, []byte("\r")))
			h.line = h.line[:0]
		}
		if err != nil {
			h.failure.Store(&err)
			return max(len(data)-len(rest), 1), err
		}
		rest = after
	}
	if h.done {
		h.line, h.field = nil, nil // the connection may be kept for long
	}
	return len(data), nil
}

// checkLine checks a line without its end.
func (h *headChecker) checkLine(line []byte) error {
	if h.status == 0 {
		return h.checkStatusLine(string(line))
	}
	if continued := len(h.field) > 0 && len(line) > 0 && (line[0] == ' ' || line[0] == '\t'); continued {
		h.field = append(h.field, line...)
		return nil
	}
	if len(h.field) > 0 {
		if err := h.checkField(string(h.field)); err != nil {
			return err
		}
	}
	h.field = append(h.field[:0], line...)
	if len(line) == 0 {
		return h.checkEnd()
	}
	return nil
}

func (h *headChecker) checkStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return fmt.Errorf("%w: version %q is not of HTTP/1", ErrInvalidHead, shorten(version))
	}
	text, phrase, _ := strings.Cut(rest, " ")
	const minStatus, maxStatus = 100, 599
	status, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != 3 || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: status %q is none of a response", ErrInvalidHead, shorten(text))
	}
	h.status, h.http10 = int(status), minor == 0
	return checkValue(phrase)
}

func (h *headChecker) checkField(field string) error {
	name, value, found := strings.Cut(field, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return fmt.Errorf("%w: field %q has no valid name", ErrInvalidHead, shorten(field))
	}
	switch strings.ToLower(name) {
	case "content-length":
		return h.checkLength(strings.Trim(value, " \t"))
	case "transfer-encoding":
		return h.checkEncoding(strings.Trim(value, " \t"))
	default:
		return checkValue(value)
	}
}

// checkLength checks a length of the body. The same one may be given again.
func (h *headChecker) checkLength(length string) error {
	if _, err := strconv.ParseUint(length, 10, 63); err != nil || h.length != "" && h.length != length {
		return fmt.Errorf("%w: length %q", ErrInvalidHead, shorten(length))
	}
	h.length = length
	return nil
}

func (h *headChecker) checkEncoding(encoding string) error {
	if !strings.EqualFold(encoding, "chunked") || h.chunked {
		return fmt.Errorf("%w: transfer encoding %q", ErrInvalidHead, shorten(encoding))
	}
	h.chunked = true
	return nil
}

func checkValue(value string) error {
	if !httpguts.ValidHeaderFieldValue(value) {
		return fmt.Errorf("%w: control byte in %q", ErrInvalidHead, shorten(value))
	}
	return nil
}

// checkEnd ends a head. An interim one is followed by another.
func (h *headChecker) checkEnd() error {
	if h.chunked && (h.http10 || h.length != "") {
		return fmt.Errorf("%w: chunks in HTTP/1.0 or beside a length", ErrInvalidHead)
	}
	if h.status < http.StatusOK {
		h.status, h.length, h.chunked = 0, "", false
		return nil
	}
	h.done = true
	return nil
}

// shorten returns the beginning of a text, for an error.
func shorten(text string) string {
	const shown = 64
	return text[:min(len(text), shown)]
}
