package lease

import "fmt"

// Schema is the link's version. Ends whose major numbers differ do not talk; a higher minor one only adds fields.
const (
	SchemaMajor = 1
	SchemaMinor = 1
)

// Head is what identifies a view.
type Head struct {
	Major         uint32
	Epoch, Number uint64 // of the planner's process, and within it
	Life, Echo    uint64 // the edge's process it is for, and the last digest of it that the planner had
}

// Parts is how new the parts of a view are.
type Parts struct {
	ListAt  float64 // when the list was true, s since 1970
	StageNo uint64  // the installer's version, 0: no news yet
}

// Reason says why a message does not count.
type Reason int

const (
	Taken Reason = iota
	OtherSchema
	OtherLife   // for, or of, an earlier process of the edge
	OldEpoch    // of a planner that another has followed
	OldNumber   // repeated or overtaken
	NeverSent   // answers a digest that was never sent
	Superseded  // the planner is not the newest any more
	reasonCount // how many there are
)

var reasonNames = [reasonCount]string{"taken", "other schema", "other life", "old epoch", "old number", "never sent", "superseded"}

func (r Reason) String() string { return reasonNames[r] }

// Reasons is how many reasons there are, for counts by reason.
const Reasons = int(reasonCount)

const remembered = 64 // digests whose sending times an edge keeps

// Follower is an edge's end. An edge follows the planner with the highest epoch that it has heard of, and no other.
type Follower struct {
	life    uint64
	seq     uint64
	sentAt  [remembered]float64
	epoch   uint64
	number  uint64
	based   float64 // when the digest that the view answers was sent: the view is no older, and no younger for sure
	parts   Parts
	viewed  bool
	Refused [Reasons]uint64
}

// NewFollower is an edge's at its start. life must be above that of the edge's earlier processes.
func NewFollower(life uint64) *Follower { return &Follower{life: life} }

// Digest numbers one that is about to be sent.
func (f *Follower) Digest(now float64) (life, seq, following uint64) {
	f.seq++
	f.sentAt[f.seq%remembered] = now
	return f.life, f.seq, f.epoch
}

// Accept says whether a view counts, and which of its parts are news. Parts that are older than what the edge has, such as
// the list that a planner found on its disk, are passed over; the rest of the view counts.
func (f *Follower) Accept(h Head, p Parts) (r Reason, list, stage bool) {
	switch {
	case h.Major != SchemaMajor:
		r = OtherSchema
	case h.Life != f.life:
		r = OtherLife
	case h.Epoch < f.epoch:
		r = OldEpoch
	case h.Epoch == f.epoch && h.Number <= f.number:
		r = OldNumber
	case h.Echo > f.seq:
		r = NeverSent
	}
	if r != Taken {
		f.Refused[r]++
		return r, false, false
	}
	f.epoch, f.number, f.viewed = h.Epoch, h.Number, true
	f.based = -1 // a view that answers a digest sent too long ago proves nothing of now
	if h.Echo > 0 && f.seq-h.Echo < remembered {
		f.based = f.sentAt[h.Echo%remembered]
	}
	list = p.ListAt > f.parts.ListAt
	stage = p.StageNo > 0 && p.StageNo >= f.parts.StageNo
	if list {
		f.parts.ListAt = p.ListAt
	}
	if stage {
		f.parts.StageNo = p.StageNo
	}
	return Taken, list, stage
}

// Have notes a list from the edge's own disk.
func (f *Follower) Have(listAt float64) { f.parts.ListAt = max(f.parts.ListAt, listAt) }

// Until is when a lease of so many seconds ends that came with the last view. It is counted from the sending of the
// digest that the view answers, so that it ends here no later than at the planner, however long either message took.
func (f *Follower) Until(life float64) float64 {
	if f.based < 0 {
		return 0
	}
	return f.based + life
}

// Age is how old the last view is at the most. began is when the edge did: there may be none yet.
func (f *Follower) Age(now, began float64) float64 { return now - max(began, f.based) }

// Follows names the planner's process that counts, 0: none yet.
func (f *Follower) Follows() (epoch, number uint64) { return f.epoch, f.number }

func (h Head) String() string {
	return fmt.Sprintf("schema %d, epoch %d, number %d, for life %d", h.Major, h.Epoch, h.Number, h.Life)
}
