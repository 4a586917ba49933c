package loadshed

// While the process sheds, requests of a client above its fair share are shed before those of others. The fair share is
// a multiple of the clients' mean work over the last windows.
const (
	fairShareFactor = 2.0    // multiple of the mean work per client that is still fair
	maxClients      = 10_000 // clients tracked in a window
	minClientWork   = 0.5    // a client with less work in a window is forgotten
	clientWorkKept  = 0.5    // share of a client's work that is kept from window to window
)

// countClient adds to the work that a client offered. Clients beyond maxClients are not tracked.
func (s *Shedder) countClient(client uint64, cost float64) {
	if len(s.workByClient) < maxClients || s.workByClient[client] > 0 {
		s.workByClient[client] += cost
		s.clientWork += cost
	}
}

// drawAboveFairShare reports whether a client's request counts as above its fair share. The choice is random, so that
// the excess is spread over time as the client's requests are.
func (s *Shedder) drawAboveFairShare(client uint64) bool {
	clients := float64(len(s.workByClient))
	if clients <= 1 || s.shedShare <= 0 {
		return false
	}
	fair := fairShareFactor * s.clientWork / clients
	return s.workByClient[client] > fair && s.draw() > fair/s.workByClient[client]
}

// fadeClients decays the work of each client, and forgets clients that have become idle.
func (s *Shedder) fadeClients() {
	s.clientWork = 0
	for client, work := range s.workByClient {
		work *= clientWorkKept
		if work < minClientWork {
			delete(s.workByClient, client)
			continue
		}
		s.workByClient[client] = work
		s.clientWork += work
	}
}
