package node

import (
	"fmt"
	"strings"
	"testing"

	"flintspread/internal/platform/discovery"
)

// Overtaken changes and invalid messages do not change the endpoint list, and host names are eventually forgotten.
func TestOvertakenAndInvalidDiscoveryMessages(t *testing.T) {
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
	apply(&discovery.Message{Version: 6, Members: []discovery.Member{member("b", "SERVING", 1)}}) // from the previous follower
	if got := fmt.Sprint(n.endpointList.Len(), n.endpointList.Version); got != "2 7" {
		t.Error(got)
	}
	for i := range 500 { // new endpoints each time
		apply(&discovery.Message{Version: uint64(8 + i), Full: true, Members: []discovery.Member{member(fmt.Sprint("x", i), "SERVING", i)}})
	}
	if n.endpointList.Len() != 1 || n.registry.EndpointID("x499") == 0 {
		t.Error(n.endpointList.Len())
	}
	late := n.proxy.Now() + 1000
	n.registry.Update(&discovery.Message{Full: true}, late)
	n.registry.Update(&discovery.Message{Full: true}, late+1000)
	if n.registry.Len() != 0 {
		t.Errorf("%d names kept", n.registry.Len())
	}
	for _, bad := range []discovery.Member{{}, member("a", "ILL", 1), member("a", "SERVING", -1), {Host: "a", Health: "SERVING", Address: "x"},
		{Host: "a", Health: "DELETED", Cell: 1e9}, {Host: "a", Health: "DELETED", Weight: -1}} {
		if err := (&discovery.Message{Members: []discovery.Member{bad}}).Check(); err == nil {
			t.Errorf("%+v was taken", bad)
		}
	}
}

// An outdated list is rejected: it would bring back endpoints that left. A service that restarted its versions is
// eventually accepted.
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
	old := &discovery.Message{Version: 8, Full: true, Members: []discovery.Member{member("a", "SERVING"), member("c", "SERVING")}}
	if err := apply(old); err == nil || !strings.Contains(err.Error(), "older") || s.node.endpointCount() != 2 || s.node.registry.EndpointID("c") != 0 {
		t.Errorf("%v, %d endpoints", err, s.node.endpointCount())
	}
	var guard discovery.VersionGuard
	for _, c := range []struct {
		version, inForce uint64
		at               float64
		want             bool
	}{{9, 9, 1, true}, {3, 9, 2, false}, {4, 9, 11, false}, {9, 9, 11.5, true}, {1, 9, 12, false}, {2, 9, 21.9, false}, {2, 9, 22, true}} {
		if got := guard.Accepts(c.version, c.inForce, c.at, 10); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// After several reloads with silent addresses, the last addresses are used, and none after the router has stopped.
func TestAddressChanges(t *testing.T) {
	silent, accepted := silentListener(t)
	s := newSite(t, 0, 1)
	discovery, platform, endOld := s.startServices(t, nil)
	startNode(t, discovery, platform, 0, s)
	waitFor(t, "the list", func() bool { return s.node.endpointCount() == 1 })
	cfg := *s.node.config
	cfg.DiscoveryAddress, cfg.PlatformAddress = silent, silent
	s.node.Reload(&cfg)
	waitFor(t, "a connection to the silent one", func() bool { return accepted() >= 2 })
	endOld()
	cfg.DiscoveryAddress, cfg.PlatformAddress, _ = s.startServices(t, nil)
	s.node.Reload(&cfg)
	if err := s.StartEndpoint(2, 1, 0); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the list of the third", func() bool { return s.node.endpointCount() == 2 })
	s.stopNode()
	before, follower := accepted(), s.node.currentFollower
	cfg.DiscoveryAddress, cfg.PlatformAddress = silent, silent
	s.node.Reload(&cfg)
	s.node.running.Wait()
	if accepted() != before || s.node.currentFollower != follower {
		t.Error("something is followed after the end")
	}
}
