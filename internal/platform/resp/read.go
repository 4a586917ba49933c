// Package resp reads and writes the platform's RESP2 messages within fixed limits: requests, which are arrays of bulk
// strings, and replies, which are such arrays or error lines. Memory grows with the bytes that arrive, not with the
// length that a message declares. A malformed message is reported at the first byte that shows the error.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
)

// Limits of messages. Replies may be larger than requests, since endpoints send far larger values than they accept.
const (
	MaxValueBytes   = 64 << 10  // maximum size of one value in a request
	MaxReplyBytes   = 1 << 20   // maximum size of all values in a reply
	maxRequestBytes = 160 << 10 // maximum size of all values in a request
	maxValues       = 8         // maximum number of values in a message
	maxErrorBytes   = 1 << 10   // maximum length of an error line
	maxLengthDigits = 10        // maximum number of digits in a length field
	minGrowBytes    = 4 << 10   // smallest size of the buffer of a value that has not arrived completely
	growFactor      = 4         // a value's buffer grows by this factor as its bytes arrive
)

// The first byte of each RESP2 type.
const (
	arrayPrefix = '*'
	bulkPrefix  = '$'
	errorPrefix = '-'
)

// nullLength is the length that is declared for a null value.
const nullLength = -1

// MalformedError describes the first fault of a message. The connection must be closed, since the start of the next
// message is unknown.
type MalformedError struct{ Reason string }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed message: " + e.Reason }

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

// ErrMemoryRefused is returned for a message that was read to its end and discarded, because the caller refused the memory
// for one of its values. The next message can be read.
var ErrMemoryRefused = errors.New("no memory for the message")

// ReserveFunc asks the caller for n more bytes of memory before they are allocated for a message. If it returns false, the
// rest of the message is discarded.
type ReserveFunc func(n int) bool

// Unlimited is a ReserveFunc for callers that do not count memory.
func Unlimited(int) bool { return true }

// IsMalformed reports whether an error means a malformed message rather than a broken connection.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// ReadCommand reads one request: an array of bulk strings, the first of which is the command's name. A malformed
// request is a *MalformedError, one that reserve refused is ErrMemoryRefused; other errors are those of the reader.
func ReadCommand(reader *bufio.Reader, reserve ReserveFunc) ([][]byte, error) {
	if err := expectPrefix(reader, arrayPrefix); err != nil {
		return nil, err
	}
	count, err := readLength(reader, maxValues)
	if err != nil {
		return nil, err
	}
	if count < 1 {
		return nil, malformed("a command of %d words", count)
	}
	values := valueReader{reader: reader, reserve: reserve}
	args, total := make([][]byte, count), 0
	for i := range args {
		value, length, err := values.readBulk(min(MaxValueBytes, maxRequestBytes-total))
		if err != nil {
			return nil, err
		}
		if length == nullLength {
			return nil, malformed("a word that is null")
		}
		args[i] = value
		total += length
	}
	if values.refused {
		return nil, ErrMemoryRefused
	}
	return args, nil
}

// Reply is an endpoint's reply: an error line or the values of an array.
type Reply struct {
	Error  string
	Values [][]byte // an element is nil for a null value
}

// ReadReply reads an endpoint's reply. Errors are as for ReadCommand.
func ReadReply(reader *bufio.Reader, reserve ReserveFunc) (Reply, error) {
	prefix, err := reader.ReadByte()
	if err != nil {
		return Reply{}, err
	}
	switch prefix {
	case errorPrefix:
		text, err := readLine(reader, maxErrorBytes)
		return Reply{Error: string(text)}, err
	case arrayPrefix:
		values, err := readReplyValues(reader, reserve)
		return Reply{Values: values}, err
	}
	return Reply{}, malformed("reply starts with %q, want %q or %q", prefix, errorPrefix, arrayPrefix)
}

