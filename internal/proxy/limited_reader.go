package proxy

import (
	"fmt"
	"io"
	"net/http"
)

// errTooManyFields is the error of reading a head with more than maxHeaderFields fields.
var errTooManyFields = &requestError{http.StatusRequestHeaderFieldsTooLarge, fmt.Sprintf("more than %d header fields", maxHeaderFields)}

// limitedReader bounds the bytes that are read from a connection for one message, and the fields of its head, so that a
// peer can't send an endless head, and counts them against the memory budget. Only the connection's reader goroutine uses it.
type limitedReader struct {
	source       io.Reader
	remaining    int64 // bytes that may still be read; set by the reader before each part of a message
	limitReached bool  // a read was refused at the bound
	sourceErr    error // the error of the last read, or nil

	inMessage bool // bytes and fields are counted; see startMessage
	head      headScanner

	// hold asks for the memory of n bytes of a message. If it returns false, the read fails with errMemoryRefused. nil: the
	// bytes are not counted.
	hold func(n int) bool

	// bufferGrowth is the size of the buffer that collects the bytes as they arrive, as a multiple of them.
	bufferGrowth int
}

// Read implements io.Reader. It returns io.EOF at the bound.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		l.limitReached = true
		return 0, io.EOF
	}
	n, err := l.source.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	if countErr := l.count(p[:n]); countErr != nil {
		n, err = 0, countErr // the parser must not see the bytes
	}
	l.sourceErr = err
	return n, err
}

// startMessage prepares for the next message, whose head has at most maxHeadBytes. buffered is what has been read of it
// already: it has not been counted, since it fits into the connection's buffer.
func (l *limitedReader) startMessage(buffered []byte, maxHeadBytes int64) error {
	l.remaining, l.limitReached = maxHeadBytes, false
	l.inMessage, l.head = true, headScanner{}
	return l.count(buffered)
}

// endMessage ends the counting of bytes and fields.
func (l *limitedReader) endMessage() { l.inMessage = false }

// count counts the next bytes of a message, and the fields of its head in them.
func (l *limitedReader) count(bytes []byte) error {
	if !l.inMessage || len(bytes) == 0 {
		return nil
	}
	fields := l.head.scan(bytes)
	switch {
	case l.head.tooMany():
		return errTooManyFields
	case l.hold != nil && !l.hold(l.bufferGrowth*len(bytes)+fields*headerFieldBytes):
		return errMemoryRefused
	}
	return nil
}

// reserveBody asks for the memory of a whole body and ends the counting of its bytes. If every request took its memory as
// its bytes arrive, many that arrive at the same time could each hold a part and none get the rest.
func (l *limitedReader) reserveBody(bytes int64) error {
	if l.hold != nil && !l.hold(int(bytes)) {
		return errMemoryRefused
	}
	l.endMessage()
	return nil
}

// classifyError distinguishes a failed read from a malformed message, since parsers report both alike. It returns the
// error of the read, or a *requestError. section names the part that was being read.
func (l *limitedReader) classifyError(section string, err error) error {
	if l.sourceErr != nil {
		return l.sourceErr
	}
	return &requestError{http.StatusBadRequest, "malformed " + section + ": " + err.Error()}
}
