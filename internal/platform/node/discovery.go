package node

import (
	"context"
	"fmt"
	"time"

	"flintspread/internal/endpoints"
	"flintspread/internal/platform/discovery"
	"flintspread/internal/watch"
)

// Limits of a discovery watch. The discovery agent runs on the same machine and sends a heartbeat every 2 s. The
// platform assumes that the router knows a change 6 s after it was sent, or as soon as an agent that was unavailable is
// back; the grace period of a drain starts then. Two watches that end because of silence, and a reconnect, fit into
// these 6 s; so do one watch that ends because of silence and a response that takes as long as it may.
const (
	discoverySilenceSeconds    = 2.5 // time without data after which a watch ends
	discoveryOpenSeconds       = 1.0 // time within which the response must begin, at first
	discoveryMaxOpenSeconds    = 3.0 // the same for an agent that is slow
	discoveryBackoffMinSeconds = 0.05
	discoveryBackoffMaxSeconds = 0.25
)

// After a change of address, the old address is followed until data arrives from the new one, at most for
// handoverTimeout.
const (
	handoverTimeout       = 1500 * time.Millisecond
	handoverCheckInterval = 100 * time.Millisecond // between checks for data from the new address
)

// follower watches the discovery service at one address. After a change of address, the old and the new follower run
// in parallel until the new one has received data, at most for handoverTimeout.
type follower struct {
	node    *Node
	number  int // the node numbers its followers from 1, in the order of their start
	address string
}

// followDiscovery starts a follower of the current discovery address, with two goroutines in n.running. Older followers
// end once this one has received data, or after handoverTimeout. It does nothing once the node is stopping.
func (n *Node) followDiscovery() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopping {
		return
	}
	n.currentFollower++
	f := &follower{node: n, number: n.currentFollower, address: n.discoveryAddress}
	ctx, stop := context.WithCancel(n.watches)
	n.running.Go(func() { watch.Follow(ctx, f.source(), f.onMessage, func() {}) })
	n.running.Go(func() {
		defer stop()
		f.waitForHandover()
	})
}

func (f *follower) source() watch.Source {
	n := f.node
	return watch.Source{
		SilenceSeconds:         discoverySilenceSeconds,
		ResponseTimeoutSeconds: discoveryOpenSeconds,
		MaxResponseSeconds:     discoveryMaxOpenSeconds,
		MaxObjectBytes:         n.maxListBytes,
		BackoffMinSeconds:      discoveryBackoffMinSeconds,
		BackoffMaxSeconds:      discoveryBackoffMaxSeconds,
		Log:                    n.log,
		Client:                 n.httpClient,
		NextURL:                f.nextURL,
		OnHeartbeat:            f.onHeartbeat,
	}
}

// nextURL returns the URL that requests the changes since the endpoint list in force.
func (f *follower) nextURL() string {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	return fmt.Sprintf("http://%s/catalog/members?stream=1&index=%d", f.address, n.endpointList.Version)
}

func (f *follower) onHeartbeat() {
	f.recordData()
	f.node.proxy.ConfirmEndpoints()
}

func (f *follower) onMessage(message *discovery.Message) error {
	if err := message.Check(); err != nil {
		return err
	}
	if replaced := f.recordData(); replaced && message.Full {
		return nil // full lists are applied only if they come from the current follower
	}
	if err := f.node.applyDiscovery(message); err != nil {
		return err
	}
	if f.node.endpointCount() > 0 {
		f.node.proxy.SetReady()
	}
	return nil
}

// recordData records that this follower has received a heartbeat or a valid message, and reports whether a newer
// follower has replaced it.
func (f *follower) recordData() (replaced bool) {
	n := f.node
	n.mu.Lock()
	defer n.mu.Unlock()
	n.newestConnectedFollower = max(n.newestConnectedFollower, f.number)
	return n.currentFollower != f.number
}

// waitForHandover blocks until this follower is no longer needed: a newer one has received data or has had
// handoverTimeout to do so, or the node stops.
func (f *follower) waitForHandover() {
	n := f.node
	ticker := time.NewTicker(handoverCheckInterval)
	defer ticker.Stop()
	for remaining := handoverTimeout; remaining > 0; {
		select {
		case <-n.watches.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		if n.currentFollower != f.number {
			remaining -= handoverCheckInterval
		}
		if n.newestConnectedFollower > f.number {
			remaining = 0
		}
		n.mu.Unlock()
	}
}

// applyDiscovery applies a validated discovery message to the endpoint list. It skips changes that are older than the
// list in force, since another follower has already delivered them. An outdated full list is an error. The registry learns
// only of messages that are applied.
func (n *Node) applyDiscovery(message *discovery.Message) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.proxy.Now()
	header := endpoints.Update{Version: message.Version, Full: message.Full}
	if err := n.versionGuard.Check(&header, n.endpointList.Version, now); err != nil {
		if !message.Full {
			return nil
		}
		return err
	}
	update := n.registry.Update(message, now)
	if err := update.Check(); err != nil {
		return err
	}
	changes, err := n.endpointList.Apply(update, now)
	if err != nil {
		return err
	}
	n.proxy.ApplyEndpoints(changes)
	return nil
}

func (n *Node) endpointCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.endpointList.Len()
}
