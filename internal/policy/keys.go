package policy

import "maps"

// One-way keys (rule 5): once a build has answered a key, the key never goes to an earlier build. The memory is bounded: what can't be
// remembered must not be answered by a canary.

// keyAllows tells whether a request's key may go to an endpoint's build.
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

// rememberKey notes which build answered a key. When a released build's keys fill the memory, all keys count as its own, which is what
// they are about to be.
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

// forgetKeys drops keys whose build is the oldest one left. An earlier build that comes back gets no keys.
func (b *Balancer) forgetKeys() {
	if b.config.MaxRememberedKeys > 0 && b.readyCount > 0 && b.oldestBuild > b.keyFloorBuild {
		b.keyFloorBuild = b.oldestBuild
		maps.DeleteFunc(b.buildByKey, func(_ uint64, build int) bool { return build <= b.keyFloorBuild })
	}
}
