package configstate

import "fmt"

// A proposal is decided by the routers' reports or by its timeout.
func ExampleProposal() {
	v := newVersion(5, []string{"a"}, 0)
	show := func(what string, p *Proposal, now float64, listVersion uint64) {
		outcome, err := p.Decide(now, []string{"e1", "e2"}, listVersion)
		fmt.Println(what+":", outcome, err)
	}
	p := NewProposal(v, 0, 2)
	show("proposed", p, 0, 0)
	p.OnRouterStatus("e1", 4, 5, 0, "")
	p.OnRouterStatus("e2", 4, 4, 3, "an earlier one")
	show("one accepts", p, 1, 0)
	show("the other does not answer", p, 2, 0)
	p.OnRouterStatus("e2", 5, 0, 0, "")
	show("the other has applied it already", p, 1, 0)
	p = NewProposal(v, 0, 2)
	p.OnRouterStatus("e1", 4, 5, 0, "")
	p.OnRouterStatus("e2", 4, 0, 5, "commands in hand")
	show("one can not apply it", p, 0, 0)
	p = NewProposal(newVersion(6, []string{"a"}, 9), 0, 2)
	p.OnRouterStatus("e1", 4, 6, 0, "")
	p.OnRouterStatus("e2", 4, 6, 0, "")
	show("its list is missing", p, 1, 8)
	show("and does not come", p, 3, 8)
	show("and comes", p, 1, 9)
	outcome, err := NewProposal(v, 0, 2).Decide(0, nil, 0)
	fmt.Println("no router alive:", outcome, err)
	// Output:
	// proposed: waits <nil>
	// one accepts: waits <nil>
	// the other does not answer: turned down no word in time from edges e2
	// the other has applied it already: applied <nil>
	// one can not apply it: turned down edge "e2": commands in hand
	// its list is missing: waits <nil>
	// and does not come: turned down list version 9 did not come in time; 8 is here
	// and comes: applied <nil>
	// no router alive: applied <nil>
}
