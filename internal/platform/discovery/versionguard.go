package discovery

// VersionGuard decides by version which full lists to accept. An outdated replica of the service may for a while
// send lists that are older than the list in force; applying them would restore endpoints that have drained or left
// since. If only older lists arrive for long enough, the guard assumes that the service has restarted its version
// numbers, and accepts them.
type VersionGuard struct {
	outdatedSince float64 // instant of the first of consecutive outdated lists; 0 if the last list was current
}

// Accepts reports whether a full list may replace the list in force: it is not older, or only older lists have arrived
// for resetSeconds. now is in seconds on a monotonic clock.
func (g *VersionGuard) Accepts(version, inForce uint64, now, resetSeconds float64) bool {
	switch {
	case version >= inForce:
		g.outdatedSince = 0
	case g.outdatedSince == 0:
		g.outdatedSince = now
		return false
	case now-g.outdatedSince < resetSeconds:
		return false
	}
	return true
}
