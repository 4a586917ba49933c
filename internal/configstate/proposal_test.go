package configstate

import "fmt"

// A proposal is decided by the routers' reports, by the endpoint list's version, or by its timeout.
func ExampleProposal() {
	version := newVersion(5, []string{"a"}, 0)
	show := func(event string, proposal *Proposal, now float64, listVersion uint64) {
		outcome, err := proposal.Decide(now, Routers{Alive: []string{"e1", "e2"}, Known: true}, listVersion)
		fmt.Println(event+":", outcome, err)
	}
	proposal := NewProposal(version, 0, 2)
	show("proposed", proposal, 0, 0)
	proposal.OnRouterStatus("e1", RouterStatus{InForce: VersionID{Number: 4}, Applicable: VersionID{Number: 5}})
	proposal.OnRouterStatus("e2", RouterStatus{InForce: VersionID{Number: 4}, Applicable: VersionID{Number: 4}, Rejected: VersionID{Number: 3}, Reason: "reason for another version"})
	show("one router accepts", proposal, 1, 0)
	show("the other does not answer in time", proposal, 2, 0)
	proposal.OnRouterStatus("e2", RouterStatus{InForce: VersionID{Number: 5}})
	show("the other has already applied it", proposal, 1, 0)
	proposal = NewProposal(version, 0, 2)
	proposal.OnRouterStatus("e1", RouterStatus{InForce: VersionID{Number: 4}, Applicable: VersionID{Number: 5}})
	proposal.OnRouterStatus("e2", RouterStatus{InForce: VersionID{Number: 4}, Rejected: VersionID{Number: 5}, Reason: "commands in hand"})
	show("one router cannot apply it", proposal, 0, 0)
	proposal = NewProposal(newVersion(6, []string{"a"}, 9), 0, 2)
	proposal.OnRouterStatus("e1", RouterStatus{InForce: VersionID{Number: 4}, Applicable: VersionID{Number: 6}})
	proposal.OnRouterStatus("e2", RouterStatus{InForce: VersionID{Number: 4}, Applicable: VersionID{Number: 6}})
	show("its endpoint list is missing", proposal, 1, 8)
	show("its endpoint list does not arrive in time", proposal, 3, 8)
	show("its endpoint list arrives", proposal, 1, 9)
	outcome, err := NewProposal(version, 0, 2).Decide(0, Routers{Known: true}, 0)
	fmt.Println("no router alive:", outcome, err)
	proposal = NewProposal(version, 0, 2)
	outcome, err = proposal.Decide(5, Routers{}, 0)
	fmt.Println("no router has reported to a new process yet:", outcome, err)
	proposal.OnRouterStatus("e1", RouterStatus{InForce: VersionID{Number: 4}, Rejected: VersionID{Number: 5}, Reason: "commands in hand"})
	outcome, err = proposal.Decide(5, Routers{Alive: []string{"e1"}}, 0)
	fmt.Println("the first one that reports cannot apply it:", outcome, err)
	// Output:
	// proposed: waits <nil>
	// one router accepts: waits <nil>
	// the other does not answer in time: turned down no word in time from edges e2
	// the other has already applied it: applied <nil>
	// one router cannot apply it: turned down edge "e2": commands in hand
	// its endpoint list is missing: waits <nil>
	// its endpoint list does not arrive in time: turned down list version 9 did not come in time; 8 is here
	// its endpoint list arrives: applied <nil>
	// no router alive: applied <nil>
	// no router has reported to a new process yet: waits <nil>
	// the first one that reports cannot apply it: turned down edge "e1": commands in hand
}

// A router's answer counts for the text that it is about. The answer of a program that tells only the number counts for any
// text under it.
func ExampleProposal_mendedText() {
	version := newVersion(5, []string{"a"}, 0)
	mended := newVersion(5, []string{"a", "b"}, 0)
	show := func(event string, status RouterStatus) {
		proposal := NewProposal(mended, 0, 2)
		proposal.OnRouterStatus("e1", status)
		outcome, err := proposal.Decide(0, Routers{Alive: []string{"e1"}, Known: true}, 0)
		fmt.Println(event+":", outcome, err)
	}
	show("accepts the text before", RouterStatus{Applicable: version.ID()})
	show("rejects the text before", RouterStatus{Rejected: version.ID(), Reason: "commands in hand"})
	show("has the text before in force", RouterStatus{InForce: version.ID()})
	show("accepts the mended text", RouterStatus{Applicable: mended.ID()})
	show("accepts the number", RouterStatus{Applicable: VersionID{Number: 5}})
	// Output:
	// accepts the text before: waits <nil>
	// rejects the text before: waits <nil>
	// has the text before in force: waits <nil>
	// accepts the mended text: applied <nil>
	// accepts the number: applied <nil>
}
