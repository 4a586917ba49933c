package policy

import "maps"

// One-way keys (rule 5 of package invariants): once a build has answered a key, no request with this key is sent to an
// earlier build. The number of remembered keys is bounded: a canary must not answer a key that can't be remembered.

// keyAllows reports whether a request's key permits an endpoint's build.
func (b *Balancer) keyAllows(r *Request, e *endpoint) bool {
	if !b.config.OneWayKeys || r.Key == 0 {
		return true
	}
	build, known := b.buildByKey[r.Key]
	if e.build < max(build, b.keyFloorBuild) {
		return false
	}
	canRemember := known || b.config.MaxRememberedKeys == 0 || len(b.buildByKey) < b.config.MaxRememberedKeys
	return canRemember || !b.isCanary(e.build)
}

// rememberKey records which build answered a key. When MaxRememberedKeys is reached and the newest build has been
// released, every key counts as answered by that build, as will soon be true anyway.
func (b *Balancer) rememberKey(key uint64, build int) {
	if build <= b.keyFloorBuild {
		return
	}
	b.buildByKey[key] = max(b.buildByKey[key], build)
	full := b.config.MaxRememberedKeys > 0 && len(b.buildByKey) >= b.config.MaxRememberedKeys
	if full && b.release.known && b.release.phase == PhaseReleased {
		b.keyFloorBuild = b.release.build
		clear(b.buildByKey)
	}
}

// forgetKeys drops the keys that were answered by the oldest ready build or an earlier one. If a still earlier build is
// deployed again, it receives no requests with keys.
func (b *Balancer) forgetKeys() {
	if b.config.MaxRememberedKeys > 0 && b.readyCount > 0 && b.oldestBuild > b.keyFloorBuild {
		b.keyFloorBuild = b.oldestBuild
		maps.DeleteFunc(b.buildByKey, func(_ uint64, build int) bool { return build <= b.keyFloorBuild })
	}
}
