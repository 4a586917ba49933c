package proxy

import (
	"io"
	"net/http"
)

// limitedReader bounds what one message may take from a connection, without which a peer could send a head without end, and
// counts what was read to the memory budget until it is released. It is used by the connection's reader only.
type limitedReader struct {
	source       io.Reader
	remaining    int64 // bytes that may still be read; set by the reader before each part of a message
	limitReached bool  // a read met the bound
	sourceErr    error // the connection's own error, if the last read had one
	memory       *memoryBudget
	countedBytes int // counted to memory since the last release
}

// release gives back what was counted, once nothing of it is kept.
func (l *limitedReader) release() {
	if l.countedBytes > 0 {
		l.memory.add(-l.countedBytes)
		l.countedBytes = 0
	}
}

// Read implements io.Reader. It ends with io.EOF at the bound.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.limitReached = true
		return 0, io.EOF
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	l.sourceErr = err
	if l.memory != nil && n > 0 {
		l.memory.add(n)
		l.countedBytes += n
	}
	return n, err
}

// classifyError tells a malformed message from a broken connection, which parsers report as the former. section is what was
// being read.
func (l *limitedReader) classifyError(section string, err error) error {
	if l.sourceErr != nil {
		return l.sourceErr
	}
	return &requestError{http.StatusBadRequest, "malformed " + section + ": " + err.Error()}
}