// readReplyValues reads the rest of an array reply, after its first byte.
func readReplyValues(reader *bufio.Reader, reserve ReserveFunc) ([][]byte, error) {
	count, err := readLength(reader, maxValues)
	if err != nil {
		return nil, err
	}
	if count < 1 {
		return nil, malformed("array reply of %d values, want at least 1", count)
	}
	reading := valueReader{reader: reader, reserve: reserve}
	values, total := make([][]byte, count), 0
	for i := range values {
		value, length, err := reading.readBulk(MaxReplyBytes - total)
		if err != nil {
			return nil, err
		}
		values[i] = value
		total += max(0, length)
	}
	if reading.refused {
		return nil, ErrMemoryRefused
	}
	return values, nil
}

// valueReader reads the values of one message. Once reserve has refused memory, it discards the values that it reads.
type valueReader struct {
	reader  *bufio.Reader
	reserve ReserveFunc
	refused bool
}

// readBulk reads a bulk string of at most maxBytes bytes and returns it with its length. A null value is nil and has
// nullLength; a discarded value is nil and has its declared length.
func (v *valueReader) readBulk(maxBytes int) (value []byte, length int, err error) {
	if err := expectPrefix(v.reader, bulkPrefix); err != nil {
		return nil, 0, err
	}
	length, err = readLength(v.reader, maxBytes)
	if length == nullLength || err != nil {
		return nil, length, err
	}
	if value, err = v.readValue(length); err != nil {
		return nil, length, err
	}
	for _, want := range []byte("\r\n") {
		if found, err := v.reader.ReadByte(); err != nil {
			return nil, length, err
		} else if found != want {
			return nil, length, malformed("a value of %d bytes goes on", length)
		}
	}
	return value, length, nil
}

// readValue reads length bytes. Its buffer grows by growFactor as they arrive, so that a declared length alone allocates
// at most minGrowBytes. It returns nil if the value was discarded.
func (v *valueReader) readValue(length int) ([]byte, error) {
	var value []byte
	for filled := 0; filled < length; {
		size := min(length, max(minGrowBytes, growFactor*filled))
		if v.refused = v.refused || !v.reserve(size-filled); v.refused {
			_, err := v.reader.Discard(length - filled)
			return nil, err
		}
		grown := make([]byte, size)
		copy(grown, value)
		value = grown
		for filled < len(value) {
			n, err := v.reader.Read(value[filled:])
			if err != nil {
				return nil, err
			}
			filled += n
		}
	}
	if value == nil && !v.refused {
		value = []byte{} // an empty value, not null
	}
	return value, nil
}

// readLength reads a length and the end of its line. The length must be at most maxLength; nullLength is allowed.
func readLength(reader *bufio.Reader, maxLength int) (int, error) {
	text, err := readLine(reader, maxLengthDigits)
	if err != nil {
		return 0, err
	}
	if string(text) == "-1" {
		return nullLength, nil
	}
	for _, char := range text {
		if char < '0' || char > '9' {
			return 0, malformed("length %.16q", text)
		}
	}
	length, err := strconv.Atoi(string(text))
	if err != nil || length > maxLength {
		return 0, malformed("length %.16q, at most %d", text, maxLength)
	}
	return length, nil
}

// readLine reads a line of at most maxBytes bytes and returns it without its CRLF. The result is valid until the next
// read.
func readLine(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	for length := 0; ; {
		// Search only the bytes that have arrived, so that an unterminated line is not read beyond the limit.
		if _, err := reader.Peek(length + 1); err != nil {
			return nil, err
		}
		arrived, err := reader.Peek(reader.Buffered())
		if err != nil {
			return nil, err
		}
		for ; length < len(arrived); length++ {
			switch {
			case arrived[length] == '\n' && length > 0 && arrived[length-1] == '\r':
				line := arrived[:length-1]
				_, err := reader.Discard(length + 1)
				return line, err
			case arrived[length] == '\n':
				return nil, malformed("a line ends without a carriage return")
			case length > maxBytes:
				return nil, malformed("a line above %d bytes", maxBytes)
			}
		}
	}
}

// expectPrefix reads one byte and returns an error unless it is the given prefix.
func expectPrefix(reader *bufio.Reader, prefix byte) error {
	found, err := reader.ReadByte()
	if err == nil && found != prefix {
		err = malformed("%q where %q belongs", found, prefix)
	}
	return err
}
