package loadshed_test

import (
	"fmt"
	"slices"

	"flintspread/internal/loadshed"
)

// Who makes room, in order: silent ones first, then the longest idle, newcomers, half-spoken ones.
func ExampleClientConn_EvictBefore() {
	const now = 10
	guests := map[string]loadshed.ClientConn{
		"half":      {Reading: true, IdleSince: 1},
		"newcomer":  {IdleSince: 9.9},
		"idle":      {HasSentRequest: true, IdleSince: 8},
		"idler":     {HasSentRequest: true, IdleSince: 7},
		"silent":    {IdleSince: 9},
		"in hand":   {Busy: true, HasSentRequest: true},
		"next came": {Reading: true, HasSentRequest: true},
	}
	var names []string
	for name, g := range guests {
		if !g.Pinned() {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if guests[a].EvictBefore(now, guests[b]) {
			return -1
		}
		return 1
	})
	fmt.Println(names)
	for _, sockets := range []int{64, 256, 1024} {
		p := loadshed.SplitLimits(sockets, 64<<20)
		going := 0
		for !loadshed.OverCapacity(p.ClientConns+going, p.ClientConns) {
			going++
		}
		fmt.Println(sockets, p.ClientConns, p.IdleEvictionThreshold, p.EndpointConns, "left for the rest:", sockets-p.ClientConns-going-p.EndpointConns)
	}
	// Output:
	// [silent idler idle newcomer half]
	// 64 35 10 19 left for the rest: 6
	// 256 140 42 76 left for the rest: 23
	// 1024 563 170 307 left for the rest: 84
}
