package simadapter

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strings"
)

const termsText = "balancers=1\nround=5\ndiscovery=push\npolicy_limits.parallel_tries=false\npolicy_limits.may_cancel=true\n" +
	"policy_limits.max_retry_after=1000\npolicy_limits.send_cap=3\npolicy_limits.conn_idle=15000\npolicy_limits.max_streams=100\nrules.cold_from=0.3\n" +
	"rules.warm_up=4000\nrules.fall_multiple=3\nrules.fall=2000\nfamily_info.window=4000\nfamily_info.spare_tries=1\n" +
	"family_info.exposure_caps=0.1,1.0\nfamily_info.waves=0.1,1.0\nfamily_info.counts=all\nfamily_info.shielded=0\n" +
	"family_info.forward_only=false\nfamily_info.gate_mode=by_count\nfamily_info.replace_mode=replace\n" +
	"family_info.noes_needed=1\nfamily_info.harm_fee=3\nfamily_info.stale_build_price=0.5\nfamily_info.reported_share=0.2\n" +
	"family_info.vote_life=10000\nfamily_info.api_timeout=800\nfamily_info.votes_per_s=10\n" +
	"unheard.of=1\nclasses.count=1\nclasses.0.aim=300\nclasses.0.deadline=600\nclasses.0.value=1\n" +
	"classes.0.semantics=unsafe\nclasses.0.group=all\nclasses.0.key_ttl=0\n"

// rec makes an event: its code, its instance (not for a table) and further fields by offset.
func rec(code byte, inst uint32, fields map[int]any) []byte {
	r := make([]byte, eventLen)
	r[0] = code
	binary.LittleEndian.PutUint32(r[1:], inst)
	for at, v := range fields {
		if _, err := binary.Encode(r[at:], binary.LittleEndian, v); err != nil {
			panic(err)
		}
	}
	return r
}

func frame(ms float64, tail string, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	f := binary.LittleEndian.AppendUint32(nil, uint32(len(body)+len(tail)))
	f = binary.LittleEndian.AppendUint64(f, math.Float64bits(ms))
	f = binary.LittleEndian.AppendUint32(f, uint32(len(records)))
	return append(append(f, body...), tail...)
}

func serve(frames ...[]byte) (string, error) {
	var out bytes.Buffer
	err := Serve(bytes.NewReader(bytes.Join(frames, nil)), &out)
	names := map[byte]string{bounce: "bounce", ruling: "ruling", route: "route", lose: "lose", recall: "recall", remind: "remind"}
	var text []string
	for b := out.Bytes(); len(b) > 0; {
		n := int(binary.LittleEndian.Uint32(b[4:]))
		for range n {
			a := record(b[8:])
			text = append(text, fmt.Sprintf("%s/%d:%d", names[a[0]], a.u32(1), a.u32(5)))
			b = b[actionLen:]
		}
		text, b = append(text, "."), b[8:]
	}
	return strings.Join(text, " "), err
}

func hi(inst uint32) []byte {
	return rec(hello, inst, map[int]any{5: uint64(9), 13: uint32(0), 17: uint32(len(termsText))})
}

// A batch of all that matters: a table of one unit, two lives of an instance, a command, its outcome, stale events.
func Example_roundTrip() {
	entry := string(rec(9, 0, map[int]any{0: uint32(77), 15: float32(1)})[:entryLen])
	tab := rec(table, 0, map[int]any{1: uint16(3), 3: uint32(len(termsText)), 7: uint32(1)})
	list := rec(directoryUpdate, 5, map[int]any{5: byte(2), 10: uint16(3)})
	cmd := func(id uint32) []byte { return rec(ingress, 5, map[int]any{5: id, 9: 600.0}) }
	end := func(id uint32, verdict uint16) []byte {
		return rec(outcome, 5, map[int]any{5: id, 11: uint32(77), 15: verdict, 17: 9.0})
	}
	fmt.Println(serve(frame(0, ""),
		frame(1e3, termsText+entry, tab, hi(5), list, rec(down, 5, nil), hi(5), list, cmd(41)),
		frame(2e3, "", end(41, 0), end(41, 0), cmd(42), rec(vanished, 5, map[int]any{5: uint32(42)}), end(99, 1)),
		frame(3e3, "", end(42, 1), rec(elapsed, 5, map[int]any{5: uint64(123)}), cmd(43), rec(down, 8, nil))))
	// Output:
	// . remind/5:0 remind/5:0 route/5:41 . lose/5:41 route/5:42 recall/5:42 . route/5:43 . <nil>
}

// Bad input ends the adapter with one plain line.
func Example_badInput() {
	good := frame(1, termsText, hi(1))
	broken := bytes.Replace(good, []byte("rules.fall="), []byte("rules.fell="), 1)
	noNumber := bytes.Replace(good, []byte("window=4000"), []byte("window=four"), 1)
	op := rec(ingress, 1, map[int]any{17: byte(7)})
	for _, in := range [][]byte{
		good[:2], good[:len(good)-1], {255, 255, 255, 255}, {8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1},
		frame(1, "", rec(3, 1, nil)), frame(1, "", hi(1)), broken, noNumber, frame(1, termsText, hi(1), op),
		frame(1, "", rec(table, 0, map[int]any{1: uint16(16)})), frame(1, "", rec(table, 0, map[int]any{7: uint32(1)})),
		frame(1, termsText, hi(1), rec(directoryUpdate, 1, map[int]any{5: byte(4)})),
	} {
		_, err := serve(in)
		fmt.Println(err)
	}
	// Output:
	// frame cut off in its length
	// frame of 960 bytes cut off
	// frame of 4294967295 bytes
	// frame of 20 bytes holds no 1 records
	// unknown event code 3
	// tail reference 0+900 outside a tail of 0 bytes
	// setting rules.fall is missing
	// setting family_info.window is no number: "four"
	// unknown class 7
	// table number 16
	// tail reference 0+27 outside a tail of 0 bytes
	// unknown list kind 4
}

// A large list and a large batch: 400 units, 300 instances that start on it, a command for each.
func Example_large() {
	var entries strings.Builder
	for i := range 400 {
		entries.Write(rec(9, 0, map[int]any{0: uint32(1000 + i), 15: float32(1)})[:entryLen])
	}
	recs := [][]byte{rec(table, 0, map[int]any{3: uint32(len(termsText)), 7: uint32(400)})}
	for i := range uint32(300) {
		recs = append(recs, hi(i), rec(directoryUpdate, i, map[int]any{5: byte(2)}),
			rec(ingress, i, map[int]any{5: i, 9: 600.0}))
	}
	out, err := serve(frame(1e3, termsText+entries.String(), recs...))
	fmt.Println(strings.Count(out, "remind"), "timers,", strings.Count(out, "route"), "routes", err)
	// Output: 300 timers, 300 routes <nil>
}
