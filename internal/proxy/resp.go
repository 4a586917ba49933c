package proxy

import (
	"bufio"
	"fmt"
	"math"
	"strconv"

	"flintspread/internal/configstate"
	"flintspread/internal/loadshed"
	"flintspread/internal/platform/resp"
	"flintspread/internal/policy"
)

// resp2 is the platform's protocol: RESP2 with pipelined requests, each with an id. Answers are sent in the order of a
// connection's requests.
type resp2 struct{}

func (resp2) rejectedAnswer(_ *configstate.Version, retryAfterSeconds, _ float64) answer {
	if retryAfterSeconds <= 0 {
		return answer{bytes: []byte("-BUSY\r\n"), kind: kindRejected}
	}
	return answer{bytes: fmt.Appendf(nil, "-BUSY %d\r\n", int(math.Ceil(retryAfterSeconds*1000))), kind: kindRejected}
}

func (resp2) failedAnswer(*configstate.Version, bool) answer {
	return answer{bytes: []byte("-ERR " + textFailed + "\r\n"), kind: kindFailed}
}

func (resp2) tooManyConnections(float64) []byte { return []byte("-ERR too many connections\r\n") }

func (resp2) deliverAnswer(request *request, answer answer) {
	request.conn.completeAnswer(request.pending, answer.bytes)
}

func (resp2) connReuseDelaySeconds() float64 { return loadshed.ConnReuseDelaySeconds }

func (resp2) startsAtLastByte() bool { return true }

func (resp2) encodeAttempt(buf []byte, message *message, remainingSeconds float64) []byte {
	remainingMillis := strconv.AppendInt(nil, int64(max(1, remainingSeconds*1000)), 10)
	buf = append(buf, message.head...)
	options := make([]byte, 0, len(message.options)+8)
	options = append(options, message.options[:message.timeoutOffset]...)
	options = append(options, remainingMillis...)
	options = append(options, message.options[message.timeoutOffset:]...)
	buf = resp.AppendBulk(buf, options)
	if message.body == nil {
		return buf
	}
	return resp.AppendBulk(buf, message.body)
}

// readAnswer reads an endpoint's reply and extracts the value. It returns an error for a malformed or unexpected reply:
// the connection must be closed, and the attempt may have run.
func (resp2) readAnswer(br *bufio.Reader, reader *limitedReader, memory *memoryHold, _ *attempt) (endpointAnswer, error) {
	reader.remaining = noReadLimit // package resp bounds what it reads
	reply, err := resp.ReadReply(br, memory.tryGrowAnswer)
	switch {
	case err != nil:
		return endpointAnswer{}, err
	case reply.Values != nil && reply.Values[0] != nil:
		value := reply.Values[0]
		encoded := resp.AppendBulk(make([]byte, 0, len(value)+16), value)
		return endpointAnswer{answer: answer{bytes: encoded, kind: kindSucceeded}, outcome: policy.Succeeded, reusable: true}, nil
	case hasErrorCode(reply.Error, "BUSY"):
		return endpointAnswer{outcome: policy.Overloaded, reusable: true}, nil
	case hasErrorCode(reply.Error, "ERR failed"):
		return endpointAnswer{outcome: policy.ServerError, reusable: true}, nil
	}
	return endpointAnswer{}, fmt.Errorf("reply has no value and no known error code: error line %.60q, %d values", reply.Error, len(reply.Values))
}

// hasErrorCode reports whether an error line consists of a code, alone or followed by a space and a load report.
func hasErrorCode(line, code string) bool {
	return line == code || len(line) > len(code)+1 && line[:len(code)] == code && line[len(code)] == ' '
}
