package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
)

func readRequest(text string) string {
	args, err := ReadCommand(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%q", args)
}

func readReply(text string) string {
	r, err := ReadReply(bufio.NewReader(strings.NewReader(text)))
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%q %q", r.Error, r.Values)
}

func TestCommand(t *testing.T) {
	for text, want := range map[string]string{
		"*1\r\n$4\r\nPING\r\n":             `["PING"]`,
		"*2\r\n$1\r\na\r\n$0\r\n\r\n":      `["a" ""]`,
		"*2\r\n$1\r\na\r\n$2\r\n\r\n\r\n":  `["a" "\r\n"]`,
		"*1\r\n$4\r\nPIN":                  "EOF",
		"*1\r\n$4\r\nPINGS\r\n":            "malformed message: a value of 4 bytes goes on",
		"*1\r\n$-1\r\n":                    "malformed message: a word that is null",
		"*0\r\n":                           "malformed message: a command of 0 words",
		"*-1\r\n":                          "malformed message: a command of -1 words",
		"*-2\r\n":                          `malformed message: length "-2"`,
		"*9\r\n":                           `malformed message: length "9", at most 8`,
		"*1\r\n$65537\r\n":                 `malformed message: length "65537", at most 65536`,
		"*1\r\n$99999999999999999999\r\n":  "malformed message: a line above 10 bytes",
		"*1\n":                             "malformed message: a line ends without a carriage return",
		"PING\r\n":                         `malformed message: 'P' where '*' belongs`,
		"*1\r\n$\r\n\r\n":                  `malformed message: length "", at most 65536`,
		"*" + strings.Repeat("1", 100_000): "malformed message: a line above 10 bytes",
	} {
		if got := readRequest(text); got != want {
			t.Errorf("%.40q: %s, want %s", text, got, want)
		}
	}
}

func TestAnswer(t *testing.T) {
	big := strings.Repeat("x", 400_000) // endpoints send values this large, whatever they accept
	for text, want := range map[string]string{
		"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\na=1\r\n": `"" ["v" "" "a=1"]`,
		"-ERR failed inflight=1\r\n":            `"ERR failed inflight=1" []`,
		"-" + strings.Repeat("x", 5000):         "malformed message: a line above 1024 bytes",
		"+OK\r\n":                               `malformed message: '+' begins no answer`,
		"*1\r\n*1\r\n$1\r\nv\r\n":               `malformed message: '*' where '$' belongs`,
		"*1\r\n$3000000000\r\n":                 `malformed message: length "3000000000", at most 1048576`,
		"*0\r\n":                                "malformed message: an array of 0 values",
		"*-1\r\n":                               "malformed message: an array of -1 values",
		"*2\r\n$1\r\nv\r\n":                     "EOF",
		"*1\r\n$2\r\nv\r\n$":                    "malformed message: a value of 2 bytes goes on",
		"":                                      "EOF",
		"*1\r\n$9\r\n" + strings.Repeat("x", 9) + "\r\n":             `"" ["xxxxxxxxx"]`,
		"*2\r\n$400000\r\n" + big + "\r\n$-1\r\n":                    fmt.Sprintf("%q %q", "", []string{big, ""}),
		"*2\r\n$600000\r\n" + big + big[:200000] + "\r\n$600000\r\n": `malformed message: length "600000", at most 448576`,
	} {
		if got := readReply(text); got != want {
			t.Errorf("%.40q: %s, want %s", text, got, want)
		}
	}
}

// counter is an endless sender that counts the bytes read from it.
type counter struct{ n int }

func (c *counter) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	c.n += len(p)
	return len(p), nil
}

// A message that only claims a length, or has no end, is not read beyond a fixed bound.
func TestBounds(t *testing.T) {
	for _, head := range []string{"*", "*1\r\n$", "*1\r\n$60000000\r\n", "-", "*1\r\n$3000000000\r\n", "*4\r\n$65536\r\n"} {
		c := &counter{}
		reader := bufio.NewReader(io.MultiReader(strings.NewReader(head), c))
		if head[0] == '-' {
			if _, err := ReadReply(reader); !IsMalformed(err) {
				t.Errorf("%q: %v", head, err)
			}
		} else if _, err := ReadCommand(reader); !IsMalformed(err) {
			t.Errorf("%q: %v", head, err)
		}
		if c.n > MaxValueBytes+2*4096 {
			t.Errorf("%q: %d bytes were read", head, c.n)
		}
	}
	if IsMalformed(io.EOF) || !IsMalformed(fmt.Errorf("endpoint 1: %w", &MalformedError{})) {
		t.Error("Bad")
	}
}

// A request that was read is encoded and read again as the same words, and its encoding is no longer than the bytes
// that were consumed.
func FuzzCommand(f *testing.F) {
	for _, s := range []string{"*1\r\n$4\r\nPING\r\n", "*2\r\n$1\r\na\r\n$0\r\n\r\nrest", "*1\r\n$-1\r\n", "*8\r\n$65536\r\n", "*01\r\n$01\r\na\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		in := bytes.NewReader(data)
		reader := bufio.NewReader(in)
		args, err := ReadCommand(reader)
		if err != nil {
			if !IsMalformed(err) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatal(err)
			}
			return
		}
		buf := AppendArray(nil, len(args))
		for _, a := range args {
			buf = AppendBulk(buf, a)
		}
		again, err := ReadCommand(bufio.NewReader(bytes.NewReader(buf)))
		if err != nil || fmt.Sprintf("%q", again) != fmt.Sprintf("%q", args) {
			t.Fatalf("%q is read again as %q, %v", args, again, err)
		}
		if read := len(data) - in.Len() - reader.Buffered(); read < len(buf) {
			t.Fatalf("%d bytes read of %q, written in %d", read, args, len(buf))
		}
	})
}

func FuzzAnswer(f *testing.F) {
	for _, s := range []string{"*3\r\n$1\r\nv\r\n$-1\r\n$3\r\na=1\r\n", "-ERR failed\r\n", "-BUSY\r\n", "*3\r\n$-1\r\n$-1\r\n$-1\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := ReadReply(bufio.NewReader(bytes.NewReader(data)))
		if err == nil && (len(r.Values) > 0) == (data[0] == '-') {
			t.Fatalf("%q read as %+v", data, r)
		}
	})
}
