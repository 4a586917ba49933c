package endpoints

import "testing"

// Guards against endpoints that get traffic again though they drain: an outdated full list was accepted over HTTP at once, and on
// the platform a minute after the one before, although current changes had come in between.
func TestVersionGuard(t *testing.T) {
	const inForce = 9
	var guard VersionGuard
	for _, step := range []struct {
		version uint64
		full    bool
		at      float64
		want    bool
	}{
		{9, true, 1, true},
		{3, true, 2, false},
		{4, true, 2 + versionResetSeconds - 0.1, false},
		{9, true, 70, true}, // begins anew
		{1, true, 71, false},
		{9, false, 72, true}, // current changes, too
		{1, true, 71 + versionResetSeconds, false},
		{8, false, 72 + 2*versionResetSeconds, false}, // older changes are never accepted
		{2, true, 71 + 2*versionResetSeconds, true},   // nothing but older lists for long enough
	} {
		err := guard.Check(&Update{Version: step.version, Full: step.full}, inForce, step.at)
		if got := err == nil; got != step.want {
			t.Errorf("%+v: accepted %v (%v)", step, got, err)
		}
	}
}
