// Package announcer tells the instances of the system apart from those that
// have failed. Every instance probes one other at a time, asks others to probe
// for it before it suspects, and spreads what it learns on the probes
// themselves, so that the cost of an instance does not grow with their number.
//
// Table is the deciding part; Announcer runs it over HTTP.
package announcer

import (
	"math/rand/v2"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// State is what an instance is held to be.
type State string

// The states, in the order in which they replace each other within one
// incarnation.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateDead    State = "dead"
	// StateLeft is set by an instance that shuts down as planned.
	StateLeft State = "left"
)

// rank orders the states of one incarnation.
func (s State) rank() int {
	switch s {
	case StateAlive:
		return 0
	case StateSuspect:
		return 1
	case StateDead:
		return 2
	}
	return 3
}

// Member is what is known of one instance.
type Member struct {
	ID         identifier.InstanceID   `json:"id"`
	Address    string                  `json:"address"`
	DataCenter identifier.DataCenterID `json:"data-center"`
	Region     identifier.RegionID     `json:"region"`
	Roles      []string                `json:"roles"`
	// Incarnation is raised only by the instance itself.
	Incarnation identifier.Incarnation `json:"incarnation"`
	State       State                  `json:"state"`
	// Index is the index of the view in force there, as last heard.
	Index uint64 `json:"index"`
}

// Has reports whether the instance has a role.
func (m *Member) Has(role string) bool {
	for _, held := range m.Roles {
		if held == role {
			return true
		}
	}
	return false
}

// Config sets up a table.
type Config struct {
	// SuspectTimeout is the time from suspicion to death.
	SuspectTimeout time.Duration
	// IsolationTimeout is the time after which an instance that hears others
	// but gets no answers holds itself for unheard.
	IsolationTimeout time.Duration
	// Retransmits is how often an update is passed on.
	Retransmits int
	Random      *rand.Rand
}

type record struct {
	member Member
	// enteredAt is when the state was entered.
	enteredAt time.Time
	// retransmitsLeft counts how often the update still has to be passed on.
	retransmitsLeft int
}

// Table is the deciding part. It is not safe for concurrent use.
type Table struct {
	config    Config
	self      Member
	records   map[identifier.InstanceID]*record
	order     []identifier.InstanceID
	nextProbe int
	// lastProbeAnswered is when another instance last answered a probe from here,
	// and lastProbeReceived when another last sent one to here.
	lastProbeAnswered time.Time
	lastProbeReceived time.Time
}

// NewTable returns a table that knows the seeds, which are held for alive
// until a probe says otherwise.
func NewTable(config Config, self Member, seeds []Member, now time.Time) *Table {
	self.State = StateAlive
	t := &Table{config: config, self: self, records: map[identifier.InstanceID]*record{}, lastProbeAnswered: now, lastProbeReceived: now}
	for _, seed := range seeds {
		if seed.ID == self.ID {
			continue
		}
		seed.State = StateAlive
		t.add(seed, now)
		t.records[seed.ID].retransmitsLeft = 0 // the settings tell everybody
	}
	return t
}

func (t *Table) add(member Member, now time.Time) {
	t.records[member.ID] = &record{member: member, enteredAt: now, retransmitsLeft: t.config.Retransmits}
	position := 0
	if len(t.order) > 0 {
		position = t.config.Random.IntN(len(t.order) + 1)
	}
	t.order = append(t.order, "")
	copy(t.order[position+1:], t.order[position:])
	t.order[position] = member.ID
}

// Self returns this instance.
func (t *Table) Self() Member { return t.self }

// SetIndex notes the index of the view in force here.
func (t *Table) SetIndex(index uint64) {
	t.self.Index = max(t.self.Index, index)
}

// Leave marks this instance as shutting down.
func (t *Table) Leave() {
	t.self.State = StateLeft
	t.self.Incarnation++
}

// Members returns all instances but this one, in order of their ids.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		members = append(members, r.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Member returns one instance.
func (t *Table) Member(id identifier.InstanceID) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	r, known := t.records[id]
	if !known {
		return Member{}, false
	}
	return r.member, true
}

// OutboundIsolated reports whether others reach this instance while its own probes get
// no answers.
func (t *Table) OutboundIsolated(now time.Time) bool {
	if len(t.records) == 0 {
		return false
	}
	unanswered := now.Sub(t.lastProbeAnswered) >= t.config.IsolationTimeout
	return unanswered && now.Sub(t.lastProbeReceived) < t.config.IsolationTimeout
}

