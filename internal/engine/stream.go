package engine

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// lineBuffer holds the frames that have arrived. Longer frames are put together.
const lineBuffer = 2 << 10

type stream struct {
	body io.ReadCloser
	in   *bufio.Reader
	long []byte

	decoder frameDecoder
}

func newStream(body io.ReadCloser) *stream {
	return &stream{body: body, in: bufio.NewReaderSize(body, lineBuffer)}
}

// Next implements Stream.
func (s *stream) Next() (Frame, error) {
	line, err := s.line()
	if err != nil {
		return Frame{}, err
	}
	return s.decoder.decode(line)
}

// More implements Stream.
func (s *stream) More() bool {
	held, err := s.in.Peek(s.in.Buffered())
	return err == nil && bytes.IndexByte(held, '\n') >= 0
}

// Close implements Stream.
func (s *stream) Close() error { return s.body.Close() }

// line reads up to the next newline. A stream that ends within a line is bad:
// taken for a frame, half a token could reach the caller.
func (s *stream) line() ([]byte, error) {
	line, err := s.in.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return s.longLine(line)
	}
	return nil, lineError(err, len(line))
}

func (s *stream) longLine(start []byte) ([]byte, error) {
	s.long = append(s.long[:0], start...)
	for len(s.long) <= maxFrameBytes {
		part, err := s.in.ReadSlice('\n')
		s.long = append(s.long, part...)
		if err == nil {
			return s.long, nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, lineError(err, len(s.long))
		}
	}
	return nil, fmt.Errorf("%w: a line is longer than %d bytes", ErrBadFrame, maxFrameBytes)
}

func lineError(err error, held int) error {
	if errors.Is(err, io.EOF) && held > 0 {
		return fmt.Errorf("%w: the stream ends within a line", ErrBadFrame)
	}
	return err
}
