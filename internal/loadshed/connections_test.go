package loadshed_test

import (
	"fmt"
	"slices"

	"flintspread/internal/loadshed"
)

// The order of eviction: silent clients, then the longest idle, newly connected ones, and
// those sending a first request.
func ExampleClientConn_EvictBefore() {
	const now = 10
	conns := map[string]loadshed.ClientConn{
		"reading":      {Reading: true, IdleSince: 1},
		"new":          {IdleSince: 9.9},
		"idle":         {HasSentRequest: true, IdleSince: 8},
		"longest-idle": {HasSentRequest: true, IdleSince: 7},
		"silent":       {IdleSince: 9},
		"busy":         {Busy: true, HasSentRequest: true},
		"next-request": {Reading: true, HasSentRequest: true},
	}
	var names []string
	for name, conn := range conns {
		if !conn.Pinned() {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if conns[a].EvictBefore(now, conns[b]) {
			return -1
		}
		return 1
	})
	fmt.Println(names)
	for _, descriptors := range []int{64, 256, 1024} {
		limits := loadshed.SplitLimits(descriptors, 64<<20)
		closing := 0
		for !loadshed.OverCapacity(limits.ClientConns+closing, limits.ClientConns) {
			closing++
		}
		fmt.Println(descriptors, limits.ClientConns, limits.IdleEvictionThreshold, limits.EndpointConns, "left for the rest:", descriptors-limits.ClientConns-closing-limits.EndpointConns)
	}
	// Output:
	// [silent longest-idle idle new reading]
	// 64 35 10 19 left for the rest: 6
	// 256 140 42 76 left for the rest: 23
	// 1024 563 170 307 left for the rest: 84
}
