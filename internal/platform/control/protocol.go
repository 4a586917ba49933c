package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"flintspread/internal/policy"
	"flintspread/internal/releases"
)

// The platform's lines end in CRLF, and their fields are separated by one space. A line whose first field is pushPrefix
// is a push, or a heartbeat if that is its only field; any other line is the reply to the oldest pending call.
const (
	pushPrefix      = "*"
	progressPush    = "progress"  // * progress BUILD STAGE PHASE CAP AGE_MS
	wrongAnswerPush = "complaint" // * complaint HOST CLASS AGE_MS
	metricsPush     = "metrics"   // * metrics BUILD CLASS, followed by four counts
	okReply         = "OK"
	errorReply      = "ERR"

	progressFieldCount    = 5 // BUILD STAGE PHASE CAP AGE_MS, which a reply to a vote also contains
	wrongAnswerFieldCount = 3
	metricsFieldCount     = 6
)

// phaseByWord maps the platform's words for phases to the phases of a releases.Update.
var phaseByWord = map[string]string{
	"trial":        "on-trial",
	"rolling_back": "going-back",
	"released":     "released",
	"withdrawn":    "withdrawn",
}

// verdictWords holds the platform's words for verdicts, indexed by policy.Verdict.
var verdictWords = [...]string{"WITHDRAW", "PROCEED", "HOLD", "ROLLBACK"}

// voteReplyByError maps the errors that the platform may reply to a vote to the policy's replies.
var voteReplyByError = map[string]policy.VoteReply{
	"Throttling":      policy.VoteRefused,
	"ConditionFailed": policy.VoteMoot,
	"InternalFailure": policy.VoteRefused,
	"ValidationError": policy.VoteRefused,
}

// ParseRelease parses a release state in the JSON format of the platform's configuration file. If text is empty or null,
// it returns nil without an error.
func ParseRelease(text []byte, stageCount int) (*releases.Update, error) {
	if len(text) == 0 || string(text) == "null" {
		return nil, nil
	}
	var state struct {
		Build           int     `json:"build"`
		Stage           int     `json:"stage"`
		Phase           string  `json:"phase"`
		CanaryLimit     float64 `json:"cap"`
		AgeMilliseconds float64 `json:"age_ms"`
	}
	if err := json.Unmarshal(text, &state); err != nil {
		return nil, err
	}
	return newUpdate(state.Build, state.Stage, state.Phase, state.CanaryLimit, state.AgeMilliseconds, stageCount)
}

// newUpdate returns a validated update from the fields of a release state.
func newUpdate(build, stage int, phaseWord string, canaryLimit, ageMilliseconds float64, stageCount int) (*releases.Update, error) {
	phase, ok := phaseByWord[phaseWord]
	if !ok {
		return nil, fmt.Errorf("unknown phase %.32q", phaseWord)
	}
	update := &releases.Update{
		Build:       build,
		Stage:       stage,
		Phase:       phase,
		CanaryLimit: canaryLimit,
		AgeSeconds:  ageMilliseconds / 1000,
	}
	return update, update.Check(stageCount)
}

// parseProgress parses the fields BUILD STAGE PHASE CAP AGE_MS of a release state.
func parseProgress(fields []string, stageCount int) (*releases.Update, error) {
	if len(fields) != progressFieldCount {
		return nil, fmt.Errorf("release state has %d fields instead of %d", len(fields), progressFieldCount)
	}
	build, buildErr := strconv.ParseUint(fields[0], 10, 16)
	stage, stageErr := strconv.Atoi(fields[1])
	canaryLimit, limitErr := strconv.ParseFloat(fields[3], 64)
	ageMilliseconds, ageErr := strconv.ParseFloat(fields[4], 64)
	if err := errors.Join(buildErr, stageErr, limitErr, ageErr); err != nil {
		return nil, err
	}
	return newUpdate(int(build), stage, fields[2], canaryLimit, ageMilliseconds, stageCount)
}

// Message is a parsed line from the platform. A heartbeat and a push that the router does not use are the zero Message.
type Message struct {
	Release                    *releases.Update // state of the newest build; nil if the line has none
	WrongAnswerHost            string           // endpoint that gave a wrong answer; "" if the line has none
	WrongAnswerAgeMilliseconds float64
	IsReply                    bool             // whether the line is the reply to the oldest pending call
	VoteReply                  policy.VoteReply // set if the line is the reply to a vote
	FollowAccepted             bool             // whether the line accepts the follow call
}

// ParseLine parses one line without its CRLF. stageCount is the number of rollout stages; expectFollow tells whether the
// oldest pending call is the follow call. An error means that the line is malformed or unexpected.
func ParseLine(line string, stageCount int, expectFollow bool) (Message, error) {
	fields := strings.Split(line, " ")
	switch {
	case line == pushPrefix:
		return Message{}, nil
	case fields[0] == pushPrefix:
		return parsePush(fields[1], fields[2:], stageCount)
	default:
		return parseReply(fields, stageCount, expectFollow)
	}
}

func parsePush(kind string, fields []string, stageCount int) (message Message, err error) {
	switch {
	case kind == progressPush && len(fields) == progressFieldCount:
		message.Release, err = parseProgress(fields, stageCount)
	case kind == wrongAnswerPush && len(fields) == wrongAnswerFieldCount:
		message.WrongAnswerHost = fields[0]
		message.WrongAnswerAgeMilliseconds, err = parseAge(fields[2])
	case kind == metricsPush && len(fields) == metricsFieldCount:
		err = checkMetrics(fields)
	default:
		err = fmt.Errorf("invalid push %.32q with %d fields", kind, len(fields))
	}
	return message, err
}

func parseReply(fields []string, stageCount int, expectFollow bool) (Message, error) {
	switch {
	case fields[0] == errorReply && len(fields) == 2:
		reply, ok := voteReplyByError[fields[1]]
		if !ok {
			return Message{}, fmt.Errorf("unknown error %.32q", fields[1])
		}
		return Message{IsReply: true, VoteReply: reply}, nil
	case expectFollow && fields[0] == okReply && len(fields) == 1:
		return Message{IsReply: true, FollowAccepted: true}, nil
	case !expectFollow && fields[0] == okReply:
		state, err := parseProgress(fields[1:], stageCount)
		return Message{IsReply: true, VoteReply: policy.VoteCounted, Release: state}, err
	}
	return Message{}, errors.New("neither a push nor a valid reply")
}

// parseAge parses an age in milliseconds.
func parseAge(field string) (float64, error) {
	age, err := strconv.ParseFloat(field, 64)
	if err == nil && !(age >= 0) { // rejects NaN, too
		err = fmt.Errorf("age %v ms is not a number of at least 0", age)
	}
	return age, err
}

// checkMetrics validates the fields of a metrics push. The router does not use the platform's counts, since the policy
// keeps its own.
func checkMetrics(fields []string) error {
	for i, field := range fields {
		if i == 1 { // the request class
			continue
		}
		if _, err := strconv.ParseFloat(field, 64); err != nil {
			return err
		}
	}
	return nil
}
