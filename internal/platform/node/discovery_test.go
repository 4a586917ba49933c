package node

import (
	"fmt"
	"strings"
	"testing"

	"flintspread/internal/platform/discovery"
)

// Changes older than the endpoint list are skipped, invalid members are rejected, and hosts that left are eventually
// forgotten.
func TestOutdatedChangesAndInvalidMembers(t *testing.T) {
	s := startNode(t, "127.0.0.1:1", "127.0.0.1:1", 0, newSite(t, 0))
	defer s.stopNode()
	n := s.node
	member := func(host, health string, build int) discovery.Member {
		return discovery.Member{Host: host, Address: "127.0.0.1:1", Health: health, Build: float64(build)}
	}
	apply := func(message *discovery.Message) {
		if err := n.applyDiscovery(message); err != nil {
			t.Error(err)
		}
	}
	apply(&discovery.Message{Version: 5, Full: true, Members: []discovery.Member{member("a", "SERVING", 1), member("b", "SERVING", 1)}})
	apply(&discovery.Message{Version: 7, Members: []discovery.Member{member("b", "DELETED", 1), member("c", "DRAINING", 2)}})
	apply(&discovery.Message{Version: 6, Members: []discovery.Member{member("b", "SERVING", 1)}}) // late, from an older follower
	if got := fmt.Sprint(n.endpointList.Len(), n.endpointList.Version); got != "2 7" {
		t.Errorf("endpoints and version: %s, want 2 7", got)
	}
	for i := range 500 { // each full list replaces the only endpoint by a new one
		apply(&discovery.Message{Version: uint64(8 + i), Full: true, Members: []discovery.Member{member(fmt.Sprint("x", i), "SERVING", i)}})
	}
	if n.endpointList.Len() != 1 || n.registry.EndpointID("x499") == 0 {
		t.Errorf("%d endpoints, id %d", n.endpointList.Len(), n.registry.EndpointID("x499"))
	}
	late := n.proxy.Now() + 1000
	n.registry.Update(&discovery.Message{Full: true}, late)
	n.registry.Update(&discovery.Message{Full: true}, late+1000)
	if n.registry.Len() != 0 {
		t.Errorf("%d hosts remembered, want none", n.registry.Len())
	}
	for _, invalid := range []discovery.Member{{}, member("a", "ILL", 1), member("a", "SERVING", -1), {Host: "a", Health: "SERVING", Address: "x"},
		{Host: "a", Health: "DELETED", Cell: 1e9}, {Host: "a", Health: "DELETED", Weight: -1}} {
		if err := (&discovery.Message{Members: []discovery.Member{invalid}}).Check(); err == nil {
			t.Errorf("%+v was accepted", invalid)
		}
	}
}

// An outdated full list is rejected, since it would restore endpoints that left. If the service has restarted its version
// numbers, its lists are accepted after a while.
func TestOutdatedListRejected(t *testing.T) {
	s := startNode(t, "127.0.0.1:1", "127.0.0.1:1", 0, newSite(t, 0))
	defer s.stopNode()
	member := func(host, health string) discovery.Member {
		return discovery.Member{Host: host, Address: "127.0.0.1:1", Health: health, Build: 1}
	}
	apply := func(message *discovery.Message) error { return s.node.applyDiscovery(message) }
	if err := apply(&discovery.Message{Version: 9, Full: true, Members: []discovery.Member{member("a", "DRAINING"), member("b", "SERVING")}}); err != nil {
		t.Error(err)
	}
	outdated := &discovery.Message{Version: 8, Full: true, Members: []discovery.Member{member("a", "SERVING"), member("c", "SERVING")}}
	if err := apply(outdated); err == nil || !strings.Contains(err.Error(), "older") || s.node.endpointCount() != 2 || s.node.registry.EndpointID("c") != 0 {
		t.Errorf("%v, %d endpoints", err, s.node.endpointCount())
	}
	if err := apply(&discovery.Message{Version: 8, Members: []discovery.Member{member("c", "SERVING")}}); err != nil || s.node.registry.EndpointID("c") != 0 {
		t.Errorf("%v; want older changes to be skipped", err)
	}
}

// After two reloads, the first of them with addresses that accept connections but send nothing, the router uses the last
// addresses. A reload after the router has stopped does not connect.
func TestAddressChanges(t *testing.T) {
	silent, accepted := silentListener(t)
	s := newSite(t, 0, 1)
	discovery, platform, stopOld := s.startServices(t, nil)
	startNode(t, discovery, platform, 0, s)
	waitFor(t, "the first service's endpoint list", func() bool { return s.node.endpointCount() == 1 })
	cfg := *s.node.config
	cfg.DiscoveryAddress, cfg.PlatformAddress = silent, silent
	s.node.Reload(&cfg)
	waitFor(t, "both connections to the silent address", func() bool { return accepted() >= 2 })
	stopOld()
	cfg.DiscoveryAddress, cfg.PlatformAddress, _ = s.startServices(t, nil)
	s.node.Reload(&cfg)
	if err := s.StartEndpoint(2, 1, 0); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the last service's endpoint list", func() bool { return s.node.endpointCount() == 2 })
	s.stopNode()
	before, follower := accepted(), s.node.currentFollower
	cfg.DiscoveryAddress, cfg.PlatformAddress = silent, silent
	s.node.Reload(&cfg)
	s.node.running.Wait()
	if accepted() != before || s.node.currentFollower != follower {
		t.Errorf("after the stop: %d new connections, follower %d, want %d",
			accepted()-before, s.node.currentFollower, follower)
	}
}
