package proxy

import (
	"io"
	"net/http"
)

// limitedReader bounds the bytes that are read from a connection for one message, so that a peer can't send an endless
// head, and counts them against the memory budget until release. Only the connection's reader goroutine uses it.
type limitedReader struct {
	source       io.Reader
	remaining    int64 // bytes that may still be read; set by the reader before each part of a message
	limitReached bool  // a read was refused at the bound
	sourceErr    error // the connection's error on the last read, or nil
	memory       *memoryBudget
	countedBytes int // bytes counted against memory since the last release
}

// release returns the counted bytes to the memory budget. It is called once the message's bytes are no longer held.
func (l *limitedReader) release() {
	if l.countedBytes > 0 {
		l.memory.add(-l.countedBytes)
		l.countedBytes = 0
	}
}

// Read implements io.Reader. It returns io.EOF at the bound.
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

// classifyError distinguishes a broken connection from a malformed message, since parsers report both alike. It returns
// the connection's error, or a *requestError. section names the part that was being read.
func (l *limitedReader) classifyError(section string, err error) error {
	if l.sourceErr != nil {
		return l.sourceErr
	}
	return &requestError{http.StatusBadRequest, "malformed " + section + ": " + err.Error()}
}
