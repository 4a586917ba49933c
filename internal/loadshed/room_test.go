package loadshed_test

import (
	"fmt"
	"slices"

	"flintspread/internal/loadshed"
)

// Who makes room, in order: silent ones first, then the longest idle, newcomers, half-spoken ones.
func ExampleGuest_Sooner() {
	const now = 10
	guests := map[string]loadshed.Guest{
		"half":      {Reading: true, Since: 1},
		"newcomer":  {Since: 9.9},
		"idle":      {Spoke: true, Since: 8},
		"idler":     {Spoke: true, Since: 7},
		"silent":    {Since: 9},
		"in hand":   {Busy: true, Spoke: true},
		"next came": {Reading: true, Spoke: true},
	}
	var names []string
	for name, g := range guests {
		if !g.Stays() {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		if guests[a].Sooner(now, guests[b]) {
			return -1
		}
		return 1
	})
	fmt.Println(names)
	for _, sockets := range []int{64, 256, 1024} {
		p := loadshed.Part(sockets, 64<<20)
		going := 0
		for !loadshed.Crammed(p.Clients+going, p.Clients) {
			going++
		}
		fmt.Println(sockets, p.Clients, p.Keep, p.Units, "left for the rest:", sockets-p.Clients-going-p.Units)
	}
	// Output:
	// [silent idler idle newcomer half]
	// 64 35 10 19 left for the rest: 6
	// 256 140 42 76 left for the rest: 23
	// 1024 563 170 307 left for the rest: 84
}
