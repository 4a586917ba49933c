package lease

import "fmt"

// Schema is the link's version. Ends whose major numbers differ do not talk; a higher minor one only adds fields.
const (
	SchemaMajor = 1
	SchemaMinor = 1
)

// AssignmentHeader is what identifies a view.
type AssignmentHeader struct {
	Major                    uint32
	Epoch, Sequence          uint64 // of the planner's process, and within it
	Incarnation, AckedReport uint64 // the edge's process it is for, and the last digest of it that the planner had
}

// ContentVersions is how new the parts of a view are.
type ContentVersions struct {
	EndpointsAt    float64 // when the list was true, s since 1970
	ReleaseVersion uint64  // the installer's version, 0: no news yet
}

// Reason says why a message does not count.
type Reason int

const (
	Accepted Reason = iota
	SchemaMismatch
	OtherIncarnation // for, or of, an earlier process of the edge
	StaleEpoch       // of a planner that another has followed
	StaleSequence    // repeated or overtaken
	UnknownReport    // answers a digest that was never sent
	Superseded       // the planner is not the newest any more
	reasonCount      // how many there are
)

var reasonNames = [reasonCount]string{"taken", "other schema", "other life", "old epoch", "old number", "never sent", "superseded"}

func (r Reason) String() string { return reasonNames[r] }

// ReasonCount is how many reasons there are, for counts by reason.
const ReasonCount = int(reasonCount)

const remembered = 64 // digests whose sending times an edge keeps

// Follower is an edge's end. An edge follows the planner with the highest epoch that it has heard of, and no other.
type Follower struct {
	life    uint64
	seq     uint64
	sentAt  [remembered]float64
	epoch   uint64
	number  uint64
	based   float64 // when the digest that the view answers was sent: the view is no older, and no younger for sure
	parts   ContentVersions
	viewed  bool
	Refused [ReasonCount]uint64
}

// NewFollower is an edge's at its start. life must be above that of the edge's earlier processes.
func NewFollower(life uint64) *Follower { return &Follower{life: life} }

// NextReport numbers one that is about to be sent.
func (f *Follower) NextReport(now float64) (life, seq, following uint64) {
	f.seq++
	f.sentAt[f.seq%remembered] = now
	return f.life, f.seq, f.epoch
}

// AcceptAssignment says whether a view counts, and which of its parts are news. Parts that are older than what the edge has, such as
// the list that a planner found on its disk, are passed over; the rest of the view counts.
func (f *Follower) AcceptAssignment(h AssignmentHeader, p ContentVersions) (r Reason, list, stage bool) {
	switch {
	case h.Major != SchemaMajor:
		r = SchemaMismatch
	case h.Incarnation != f.life:
		r = OtherIncarnation
	case h.Epoch < f.epoch:
		r = StaleEpoch
	case h.Epoch == f.epoch && h.Sequence <= f.number:
		r = StaleSequence
	case h.AckedReport > f.seq:
		r = UnknownReport
	}
	if r != Accepted {
		f.Refused[r]++
		return r, false, false
	}
	f.epoch, f.number, f.viewed = h.Epoch, h.Sequence, true
	f.based = -1 // a view that answers a digest sent too long ago proves nothing of now
	if h.AckedReport > 0 && f.seq-h.AckedReport < remembered {
		f.based = f.sentAt[h.AckedReport%remembered]
	}
	list = p.EndpointsAt > f.parts.EndpointsAt
	stage = p.ReleaseVersion > 0 && p.ReleaseVersion >= f.parts.ReleaseVersion
	if list {
		f.parts.EndpointsAt = p.EndpointsAt
	}
	if stage {
		f.parts.ReleaseVersion = p.ReleaseVersion
	}
	return Accepted, list, stage
}

// RestoreEndpointsAt notes a list from the edge's own disk.
func (f *Follower) RestoreEndpointsAt(listAt float64) {
	f.parts.EndpointsAt = max(f.parts.EndpointsAt, listAt)
}

// LeaseEnd is when a lease of so many seconds ends that came with the last view. It is counted from the sending of the
// digest that the view answers, so that it ends here no later than at the planner, however long either message took.
func (f *Follower) LeaseEnd(life float64) float64 {
	if f.based < 0 {
		return 0
	}
	return f.based + life
}

// AssignmentAge is how old the last view is at the most. began is when the edge did: there may be none yet.
func (f *Follower) AssignmentAge(now, began float64) float64 { return now - max(began, f.based) }

// Following names the planner's process that counts, 0: none yet.
func (f *Follower) Following() (epoch, number uint64) { return f.epoch, f.number }

func (h AssignmentHeader) String() string {
	return fmt.Sprintf("schema %d, epoch %d, number %d, for life %d", h.Major, h.Epoch, h.Sequence, h.Incarnation)
}
