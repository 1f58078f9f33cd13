package coordinator

import (
	"context"
	"sync"
	"time"

	"cranberrystack.dev/cranberrystack/forwarder"
	"cranberrystack.dev/cranberrystack/identifier"
	"cranberrystack.dev/cranberrystack/messenger"
	"cranberrystack.dev/cranberrystack/scheduler"
)

const (
	// contactInterval is the time between two batches of contacts to the leader.
	contactInterval = 200 * time.Millisecond
	// contactProbeInterval is the longest time between two batches while workers
	// report here; a batch may be empty.
	contactProbeInterval = 400 * time.Millisecond
	// maxLeaderSilence is the time since the leader accepted a batch after which
	// reports are forwarded to it again, each by itself.
	maxLeaderSilence = time.Second
	// contactSendTimeout bounds the sending of a batch.
	contactSendTimeout = 500 * time.Millisecond
	// maxContactAge is the age from which a contact that could not be passed on is
	// dropped.
	maxContactAge = 3 * time.Second
	// reportingTime is how long after its last report an instance counts as one
	// that workers report to.
	reportingTime = 5 * time.Second
)

// Contact is a report that changes nothing of a worker's registration, as another
// instance passes it on to the leader.
type Contact struct {
	Worker      identifier.WorkerID `json:"worker"`
	Incarnation scheduler.UnixMilli `json:"born"`
	Sequence    int64               `json:"sequence"`
	// Registered is the sequence number of the registration that the report is
	// equal to.
	Registered int64                 `json:"registered"`
	Clock      scheduler.WorkerMilli `json:"clock-ms"`
	// AgeMillis is how long ago the report arrived.
	AgeMillis int64 `json:"age-ms"`
}

// PassOn sends contacts to the instance at an address. It reports whether that
// instance is the leader and has taken them.
type PassOn func(ctx context.Context, address string, contacts []Contact) (bool, error)

// pendingContact is a contact that has not been passed on.
type pendingContact struct {
	contact   Contact
	arrivedAt time.Time
}

// contactRelay holds the contacts of the workers that report to an instance other
// than the leader. Its lock is never held together with another.
type contactRelay struct {
	mu      sync.Mutex
	pending map[identifier.WorkerID]pendingContact
	// acceptedAt is when the last batch was sent that the leader took.
	acceptedAt time.Time
	sentAt     time.Time
	reportedAt time.Time
}

// add queues a contact and reports whether the leader took a batch recently, so
// that it may be answered here.
func (r *contactRelay) add(contact Contact, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportedAt = now
	if now.Sub(r.acceptedAt) >= maxLeaderSilence {
		return false
	}
	if known, queued := r.pending[contact.Worker]; !queued || known.contact.Incarnation < contact.Incarnation || known.contact.Sequence < contact.Sequence {
		r.pending[contact.Worker] = pendingContact{contact: contact, arrivedAt: now}
	}
	return true
}

// take returns the contacts of the next batch and whether it is due.
func (r *contactRelay) take(now time.Time) ([]Contact, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var contacts []Contact
	for id, p := range r.pending {
		age := now.Sub(p.arrivedAt)
		if age >= maxContactAge {
			delete(r.pending, id)
			continue
		}
		p.contact.AgeMillis = age.Milliseconds()
		contacts = append(contacts, p.contact)
	}
	due := len(contacts) > 0 || now.Sub(r.reportedAt) < reportingTime && now.Sub(r.sentAt) >= contactProbeInterval
	if due {
		r.sentAt = now
	}
	return contacts, due
}

// accepted removes the contacts of a batch that was sent at a time.
func (r *contactRelay) accepted(contacts []Contact, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptedAt = sent
	for i := range contacts {
		if p := r.pending[contacts[i].Worker]; p.contact.Sequence == contacts[i].Sequence && p.contact.Incarnation == contacts[i].Incarnation {
			delete(r.pending, contacts[i].Worker)
		}
	}
}

