// Package announcer maintains the membership: the instances of the system and
// which of them have failed. Every instance probes one other in each interval. If
// that one does not respond, others are asked to probe it too before it becomes
// suspect. Probes also carry updates about other instances. The load of an instance
// therefore does not grow with the number of instances.
//
// Table makes the decisions; Announcer runs it over HTTP.
package announcer

import (
	"math/rand/v2"
	"sort"
	"time"

	"cranberrystack.dev/cranberrystack/identifier"
)

// State is the state in which an instance is believed to be.
type State string

// The states, in the order in which they replace each other within one
// incarnation.
const (
	StateAlive State = "alive"
	// StateSuspect is the state after a probe and the indirect probes failed.
	StateSuspect State = "suspect"
	// StateDead is the state after Config.SuspectTimeout as suspect.
	StateDead State = "dead"
	// StateLeft is set by an instance itself when it shuts down as planned.
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

// Member describes an instance as it is known here.
type Member struct {
	ID         identifier.InstanceID   `json:"id"`
	Address    string                  `json:"address"`
	DataCenter identifier.DataCenterID `json:"data-center"`
	Region     identifier.RegionID     `json:"region"`
	Roles      []string                `json:"roles"`
	// Incarnation is raised only by the instance itself.
	Incarnation identifier.Incarnation `json:"incarnation"`
	State       State                  `json:"state"`
	// Index is the index of the view in force there, as last reported.
	Index uint64 `json:"index"`
}

// Has reports whether the instance has a role.
func (m *Member) Has(role string) bool {
	for _, present := range m.Roles {
		if present == role {
			return true
		}
	}
	return false
}

// Config holds the settings of a table.
type Config struct {
	// SuspectTimeout is the time after which a suspect instance counts as dead.
	SuspectTimeout time.Duration
	// IsolationTimeout is the time without a response to its own probes after
	// which an instance that still receives probes counts itself as isolated.
	IsolationTimeout time.Duration
	// Retransmits is the number of messages in which an update is passed on.
	Retransmits int
	Random      *rand.Rand
}

type record struct {
	member Member
	// enteredAt is when the state was entered.
	enteredAt time.Time
	// retransmitsLeft is the number of messages that still have to carry the update.
	retransmitsLeft int
}

// Table decides which instances to probe and which have failed. It is not safe
// for concurrent use.
type Table struct {
	config  Config
	self    Member
	records map[identifier.InstanceID]*record
	// order is the order of probes, and nextProbe, modulo its length, the
	// position of the next one.
	order     []identifier.InstanceID
	nextProbe int
	// lastProbeAnswered is when another instance last answered a probe from here,
	// and lastProbeReceived when another last sent one to here.
	lastProbeAnswered time.Time
	lastProbeReceived time.Time
}

// NewTable returns a table that holds the seeds, which count as alive until a
// probe or an update reports another state.
func NewTable(config Config, self Member, seeds []Member, now time.Time) *Table {
	self.State = StateAlive
	t := &Table{config: config, self: self, records: map[identifier.InstanceID]*record{}, lastProbeAnswered: now, lastProbeReceived: now}
	for _, seed := range seeds {
		if seed.ID == self.ID {
			continue
		}
		seed.State = StateAlive
		t.add(seed, now)
		t.records[seed.ID].retransmitsLeft = 0 // all instances have the seeds in their settings
	}
	return t
}

// add inserts a member at a random position of the probe order.
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

// SetIndex sets the index of the view in force here. A lower index than before is
// ignored.
func (t *Table) SetIndex(index uint64) {
	t.self.Index = max(t.self.Index, index)
}

// Leave marks this instance as left, for a planned shutdown.
func (t *Table) Leave() {
	t.self.State = StateLeft
	t.self.Incarnation++
}

// Members returns all instances but this one, sorted by id.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		members = append(members, r.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members
}

// Member returns the instance with an id, which may be this one.
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

// OutboundIsolated reports whether others reach this instance while its own
// probes get no responses. It is false for an instance that is isolated in both
// directions, because an isolated data centre must continue to work on its own.
func (t *Table) OutboundIsolated(now time.Time) bool {
	if len(t.records) == 0 {
		return false
	}
	unanswered := now.Sub(t.lastProbeAnswered) >= t.config.IsolationTimeout
	return unanswered && now.Sub(t.lastProbeReceived) < t.config.IsolationTimeout
}

// NextTarget returns the instance to probe now, after it has declared dead the
// suspects whose timeout has passed. It returns false if it knows no instance that
// has not left. Dead instances are probed too, so that both sides of a healed
// partition find each other.
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

// ProbeAnswered records that member answered a probe from here.
func (t *Table) ProbeAnswered(member Member, now time.Time) {
	t.lastProbeAnswered = now
	t.recordContact(member, now)
}

// ProbeReceived records a probe from member.
func (t *Table) ProbeReceived(member Member, now time.Time) {
	t.lastProbeReceived = now
	t.recordContact(member, now)
}

// recordContact records what an instance reports about itself. The contact alone
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

// ProbeFailed records that neither a direct probe nor the indirect ones were
// answered. An alive instance becomes suspect.
func (t *Table) ProbeFailed(id identifier.InstanceID, now time.Time) {
	r, known := t.records[id]
	if known && r.member.State == StateAlive {
		t.setState(r, StateSuspect, now)
	}
}

// IndirectProbers returns up to count alive instances, at random, that can probe
// the target for this one.
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

// Merge applies updates that another instance passed on. A wrong update about this
// instance itself, such as a suspicion, is refuted by a higher incarnation.
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
	contradicts := update.State != t.self.State || update.Address != t.self.Address
	if update.Incarnation > t.self.Incarnation || (update.Incarnation == t.self.Incarnation && contradicts) {
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
