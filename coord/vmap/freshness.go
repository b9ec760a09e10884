package vmap

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// never is a time before all others.
const never = time.Duration(-1 << 62)

// Contact is evidence that another replica was up, and that its state was not ahead
// of the state of the replica that holds the contact.
type Contact struct {
	ID  uint32 // see ContactID
	Age time.Duration
}

// Contacts is a list of contacts. Its JSON form is a base64 string with five bytes
// per contact: the id, and the age in steps of ageResolution, rounded up.
type Contacts []Contact

// ageResolution is the resolution of ages sent between replicas.
const ageResolution = 25 * time.Millisecond

const contactBytes = 5

// MarshalJSON implements json.Marshaler. It omits contacts whose age does not fit
// into a byte.
func (c Contacts) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, contactBytes*len(c))
	for _, contact := range c {
		steps := (contact.Age + ageResolution - 1) / ageResolution
		if steps > math.MaxUint8 {
			continue
		}
		data = binary.BigEndian.AppendUint32(data, contact.ID)
		data = append(data, byte(steps))
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *Contacts) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return err
	}
	for ; len(data) >= contactBytes; data = data[contactBytes:] {
		age := time.Duration(data[4]) * ageResolution
		*c = append(*c, Contact{ID: binary.BigEndian.Uint32(data), Age: age})
	}
	return nil
}

// ContactID returns a short id for a host name, its hash. Hosts with the same id
// count as one, so a collision can only make a replica stop too early.
func ContactID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Quorum returns how many of the members, including the replica itself, must be in
// contact with each other to continue without the source. With a quarter, each of
// three regions continues when the regions lose contact with each other, while an
// isolated rack stops; see docs/design/configuration.md.
func Quorum(members int) int {
	if members <= 1 {
		return 1
	}
	return max(2, (members+quorumDivisor-1)/quorumDivisor)
}

// quorumDivisor is the divisor of the member count that yields the quorum.
const quorumDivisor = 4

// Freshness tracks until when a replica may rely on its state. It accepts only
// evidence whose age the replica can bound by its own clock: a bookmark of the
// source, or the reply to a call, dated to the time at which the call was sent.
type Freshness struct {
	limit           time.Duration            // how long evidence is valid
	sourceConfirmed time.Duration            // last time at which the state was current at the source
	contacts        map[uint32]time.Duration // time of the last contact with each other replica
	members         int                      // largest count since the last contact with the source
	self            uint32
}

// NewFreshness returns the Freshness of a replica without any evidence. Evidence is
// valid for limit.
func NewFreshness(self string, limit time.Duration) *Freshness {
	return &Freshness{
		limit:           limit,
		sourceConfirmed: never,
		contacts:        make(map[uint32]time.Duration),
		self:            ContactID(self),
	}
}

// Limit returns how long evidence is valid.
func (f *Freshness) Limit() time.Duration { return f.limit }

// SetMembers sets the number of members. The number does not decrease without
// contact to the source, so that an isolated group cannot become a quorum by losing
// members.
func (f *Freshness) SetMembers(n int, now time.Duration) {
	if now-f.sourceConfirmed <= f.limit {
		f.members = n
		return
	}
	f.members = max(f.members, n)
}

// Members returns the number of members from which the quorum is computed.
func (f *Freshness) Members() int { return f.members }

// ConfirmSource records that the state was current at the source at the given time.
func (f *Freshness) ConfirmSource(at time.Duration) { f.sourceConfirmed = max(f.sourceConfirmed, at) }

// ConfirmPeer records a peer's reply to a call; sent is the time of the call. It must
// be called only if the peer's state is not ahead of this replica's. Age is the
// age of the peer's last confirmation by the source, negative if there is none, and
// contacts are the peer's own contacts, both as of the reply.
func (f *Freshness) ConfirmPeer(id uint32, sent, age time.Duration, contacts Contacts) {
	if age >= 0 {
		f.ConfirmSource(sent - age)
	}
	f.recordContact(id, sent)
	for _, c := range contacts {
		if c.Age >= 0 {
			f.recordContact(c.ID, sent-c.Age)
		}
	}
}

func (f *Freshness) recordContact(id uint32, at time.Duration) {
	if id == f.self {
		return
	}
	if old, ok := f.contacts[id]; !ok || at > old {
		f.contacts[id] = at
	}
}

// SourceAge returns the age of the last confirmation by the source, or -1 if there
// has been none.
func (f *Freshness) SourceAge(now time.Duration) time.Duration {
	if f.sourceConfirmed == never {
		return -1
	}
	return max(0, now-f.sourceConfirmed)
}

// ValidUntil returns the time up to which the replica may rely on its state. A time
// in the past means that it may not. The quorum is not counted if there was contact
// with the source recently, so a later call may return a later time.
func (f *Freshness) ValidUntil(now time.Duration) time.Duration {
	if now-f.sourceConfirmed <= f.limit/2 {
		return f.sourceConfirmed + f.limit
	}
	return max(f.sourceConfirmed, f.quorumTime(now)) + f.limit
}

// quorumTime returns the latest time since which this replica has had contact with
// every other member of some quorum, or never.
func (f *Freshness) quorumTime(now time.Duration) time.Duration {
	others := Quorum(f.members) - 1
	if f.members == 0 {
		return never
	}
	if others == 0 {
		return f.singleReplicaTime(now)
	}
	times := f.currentContacts(now)
	if len(times) < others {
		return never
	}
	return times[others-1].at
}

// singleReplicaTime returns the quorum time of a replica without other members. Such
// a replica may continue only once the source has confirmed its state. Before that,
// it may just not have learned of the other members yet.
func (f *Freshness) singleReplicaTime(now time.Duration) time.Duration {
	if f.sourceConfirmed == never {
		return never
	}
	return now
}

type contactTime struct {
	id uint32
	at time.Duration
}

// currentContacts returns the contacts that are still valid, latest first, and
// removes the others.
func (f *Freshness) currentContacts(now time.Duration) []contactTime {
	list := make([]contactTime, 0, len(f.contacts))
	for id, at := range f.contacts {
		if now-at > f.limit {
			delete(f.contacts, id)
			continue
		}
		list = append(list, contactTime{id: id, at: at})
	}
	slices.SortFunc(list, func(a, b contactTime) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.id, b.id))
	})
	return list
}

// RecentContacts returns the contacts to send to other replicas. If there was contact
// with the source recently, it returns none, since the age of that confirmation is
// sent anyway. Otherwise as many as form a quorum are enough for the receiver.
func (f *Freshness) RecentContacts(now time.Duration) Contacts {
	if now-f.sourceConfirmed <= f.limit/2 {
		return nil
	}
	list := f.currentContacts(now)
	n := min(len(list), Quorum(f.members))
	contacts := make(Contacts, n)
	for i, t := range list[:n] {
		contacts[i] = Contact{ID: t.id, Age: max(0, now-t.at)}
	}
	return contacts
}