// Relay returns a handler that answers a worker's report on this instance if the
// replicated state already holds what it says, and passes just the contact on to the
// leader. All other calls, and reports while the leader takes no contacts, go to
// forward. Workers report to the instance that has answered them.
func (c *Coordinator) Relay(forward forwarder.Handler) forwarder.Handler {
	return func(ctx context.Context, call forwarder.Call) forwarder.Answer {
		if call.Kind != forwarder.KindReport {
			return forward(ctx, call)
		}
		if !c.answersReport(call, time.Now()) {
			answer := forward(ctx, call)
			if !answer.OK() {
				return answer
			}
		}
		return documentAnswer(reportBody{ReportTo: c.config.ReportTo})
	}
}

// answersReport reports whether a worker's report needs nothing but its contact
// passed on, and queues that.
func (c *Coordinator) answersReport(call forwarder.Call, now time.Time) bool {
	if c.config.PassOn == nil || call.Check() != nil {
		return false
	}
	worker, r, refused := parseReport(call.Worker, call.Document, wallTime())
	if refused != "" {
		return false
	}
	c.mu.Lock()
	registered := c.state.Worker(worker.ID)
	if c.lead != nil || registered == nil || !registered.SameRegistration(&worker) {
		c.mu.Unlock()
		return false
	}
	sequence := registered.Sequence
	c.mu.Unlock()
	return c.contacts.add(Contact{
		Worker: worker.ID, Incarnation: worker.Incarnation, Sequence: worker.Sequence, Registered: sequence, Clock: scheduler.WorkerMilli(r.Clock),
	}, now)
}

// runContacts passes contacts on to the leader until ctx ends.
func (c *Coordinator) runContacts(ctx context.Context) {
	defer c.done.Done()
	for ctx.Err() == nil {
		sleepContext(ctx, contactInterval)
		c.passOnContacts(ctx, time.Now())
	}
}

func (c *Coordinator) passOnContacts(ctx context.Context, now time.Time) {
	leader := c.node.Leadership().Leader.Address
	if leader == "" || leader == c.config.Address {
		return
	}
	contacts, due := c.contacts.take(now)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, contactSendTimeout)
	defer cancel()
	if accepted, err := c.config.PassOn(ctx, leader, contacts); err == nil && accepted {
		c.contacts.accepted(contacts, now)
	}
}

// HandleContacts records contacts that another instance passes on, and reports
// whether this instance is the leader. Contacts of a worker that is not registered
// in their incarnation are ignored.
func (c *Coordinator) HandleContacts(contacts []Contact) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lead == nil || !c.leads(c.lead) {
		return false
	}
	now := time.Now()
	for i := range contacts {
		contact := &contacts[i]
		worker := c.state.Worker(contact.Worker)
		if worker == nil || worker.Incarnation != contact.Incarnation || worker.State == scheduler.WorkerLeft {
			continue
		}
		at := now.Add(-time.Duration(max(0, contact.AgeMillis)) * time.Millisecond)
		if contact.Registered == worker.Sequence {
			c.recordContact(worker, contact.Sequence, contact.Clock, at, now)
			continue
		}
		// The other instance has compared the report with an earlier registration, so
		// that it shows only that the worker is alive.
		c.lead.observer.Track(worker.ID, worker.Incarnation, now).RecordContact(contact.Clock, at)
	}
	return true
}

type contactsBody struct {
	Contacts []Contact `json:"contacts"`
}

type contactsAnswer struct {
	Accepted bool `json:"accepted"`
}

// PassOnOver returns a function that passes contacts on over a messenger.
func PassOnOver(m *messenger.Messenger) PassOn {
	return func(ctx context.Context, address string, contacts []Contact) (bool, error) {
		var answer contactsAnswer
		err := m.Post(ctx, address, contactsPath, contactsBody{Contacts: contacts}, &answer)
		return answer.Accepted, err
	}
}
