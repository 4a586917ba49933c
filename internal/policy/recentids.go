package policy

// recentIDs remembers ids for a time, up to a number of them; above that, the oldest is forgotten. The zero value with its
// bounds set is ready for use.
type recentIDs struct {
	keepSeconds float64
	max         int

	ids    map[string]bool
	oldest []recentID // oldest first
}

type recentID struct {
	id      string
	addedAt float64
}

// add remembers an id. It returns false if the id is remembered already, and then does not extend its time.
func (r *recentIDs) add(now float64, id string) bool {
	if r.contains(now, id) {
		return false
	}
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	if len(r.oldest) == r.max {
		r.removeOldest()
	}
	r.ids[id] = true
	r.oldest = append(r.oldest, recentID{id, now})
	return true
}

// contains reports whether an id is remembered.
func (r *recentIDs) contains(now float64, id string) bool {
	for len(r.oldest) > 0 && now-r.oldest[0].addedAt > r.keepSeconds {
		r.removeOldest()
	}
	return r.ids[id]
}

func (r *recentIDs) removeOldest() {
	delete(r.ids, r.oldest[0].id)
	r.oldest[0] = recentID{}
	r.oldest = r.oldest[1:]
}
