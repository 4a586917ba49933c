package discovery

// VersionGuard decides by version which full lists to accept. A list that is older than the one in force, such as an
// outdated replica of the service sends for a while, would bring back endpoints that have drained or left since. If
// only older lists arrive for long enough, the service has restarted its version numbers.
type VersionGuard struct {
	outdatedSince float64 // when the first of consecutive outdated lists arrived; 0: the last list was current
}

// Accepts reports whether a full list may replace the one in force: it is not older, or only older lists have arrived
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
