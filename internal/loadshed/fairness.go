package loadshed

// While the process sheds, what a client asks for above its fair share is shed before the requests of others. The fair share
// is a multiple of the mean over the clients of the last windows.
const (
	fairShareFactor = 2.0    // times the mean work of a client that are still fair
	maxClients      = 10_000 // clients told apart in a window
	minClientWork   = 0.5    // a client with less work in a window is forgotten
	clientWorkKept  = 0.5    // share of a client's work that is kept from window to window
)

// countClient notes work that a client offers. Clients beyond maxClients are not told apart.
func (s *Shedder) countClient(client uint64, cost float64) {
	if len(s.workByClient) < maxClients || s.workByClient[client] > 0 {
		s.workByClient[client] += cost
		s.clientWork += cost
	}
}

// drawAboveFairShare tells whether a client's request counts as above its fair share. That is decided by chance, so that what
// is above is spread over time as the client's requests are.
func (s *Shedder) drawAboveFairShare(client uint64) bool {
	clients := float64(len(s.workByClient))
	if clients <= 1 || s.shedShare <= 0 {
		return false
	}
	fair := fairShareFactor * s.clientWork / clients
	return s.workByClient[client] > fair && s.draw() > fair/s.workByClient[client]
}

// fadeClients lets older work count less, and forgets clients that have gone quiet.
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
