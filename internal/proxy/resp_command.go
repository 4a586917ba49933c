package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"flintspread/internal/configstate"
	"flintspread/internal/platform/resp"
	"flintspread/internal/policy"
)

// The platform's commands. Reads and writes have a key, an id and options; a write also has a body.
const (
	commandRead  = "API.READ"  // of idempotent classes
	commandWrite = "API.WRITE" // of the others
	commandPing  = "PING"

	readWords  = 4
	writeWords = 5

	// maxWordBytes bounds an id, a key, and the options together.
	maxWordBytes = 256
)

// parseCommand turns the words of a client's command into a message, and returns it with its class. The error's text is
// sent to the client.
func (resp2) parseCommand(config *configstate.Version, words [][]byte) (*message, int, error) {
	write := string(words[0]) == commandWrite
	switch {
	case !write && string(words[0]) != commandRead:
		return nil, 0, fmt.Errorf("unknown command %.32q", words[0])
	case !write && len(words) != readWords || write && len(words) != writeWords:
		return nil, 0, fmt.Errorf("%s with %d words", words[0], len(words)-1)
	}
	key, id, options := words[1], words[2], words[3]
	if !isWord(key) || !isWord(id) || len(options) > maxWordBytes {
		return nil, 0, errors.New("no key or no id, or one that can't be meant")
	}
	parsed := &message{id: string(id), keyHash: max(1, xxhash.Sum64(key)), timeoutOffset: -1}
	class, err := parsed.parseOptions(config, options)
	if err != nil {
		return nil, 0, err
	}
	if err := parsed.checkOptions(config, class, words[0], write); err != nil {
		return nil, 0, err
	}
	parsed.head = resp.AppendArray(make([]byte, 0, 32+len(key)+len(id)), len(words))
	for _, word := range words[:3] {
		parsed.head = resp.AppendBulk(parsed.head, word)
	}
	if write {
		parsed.body = resp.AppendBulk(make([]byte, 0, len(words[4])+16), words[4])
	}
	return parsed, class, nil
}

// parseOptions parses the options, such as "c=lookup,d=500": the class (c), the client's timeout in milliseconds (d),
// an idempotency key (k) and whether it is a retry (r). The class is negative if it is missing or unknown.
func (m *message) parseOptions(config *configstate.Version, options []byte) (class int, err error) {
	class = -1
	for at, rest := 0, options; len(rest) > 0; {
		pair, after, _ := bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !isWord(value) {
			return 0, fmt.Errorf("%.32q is no name and value", pair)
		}
		switch string(name) {
		case "c":
			class = config.ClassNamed(value)
		case "d":
			millis, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || millis == 0 || m.timeoutOffset >= 0 {
				return 0, fmt.Errorf("d: %.32q is no number of milliseconds", value)
			}
			m.timeoutSeconds, m.timeoutOffset = float64(millis)/1000, at+len("d=")
			m.options = append(append(m.options, options[:m.timeoutOffset]...), options[at+len(pair):]...)
		case "k":
			m.hasIdempotencyKey = true
		case "r":
			m.clientRetry = string(value) == "1"
		default:
			return 0, fmt.Errorf("unknown name %.32q", name)
		}
		at, rest = at+len(pair)+1, after
	}
	return class, nil
}

// checkOptions checks that the options are complete and match the class and the command.
func (m *message) checkOptions(config *configstate.Version, class int, command []byte, write bool) error {
	if class < 0 {
		return errors.New("no such class")
	}
	idempotency := config.Policy.Classes[class].Idempotency
	switch {
	case m.timeoutOffset < 0:
		return errors.New("no d")
	case write != (idempotency != policy.Idempotent):
		return fmt.Errorf("%s is not for this class", command)
	case m.hasIdempotencyKey != (idempotency == policy.IdempotentWithKey):
		return errors.New("k belongs to classes with a key, and to no others")
	}
	return nil
}

// isWord reports whether a word is a valid key, id or value: 1 to maxWordBytes printable ASCII characters without
// spaces.
func isWord(word []byte) bool {
	for _, c := range word {
		if c <= ' ' || c >= 127 {
			return false
		}
	}
	return len(word) > 0 && len(word) <= maxWordBytes
}