// NextTarget returns the instance to probe now. Dead ones get their turn too, so
// that both sides of a healed partition find each other.
func (t *Table) NextTarget(now time.Time) (Member, bool) {
	t.expireSuspects(now)
	for range t.order {
		id := t.order[t.nextProbe%len(t.order)]
		t.nextProbe++
		if t.records[id].member.State != StateLeft {
			return t.records[id].member, true
		}
	}
	return Member{}, false
}

func (t *Table) expireSuspects(now time.Time) {
	for _, r := range t.records {
		if r.member.State == StateSuspect && now.Sub(r.enteredAt) >= t.config.SuspectTimeout {
			t.setState(r, StateDead, now)
		}
	}
}

func (t *Table) setState(r *record, state State, now time.Time) {
	r.member.State = state
	r.enteredAt = now
	r.retransmitsLeft = t.config.Retransmits
}

// ProbeAnswered notes an answer to a probe.
func (t *Table) ProbeAnswered(member Member, now time.Time) {
	t.lastProbeAnswered = now
	t.recordContact(member, now)
}

// ProbeReceived notes a probe from another instance.
func (t *Table) ProbeReceived(member Member, now time.Time) {
	t.lastProbeReceived = now
	t.recordContact(member, now)
}

// recordContact takes an instance's own word about itself. That it is heard at all
// ends a suspicion of the same incarnation.
func (t *Table) recordContact(member Member, now time.Time) {
	if member.ID == t.self.ID || member.ID == "" {
		return
	}
	r, known := t.records[member.ID]
	if !known {
		t.add(member, now)
		return
	}
	if member.Incarnation < r.member.Incarnation {
		return
	}
	changed := member.State != r.member.State || member.Incarnation > r.member.Incarnation
	index := max(member.Index, r.member.Index)
	r.member = member
	r.member.Index = index
	if changed {
		t.setState(r, member.State, now)
	}
}

// ProbeFailed notes that neither a probe nor those sent through others got an
// answer.
func (t *Table) ProbeFailed(id identifier.InstanceID, now time.Time) {
	r, known := t.records[id]
	if known && r.member.State == StateAlive {
		t.setState(r, StateSuspect, now)
	}
}

// IndirectProbers returns up to count live instances that can probe for this one.
func (t *Table) IndirectProbers(target identifier.InstanceID, count int) []Member {
	var alive []Member
	for _, member := range t.Members() {
		if member.ID != target && member.State == StateAlive {
			alive = append(alive, member)
		}
	}
	t.config.Random.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	return alive[:min(count, len(alive))]
}

// Merge takes updates that another instance passed on. A suspicion of this
// instance itself is answered by a higher incarnation.
func (t *Table) Merge(updates []Member, now time.Time) {
	for _, update := range updates {
		if update.ID == t.self.ID {
			t.refute(update)
			continue
		}
		r, known := t.records[update.ID]
		if !known {
			t.add(update, now)
			continue
		}
		if !supersedes(update, r.member) {
			r.member.Index = max(r.member.Index, update.Index)
			continue
		}
		index := max(update.Index, r.member.Index)
		r.member = update
		r.member.Index = index
		t.setState(r, update.State, now)
	}
}

func supersedes(update, current Member) bool {
	if update.Incarnation != current.Incarnation {
		return update.Incarnation > current.Incarnation
	}
	return update.State.rank() > current.State.rank()
}

func (t *Table) refute(update Member) {
	wrong := update.State != t.self.State || update.Address != t.self.Address
	if update.Incarnation > t.self.Incarnation || (update.Incarnation == t.self.Incarnation && wrong) {
		t.self.Incarnation = update.Incarnation + 1
	}
}

// Updates returns up to count updates to pass on, those passed on least often
// first.
func (t *Table) Updates(count int) []Member {
	var pending []*record
	for _, id := range t.order {
		if t.records[id].retransmitsLeft > 0 {
			pending = append(pending, t.records[id])
		}
	}
	sort.SliceStable(pending, func(i, j int) bool { return pending[i].retransmitsLeft > pending[j].retransmitsLeft })
	var updates []Member
	for _, r := range pending[:min(count, len(pending))] {
		r.retransmitsLeft--
		updates = append(updates, r.member)
	}
	return updates
}
