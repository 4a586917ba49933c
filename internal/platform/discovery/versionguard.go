package discovery

// VersionGuard decides which full lists to accept by their versions. A list with an older version than the one in force would bring back
// endpoints that drained or left since, as an outdated replica of the service sends it for a while. Where nothing else comes, the
// service has begun its versions anew.
type VersionGuard struct {
	outdatedSince float64 // when the first of the outdated lists came, 0: the last list was none
}

// Accepts reports whether a full list may replace the one in force: it is no older, or only older ones came for resetSeconds. now is in
// seconds.
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
