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
	commandRead  = "API.READ"  // for idempotent classes
	commandWrite = "API.WRITE" // for all other classes
	commandPing  = "PING"

	// Numbers of arguments, including the command's name.
	readArgCount  = 4
	writeArgCount = 5

	// maxTokenBytes bounds an id, a key, and the whole list of options.
	maxTokenBytes = 256
)

// parseCommand turns the arguments of a client's command into a message, and returns it with its class. The error's
// text is sent to the client.
func (resp2) parseCommand(config *configstate.Version, args [][]byte) (*message, int, error) {
	write := string(args[0]) == commandWrite
	switch {
	case !write && string(args[0]) != commandRead:
		return nil, 0, fmt.Errorf("unknown command %.32q", args[0])
	case !write && len(args) != readArgCount || write && len(args) != writeArgCount:
		return nil, 0, fmt.Errorf("%s with %d words", args[0], len(args)-1)
	}
	key, id, options := args[1], args[2], args[3]
	if !isToken(key) || !isToken(id) || len(options) > maxTokenBytes {
		return nil, 0, errors.New("no key or no id, or one that can't be meant")
	}
	parsed := &message{id: string(id), keyHash: max(1, xxhash.Sum64(key)), timeoutOffset: -1}
	class, err := parsed.parseOptions(config, options)
	if err != nil {
		return nil, 0, err
	}
	if err := parsed.checkOptions(config, class, args[0], write); err != nil {
		return nil, 0, err
	}
	parsed.head = resp.AppendArray(make([]byte, 0, 32+len(key)+len(id)), len(args))
	for _, arg := range args[:3] {
		parsed.head = resp.AppendBulk(parsed.head, arg)
	}
	if write {
		parsed.body = args[4]
	}
	return parsed, class, nil
}

// parseOptions parses the options, such as "c=lookup,d=500": the class (c), the client's timeout in milliseconds (d),
// an idempotency key (k) and whether the command is a retry (r=1). It returns a negative class if c is missing or
// unknown.
func (m *message) parseOptions(config *configstate.Version, options []byte) (class int, err error) {
	class = -1
	for offset, rest := 0, options; len(rest) > 0; {
		pair, following, _ := bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(pair, []byte("="))
		if !ok || !isToken(value) {
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
			m.timeoutSeconds, m.timeoutOffset = float64(millis)/1000, offset+len("d=")
			m.options = append(append(m.options, options[:m.timeoutOffset]...), options[offset+len(pair):]...)
		case "k":
			m.idempotencyHash = max(1, xxhash.Sum64(value))
		case "r":
			m.clientRetry = string(value) == "1"
		default:
			return 0, fmt.Errorf("unknown name %.32q", name)
		}
		offset, rest = offset+len(pair)+1, following
	}
	return class, nil
}

// checkOptions returns an error unless the options are complete and match the class and the command.
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
	case (m.idempotencyHash != 0) != (idempotency == policy.IdempotentWithKey):
		return errors.New("k belongs to classes with a key, and to no others")
	}
	return nil
}

// isToken reports whether the bytes are a valid key, id or option value: 1 to maxTokenBytes printable ASCII characters
// without spaces.
func isToken(token []byte) bool {
	for _, char := range token {
		if char <= ' ' || char >= 127 {
			return false
		}
	}
	return len(token) > 0 && len(token) <= maxTokenBytes
}
