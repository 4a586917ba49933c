package simadapter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
)

const settingsText = "balancers=1\nround=5\ndiscovery=push\npolicy_limits.parallel_tries=false\npolicy_limits.may_cancel=true\n" +
	"policy_limits.max_retry_after=1000\npolicy_limits.send_cap=3\npolicy_limits.conn_idle=15000\npolicy_limits.max_streams=100\nrules.cold_from=0.3\n" +
	"rules.warm_up=4000\nrules.fall_multiple=3\nrules.fall=2000\nfamily_info.window=4000\nfamily_info.spare_tries=1\n" +
	"family_info.exposure_caps=0.1,1.0\nfamily_info.waves=0.1,1.0\nfamily_info.counts=all\nfamily_info.shielded=0\n" +
	"family_info.forward_only=false\nfamily_info.gate_mode=by_count\nfamily_info.replace_mode=replace\n" +
	"family_info.noes_needed=1\nfamily_info.harm_fee=3\nfamily_info.stale_build_price=0.5\nfamily_info.reported_share=0.2\n" +
	"family_info.vote_life=10000\nfamily_info.api_timeout=800\nfamily_info.votes_per_s=10\n" +
	"unheard.of=1\nclasses.count=1\nclasses.0.aim=300\nclasses.0.deadline=600\nclasses.0.value=1\n" +
	"classes.0.semantics=unsafe\nclasses.0.group=all\nclasses.0.key_ttl=0\n"

// eventRecord encodes an event from its code, its instance (0 for an endpoint table) and its other fields by offset.
func eventRecord(code byte, instance uint32, fields map[int]any) []byte {
	r := make([]byte, eventBytes)
	r[0] = code
	binary.LittleEndian.PutUint32(r[1:], instance)
	for offset, value := range fields {
		if _, err := binary.Encode(r[offset:], binary.LittleEndian, value); err != nil {
			panic(err)
		}
	}
	return r
}

func frame(milliseconds float64, tail string, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+len(tail)))
	f = binary.LittleEndian.AppendUint64(f, math.Float64bits(milliseconds))
	f = binary.LittleEndian.AppendUint32(f, uint32(len(records)))
	return append(append(f, body...), tail...)
}

// serve returns the actions in response to frames, as NAME/INSTANCE:FIRST-FIELD, with a dot after those of each frame.
func serve(frames ...[]byte) (string, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	names := map[byte]string{actionReject: "reject", actionVote: "vote", actionSend: "send", actionFail: "fail", actionCancel: "cancel", actionSetTimer: "timer"}
	var text []string
	for b := out.Bytes(); len(b) > 0; {
		n := int(binary.LittleEndian.Uint32(b[4:]))
		for range n {
			action := record(b[8:])
			text = append(text, fmt.Sprintf("%s/%d:%d", names[action[0]], action.u32(1), action.u32(5)))
			b = b[actionBytes:]
		}
		text, b = append(text, "."), b[8:]
	}
	return strings.Join(text, " "), err
}

func startRecord(instance uint32) []byte {
	return eventRecord(eventStart, instance, map[int]any{5: uint64(9), 13: uint32(0), 17: uint32(len(settingsText))})
}

// Most kinds of events: a table of one endpoint, an instance that restarts, requests and their outcomes, and events that
// refer to requests, timers and instances that no longer exist.
func Example_roundTrip() {
	entry := string(eventRecord(9, 0, map[int]any{0: uint32(77), 15: float32(1)})[:endpointBytes])
	table := eventRecord(eventEndpointTable, 0, map[int]any{1: uint16(3), 3: uint32(len(settingsText)), 7: uint32(1)})
	list := eventRecord(eventEndpointList, 5, map[int]any{5: byte(2), 10: uint16(3)})
	request := func(id uint32) []byte { return eventRecord(eventRequest, 5, map[int]any{5: id, 9: 600.0}) }
	done := func(id uint32, outcome uint16) []byte {
		return eventRecord(eventAttemptDone, 5, map[int]any{5: id, 11: uint32(77), 15: outcome, 17: 9.0})
	}
	fmt.Println(serve(frame(0, ""),
		frame(1e3, settingsText+entry, table, startRecord(5), list, eventRecord(eventStop, 5, nil), startRecord(5), list, request(41)),
		frame(2e3, "", done(41, 0), done(41, 0), request(42), eventRecord(eventClientGone, 5, map[int]any{5: uint32(42)}), done(99, 1)),
		frame(3e3, "", done(42, 1), eventRecord(eventTimer, 5, map[int]any{5: uint64(123)}), request(43), eventRecord(eventStop, 8, nil))))
	// Output:
	// . timer/5:0 timer/5:0 send/5:41 . fail/5:41 send/5:42 cancel/5:42 . send/5:43 . <nil>
}

// Serve returns a one-line error for malformed input.
func Example_badInput() {
	good := frame(1, settingsText, startRecord(1))
	missingSetting := bytes.Replace(good, []byte("rules.fall="), []byte("rules.fell="), 1)
	notANumber := bytes.Replace(good, []byte("window=4000"), []byte("window=four"), 1)
	unknownClass := eventRecord(eventRequest, 1, map[int]any{17: byte(7)})
	for _, in := range [][]byte{
		good[:2], good[:len(good)-1], {255, 255, 255, 255}, {8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1},
		frame(1, "", eventRecord(3, 1, nil)), frame(1, "", startRecord(1)), missingSetting, notANumber, frame(1, settingsText, startRecord(1), unknownClass),
		frame(1, "", eventRecord(eventEndpointTable, 0, map[int]any{1: uint16(16)})), frame(1, "", eventRecord(eventEndpointTable, 0, map[int]any{7: uint32(1)})),
		frame(1, settingsText, startRecord(1), eventRecord(eventEndpointList, 1, map[int]any{5: byte(4)})),
	} {
		_, err := serve(in)
		fmt.Println(err)
	}
	// Output:
	// input ended within the length of a frame
	// input ended within a frame of 960 bytes
	// frame of 4294967295 bytes is larger than 1073741824 bytes
	// frame of 20 bytes is too short for 1 records
	// unknown event code 3
	// reference to 900 bytes at 0 exceeds the tail of 0 bytes
	// setting rules.fall is missing
	// setting family_info.window is not a number: "four"
	// request class 7, want 0 to 0
	// endpoint table 16, want 0 to 15
	// reference to 27 bytes at 0 exceeds the tail of 0 bytes
	// unknown endpoint list kind 4
}

// A large endpoint table and a large frame: 300 instances start with 400 endpoints and handle one request each.
func Example_large() {
	var entries strings.Builder
	for i := range 400 {
		entries.Write(eventRecord(9, 0, map[int]any{0: uint32(1000 + i), 15: float32(1)})[:endpointBytes])
	}
	records := [][]byte{eventRecord(eventEndpointTable, 0, map[int]any{3: uint32(len(settingsText)), 7: uint32(400)})}
	for i := range uint32(300) {
		records = append(records, startRecord(i), eventRecord(eventEndpointList, i, map[int]any{5: byte(2)}),
			eventRecord(eventRequest, i, map[int]any{5: i, 9: 600.0}))
	}
	out, err := serve(frame(1e3, settingsText+entries.String(), records...))
	fmt.Println(strings.Count(out, "timer"), "timers,", strings.Count(out, "send"), "attempts", err)
	// Output: 300 timers, 300 attempts <nil>
}
