package api

import "bytes"

// onlyKnownKeys says whether the objects of a valid JSON text have no keys but
// those known, by exact spelling. It answers for tens of thousands of records
// at start without building their trees; a key written with escapes counts as
// unknown, and the caller then looks closer.
func onlyKnownKeys(data []byte, known map[string]field) bool {
	s := keyScan{next: known}
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '{':
			s.open(s.next)
		case '[':
			s.open(nil)
		case '}', ']':
			s.close()
		case '"':
			end := stringEnd(data, i)
			if isKey(data[end:]) && !s.key(data[i+1:end-1]) {
				return false
			}
			i = end - 1
		}
	}
	return true
}

// keyScan is where in a JSON text a scan is.
type keyScan struct {
	// stack holds the known keys of the objects that are open; nil where any key will do.
	stack []map[string]field
	// next are the known keys of the value that follows.
	next map[string]field
}

func (s *keyScan) open(known map[string]field) {
	s.stack = append(s.stack, known)
	s.next = nil
}

func (s *keyScan) close() {
	if len(s.stack) > 0 {
		s.stack = s.stack[:len(s.stack)-1]
	}
}

func (s *keyScan) key(name []byte) bool {
	if len(s.stack) == 0 || s.stack[len(s.stack)-1] == nil {
		return true
	}
	f, ok := s.stack[len(s.stack)-1][string(name)]
	s.next = f.inner
	return ok
}

// stringEnd is the index after the closing quote of the string that opens at i.
func stringEnd(data []byte, i int) int {
	for i++; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return len(data)
}

// isKey says whether the text after a string makes it a key.
func isKey(rest []byte) bool {
	return bytes.HasPrefix(rest, []byte(":")) || bytes.HasPrefix(bytes.TrimLeft(rest, " \t\r\n"), []byte(":"))
}
