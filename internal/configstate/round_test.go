package configstate

import "fmt"

func Example_round() {
	v := made(5, []string{"a"}, 0)
	show := func(what string, r *Proposal, now float64, listNo uint64) {
		o, err := r.Decide(now, []string{"e1", "e2"}, listNo)
		fmt.Println(what+":", o, err)
	}
	r := NewProposal(v, 0, 2)
	show("proposed", r, 0, 0)
	r.OnRouterStatus("e1", 4, 5, 0, "")
	r.OnRouterStatus("e2", 4, 4, 3, "an earlier one")
	show("one fits", r, 1, 0)
	show("the other is silent", r, 2, 0)
	r.OnRouterStatus("e2", 5, 0, 0, "")
	show("it has it in force already", r, 1, 0)
	r = NewProposal(v, 0, 2)
	r.OnRouterStatus("e1", 4, 5, 0, "")
	r.OnRouterStatus("e2", 4, 0, 5, "commands in hand")
	show("one can not", r, 0, 0)
	r = NewProposal(made(6, []string{"a"}, 9), 0, 2)
	r.OnRouterStatus("e1", 4, 6, 0, "")
	r.OnRouterStatus("e2", 4, 6, 0, "")
	show("the list lacks", r, 1, 8)
	show("and does not come", r, 3, 8)
	show("and comes", r, 1, 9)
	o, err := NewProposal(v, 0, 2).Decide(0, nil, 0)
	fmt.Println("no edge alive:", o, err)
	// Output:
	// proposed: waits <nil>
	// one fits: waits <nil>
	// the other is silent: turned down no word in time from edges e2
	// it has it in force already: applied <nil>
	// one can not: turned down edge "e2": commands in hand
	// the list lacks: waits <nil>
	// and does not come: turned down list version 9 did not come in time; 8 is here
	// and comes: applied <nil>
	// no edge alive: applied <nil>
}
