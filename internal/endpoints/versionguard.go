package endpoints

import "fmt"

// versionResetSeconds is the time for which only outdated lists must have come before one is accepted. It is longer than any
// replica of a list service should be behind.
const versionResetSeconds = 60.0

// VersionGuard decides by version whether an update may replace the list in force. An outdated replica of the service may
// for a while send lists that are older than the list in force; applying them would restore endpoints that have drained or
// left since. If nothing but older lists arrives for versionResetSeconds, the guard assumes that the service has begun its
// version numbers anew, and accepts them.
type VersionGuard struct {
	outdatedSince float64 // instant of the first of consecutive outdated updates; 0 if the last update was current
}

// Check returns an error if an update is outdated: a partial one always, a full one until versionResetSeconds are over. now
// is in seconds on a monotonic clock.
func (g *VersionGuard) Check(update *Update, inForce uint64, now float64) error {
	if update.Version >= inForce {
		g.outdatedSince = 0
		return nil
	}
	if g.outdatedSince == 0 {
		g.outdatedSince = now
	}
	if update.Full && now-g.outdatedSince >= versionResetSeconds {
		return nil
	}
	return fmt.Errorf("endpoint list version %d is older than version %d, which is in force", update.Version, inForce)
}
