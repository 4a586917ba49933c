package proxy

const (
	// maxHeaderFields is the maximum number of fields in the head of a message.
	maxHeaderFields = 100

	// headerFieldBytes is the memory of a parsed field apart from its bytes: its key, its list of values and its share of
	// the map. It is many times the size of a short field on the wire.
	headerFieldBytes = 128
)

// headScanner counts the fields of a message's head as its bytes arrive, since the parser keeps each field that it has
// read, also of a head that never ends. The zero value is ready for the first byte of a head.
type headScanner struct {
	lines     int // complete lines so far, the first of which is no field
	lineBytes int // bytes of the present line, without its end
	ended     bool
}

// scan scans the next bytes and returns the number of complete fields in them. Bytes after the end of the head are
// ignored.
func (s *headScanner) scan(bytes []byte) (fields int) {
	for _, char := range bytes {
		switch {
		case s.ended:
			return fields
		case char == '\n' && s.lineBytes == 0:
			s.ended = true
		case char == '\n':
			if s.lines > 0 {
				fields++
			}
			s.lines++
			s.lineBytes = 0
		case char != '\r':
			s.lineBytes++
		}
	}
	return fields
}

// tooMany reports whether the head has more fields than allowed.
func (s *headScanner) tooMany() bool { return s.lines > maxHeaderFields+1 }
