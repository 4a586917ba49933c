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

// The platform's lines end in CRLF, and their fields are separated by one space. A line that starts with pushMark is a
// push; any other line is the reply to the oldest pending call.
const (
	pushMark        = "*"
	progressPush    = "progress"  // * progress BUILD STAGE PHASE CAP AGE_MS
	wrongAnswerPush = "complaint" // * complaint HOST CLASS AGE_MS
	metricsPush     = "metrics"   // * metrics BUILD CLASS N N N N
	okReply         = "OK"
	errorReply      = "ERR"

	progressFields    = 5 // number of fields of a release state
	wrongAnswerFields = 3
	metricsFields     = 6
)

// phaseNames maps the platform's words to the phases of a releases.Update.
var phaseNames = map[string]string{"trial": "on-trial", "rolling_back": "going-back", "released": "released", "withdrawn": "withdrawn"}

// verdictWords holds the platform's words, indexed by policy.Verdict.
var verdictWords = [...]string{"WITHDRAW", "PROCEED", "HOLD", "ROLLBACK"}

// errorReplies maps the platform's errors to their meaning for a vote.
var errorReplies = map[string]policy.VoteReply{
	"Throttling":      policy.VoteRefused,
	"ConditionFailed": policy.VoteMoot,
	"InternalFailure": policy.VoteRefused,
	"ValidationError": policy.VoteRefused,
}

// ParseRelease parses a release state in the JSON form of the platform's configuration file. It returns nil without an
// error if there is none. stages is the number of rollout stages.
func ParseRelease(text []byte, stages int) (*releases.Update, error) {
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
	return newUpdate(state.Build, state.Stage, state.Phase, state.CanaryLimit, state.AgeMilliseconds, stages)
}

func newUpdate(build, stage int, phaseWord string, canaryLimit, ageMilliseconds float64, stages int) (*releases.Update, error) {
	phase, ok := phaseNames[phaseWord]
	if !ok {
		return nil, fmt.Errorf("unknown phase %.32q", phaseWord)
	}
	update := &releases.Update{Build: build, Stage: stage, Phase: phase, CanaryLimit: canaryLimit, AgeSeconds: ageMilliseconds / 1000}
	return update, update.Check(stages)
}

// parseProgress parses the fields BUILD STAGE PHASE CAP AGE_MS of a release state.
func parseProgress(fields []string, stages int) (*releases.Update, error) {
	if len(fields) != progressFields {
		return nil, fmt.Errorf("a release state of %d fields", len(fields))
	}
	build, buildErr := strconv.ParseUint(fields[0], 10, 16)
	stage, stageErr := strconv.Atoi(fields[1])
	canaryLimit, limitErr := strconv.ParseFloat(fields[3], 64)
	age, ageErr := strconv.ParseFloat(fields[4], 64)
	if err := errors.Join(buildErr, stageErr, limitErr, ageErr); err != nil {
		return nil, err
	}
	return newUpdate(int(build), stage, fields[2], canaryLimit, age, stages)
}

// Message is a parsed line of the platform. The zero Message is a heartbeat, or a push that the router does not use.
type Message struct {
	Release                    *releases.Update // state of the newest build; nil: not in this line
	WrongAnswerHost            string           // endpoint that gave a wrong answer; "": not in this line
	WrongAnswerAgeMilliseconds float64
	IsReply                    bool             // the line replies to the oldest pending call
	VoteReply                  policy.VoteReply // valid for the reply to a vote
	FollowAccepted             bool             // the line accepts the follow call
}

// Parse parses one line without its CRLF. expectFollow says that the oldest pending call is the follow call. An error
// means that the line is malformed or unexpected.
func Parse(line string, stages int, expectFollow bool) (Message, error) {
	fields := strings.Split(line, " ")
	switch {
	case line == pushMark:
		return Message{}, nil
	case fields[0] == pushMark:
		return parsePush(fields[1], fields[2:], stages)
	default:
		return parseReply(fields, stages, expectFollow)
	}
}

func parsePush(kind string, fields []string, stages int) (message Message, err error) {
	switch {
	case kind == progressPush && len(fields) == progressFields:
		message.Release, err = parseProgress(fields, stages)
	case kind == wrongAnswerPush && len(fields) == wrongAnswerFields:
		message.WrongAnswerHost = fields[0]
		message.WrongAnswerAgeMilliseconds, err = parseAge(fields[2])
	case kind == metricsPush && len(fields) == metricsFields:
		err = checkMetrics(fields)
	default:
		err = errors.New("a push of an unknown kind")
	}
	return message, err
}

func parseReply(fields []string, stages int, expectFollow bool) (Message, error) {
	switch {
	case fields[0] == errorReply && len(fields) == 2:
		reply, ok := errorReplies[fields[1]]
		if !ok {
			return Message{}, errors.New("unknown error")
		}
		return Message{IsReply: true, VoteReply: reply}, nil
	case expectFollow && fields[0] == okReply && len(fields) == 1:
		return Message{IsReply: true, FollowAccepted: true}, nil
	case !expectFollow && fields[0] == okReply:
		state, err := parseProgress(fields[1:], stages)
		return Message{IsReply: true, VoteReply: policy.VoteCounted, Release: state}, err
	}
	return Message{}, errors.New("no reply of the platform")
}

func parseAge(field string) (float64, error) {
	age, err := strconv.ParseFloat(field, 64)
	if err == nil && !(age >= 0) { // rejects NaN, too
		err = fmt.Errorf("age %v", age)
	}
	return age, err
}

// checkMetrics validates the platform's own counts. They are not used, since the policy keeps its own.
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
