package loadshed

// While the process sheds, requests of a client above its fair share are shed before those of others. The fair share is
// a multiple of the clients' mean work over recent windows.
const (
	fairShareFactor   = 2.0    // fair share, as a multiple of the mean work per client
	maxTrackedClients = 10_000 // clients tracked in a window
	minClientWork     = 0.5    // a client whose decayed work is below this is no longer tracked
	clientWorkDecay   = 0.5    // factor applied to a client's work at the end of each window
)

// countClient adds a request's cost to the work that its client offered. Clients beyond maxTrackedClients are not
// tracked.
func (s *Shedder) countClient(client uint64, cost float64) {
	if len(s.workByClient) < maxTrackedClients || s.workByClient[client] > 0 {
		s.workByClient[client] += cost
		s.clientWork += cost
	}
}

// drawAboveFairShare reports whether a client's request counts as above the client's fair share. The choice is random,
// so that the requests above the share are spread evenly among the client's requests.
func (s *Shedder) drawAboveFairShare(client uint64) bool {
	clients := float64(len(s.workByClient))
	if clients <= 1 || s.shedShare <= 0 {
		return false
	}
	fairWork := fairShareFactor * s.clientWork / clients
	return s.workByClient[client] > fairWork && s.draw() > fairWork/s.workByClient[client]
}

// decayClientWork decays the work of each client, and stops tracking clients that have become idle.
func (s *Shedder) decayClientWork() {
	s.clientWork = 0
	for client, work := range s.workByClient {
		work *= clientWorkDecay
		if work < minClientWork {
			delete(s.workByClient, client)
			continue
		}
		s.workByClient[client] = work
		s.clientWork += work
	}
}
