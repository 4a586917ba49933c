// Package resp reads and words RESP2 messages within hard bounds. Nothing is reserved for a length that is only claimed, and
// what can't be read is told as such at the first byte that shows it.
package resp

import (
	"bufio"
	"errors"
	"fmt"
	"strconv"
)

const (
	MostValue  = 64 << 10  // bytes of one value in a command
	MostAnswer = 1 << 20   // and in a unit's answer: they give far larger ones than they take
	mostArgs   = 8         // of one command
	mostLine   = 1 << 10   // bytes of a line
	mostDigit  = 10        // of a length
	mostAll    = 160 << 10 // bytes of one command
	chunk      = 4 << 10   // the least by which room grows as bytes come
)

// Malformed says what is wrong with a message. The bytes behind it mean nothing any more.
type Malformed struct{ What string }

func (m *Malformed) Error() string { return "malformed message: " + m.What }

func bad(format string, args ...any) error { return &Malformed{fmt.Sprintf(format, args...)} }

// Bad tells a malformed message from a broken connection.
func Bad(err error) bool {
	var m *Malformed
	return errors.As(err, &m)
}

// line reads what stands before CRLF, at most so many bytes. The result holds until the next reading.
func line(br *bufio.Reader, most int) ([]byte, error) {
	for n := 0; ; {
		// Looking for the end in what has come keeps a line without one from being read further than the bound.
		buf, err := br.Peek(n + 1)
		if err != nil {
			return nil, err
		}
		buf, _ = br.Peek(br.Buffered())
		for ; n < len(buf); n++ {
			switch {
			case buf[n] == '\n' && n > 0 && buf[n-1] == '\r':
				br.Discard(n + 1)
				return buf[:n-1], nil
			case buf[n] == '\n':
				return nil, bad("a line ends without a carriage return")
			case n > most:
				return nil, bad("a line above %d bytes", most)
			}
		}
	}
}

// length reads the rest of a line that holds a length; none is -1.
func length(br *bufio.Reader, most int) (int, error) {
	text, err := line(br, mostDigit)
	if err != nil {
		return 0, err
	}
	if string(text) == "-1" {
		return -1, nil
	}
	for _, c := range text {
		if c < '0' || c > '9' {
			return 0, bad("length %.16q", text)
		}
	}
	n, err := strconv.Atoi(string(text))
	if err != nil || n > most {
		return 0, bad("length %.16q, at most %d", text, most)
	}
	return n, nil
}

// bulk reads a bulk string whose mark was read; nil is null.
func bulk(br *bufio.Reader, most int) ([]byte, error) {
	n, err := length(br, most)
	if n < 0 || err != nil {
		return nil, err
	}
	value := make([]byte, 0, min(n, chunk))
	for len(value) < n {
		at := len(value)
		value = append(value, make([]byte, min(n-at, max(chunk, at)))...)
		for at < len(value) {
			m, err := br.Read(value[at:])
			if err != nil {
				return nil, err
			}
			at += m
		}
	}
	for _, want := range []byte("\r\n") {
		if c, err := br.ReadByte(); err != nil {
			return nil, err
		} else if c != want {
			return nil, bad("a value of %d bytes goes on", n)
		}
	}
	return value, nil
}

func mark(br *bufio.Reader, want byte) error {
	c, err := br.ReadByte()
	if err == nil && c != want {
		err = bad("%q where %q belongs", c, want)
	}
	return err
}

// Command reads one command: an array of bulk strings, the first of them its name.
func Command(br *bufio.Reader) ([][]byte, error) {
	if err := mark(br, '*'); err != nil {
		return nil, err
	}
	n, err := length(br, mostArgs)
	if err != nil {
		return nil, err
	}
	if n < 1 {
		return nil, bad("a command of %d words", n)
	}
	args, all := make([][]byte, n), 0
	for i := range args {
		if err := mark(br, '$'); err != nil {
			return nil, err
		}
		if args[i], err = bulk(br, min(MostValue, mostAll-all)); err != nil {
			return nil, err
		}
		if args[i] == nil {
			return nil, bad("a word that is null")
		}
		all += len(args[i])
	}
	return args, nil
}

// Reply is a unit's answer: an error line, or the values of an array.
type Reply struct {
	Error  string
	Values [][]byte // nil among them: null
}

// Answer reads a unit's answer.
func Answer(br *bufio.Reader) (Reply, error) {
	c, err := br.ReadByte()
	if err != nil {
		return Reply{}, err
	}
	switch c {
	case '-':
		text, err := line(br, mostLine)
		return Reply{Error: string(text)}, err
	case '*':
		n, err := length(br, mostArgs)
		if err != nil {
			return Reply{}, err
		}
		if n < 1 {
			return Reply{}, bad("an array of %d values", n)
		}
		r, all := Reply{Values: make([][]byte, n)}, 0
		for i := range r.Values {
			if err := mark(br, '$'); err != nil {
				return Reply{}, err
			}
			if r.Values[i], err = bulk(br, MostAnswer-all); err != nil {
				return Reply{}, err
			}
			all += len(r.Values[i])
		}
		return r, nil
	}
	return Reply{}, bad("%q begins no answer", c)
}

// Array words the head of an array of n values.
func Array(buf []byte, n int) []byte {
	buf = strconv.AppendInt(append(buf, '*'), int64(n), 10)
	return append(buf, '\r', '\n')
}

// Bulk words a value.
func Bulk[T ~string | ~[]byte](buf []byte, value T) []byte {
	buf = strconv.AppendInt(append(buf, '$'), int64(len(value)), 10)
	buf = append(append(buf, '\r', '\n'), value...)
	return append(buf, '\r', '\n')
}

// Error words an error line; what can't stand in a line is left out.
func Error(buf []byte, text string) []byte {
	buf = append(buf, '-')
	for _, c := range []byte(text) {
		if c >= ' ' && c < 127 {
			buf = append(buf, c)
		}
	}
	return append(buf, '\r', '\n')
}
