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
	minGrowBytes    = 4 << 10   // smallest step by which a value's buffer grows
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

// IsMalformed reports whether an error means a malformed message rather than a broken connection.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

// ReadCommand reads one request: an array of bulk strings, the first of which is the command's name. A malformed
// request is a *MalformedError; other errors are those of the reader.
func ReadCommand(reader *bufio.Reader) ([][]byte, error) {
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
	args, total := make([][]byte, count), 0
	for i := range args {
		if args[i], err = readBulk(reader, min(MaxValueBytes, maxRequestBytes-total)); err != nil {
			return nil, err
		}
		if args[i] == nil {
			return nil, malformed("a word that is null")
		}
		total += len(args[i])
	}
	return args, nil
}

// Reply is an endpoint's reply: an error line or the values of an array.
type Reply struct {
	Error  string
	Values [][]byte // an element is nil for a null value
}

// ReadReply reads an endpoint's reply. Errors are as for ReadCommand.
func ReadReply(reader *bufio.Reader) (Reply, error) {
	prefix, err := reader.ReadByte()
	if err != nil {
		return Reply{}, err
	}
	switch prefix {
	case errorPrefix:
		text, err := readLine(reader, maxErrorBytes)
		return Reply{Error: string(text)}, err
	case arrayPrefix:
		values, err := readReplyValues(reader)
		return Reply{Values: values}, err
	}
	return Reply{}, malformed("reply starts with %q, want %q or %q", prefix, errorPrefix, arrayPrefix)
}

// readReplyValues reads the rest of an array reply, after its first byte.
func readReplyValues(reader *bufio.Reader) ([][]byte, error) {
	count, err := readLength(reader, maxValues)
	if err != nil {
		return nil, err
	}
	if count < 1 {
		return nil, malformed("array reply of %d values, want at least 1", count)
	}
	values, total := make([][]byte, count), 0
	for i := range values {
		if values[i], err = readBulk(reader, MaxReplyBytes-total); err != nil {
			return nil, err
		}
		total += len(values[i])
	}
	return values, nil
}

// readBulk reads a bulk string of at most maxBytes bytes. It returns nil for a null value.
func readBulk(reader *bufio.Reader, maxBytes int) ([]byte, error) {
	if err := expectPrefix(reader, bulkPrefix); err != nil {
		return nil, err
	}
	length, err := readLength(reader, maxBytes)
	if length == nullLength || err != nil {
		return nil, err
	}
	value, err := readValue(reader, length)
	if err != nil {
		return nil, err
	}
	for _, want := range []byte("\r\n") {
		if found, err := reader.ReadByte(); err != nil {
			return nil, err
		} else if found != want {
			return nil, malformed("a value of %d bytes goes on", length)
		}
	}
	return value, nil
}

// readValue reads length bytes. Its buffer doubles as they arrive, so that a declared length alone allocates at most
// minGrowBytes.
func readValue(reader *bufio.Reader, length int) ([]byte, error) {
	value := make([]byte, 0, min(length, minGrowBytes))
	for len(value) < length {
		filled := len(value)
		value = append(value, make([]byte, min(length-filled, max(minGrowBytes, filled)))...)
		for filled < len(value) {
			n, err := reader.Read(value[filled:])
			if err != nil {
				return nil, err
			}
			filled += n
		}
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
