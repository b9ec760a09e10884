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

// never is a time before every other.
const never = time.Duration(-1 << 62)

// Contact is evidence that a replica was up and not ahead of the holder.
type Contact struct {
	ID  uint32 // see ContactID
	Age time.Duration
}

// Contacts is a list of contacts. Its JSON form is a string of five bytes for
// each in base64: the id and the age in steps of ageStep, rounded up.
type Contacts []Contact

// ageStep is the resolution of ages between replicas.
const ageStep = 25 * time.Millisecond

const contactBytes = 5

// MarshalJSON implements json.Marshaler. Contacts too old for the form are left
// out.
func (c Contacts) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, contactBytes*len(c))
	for _, contact := range c {
		steps := (contact.Age + ageStep - 1) / ageStep
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
		age := time.Duration(data[4]) * ageStep
		*c = append(*c, Contact{ID: binary.BigEndian.Uint32(data), Age: age})
	}
	return nil
}

// ContactID returns the short id of a host name. Two hosts with the same id
// count as one, which errs on the side of stopping.
func ContactID(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Quorum returns how many replicas, the holder included, have to be in touch
// to go on without the source, out of members. A quarter lets a region of
// three go on when the regions lose each other, and makes a rack stop; see
// docs/design/configuration.md.
func Quorum(members int) int {
	if members <= 1 {
		return 1
	}
	return max(2, (members+quorumShare-1)/quorumShare)
}

// quorumShare is the inverse of the share of members that form a quorum.
const quorumShare = 4

// Freshness tells until when a replica may rely on its state. It counts only
// evidence whose age is bounded on the holder's own clock: a bookmark of the
// source, or the answer to a call, dated back to when the call was sent.
type Freshness struct {
	limit    time.Duration            // how long evidence holds
	source   time.Duration            // last time the state was current at the source
	contacts map[uint32]time.Duration // when each other replica was last in touch
	members  int                      // largest count since the source was last in touch
	self     uint32
}

// NewFreshness returns the freshness of a replica that has confirmed nothing.
// Evidence holds for limit.
func NewFreshness(self string, limit time.Duration) *Freshness {
	return &Freshness{
		limit:    limit,
		source:   never,
		contacts: make(map[uint32]time.Duration),
		self:     ContactID(self),
	}
}

// Limit returns how long evidence holds.
func (f *Freshness) Limit() time.Duration { return f.limit }

// SetMembers records how many members there are. While the source is out of
// touch the count does not fall: a group that is cut off and loses members
// must not become a quorum by that.
func (f *Freshness) SetMembers(n int, now time.Duration) {
	if now-f.source <= f.limit {
		f.members = n
		return
	}
	f.members = max(f.members, n)
}

// Members returns the count that the quorum is taken of.
func (f *Freshness) Members() int { return f.members }

// ConfirmSource records that the state was current at the source at that time.
func (f *Freshness) ConfirmSource(at time.Duration) { f.source = max(f.source, at) }

// ConfirmPeer records the answer of a peer to a call sent at sent. It may be
// used only if the peer's state is not ahead of this replica's. Age is the age
// of the peer's own confirmation by the source when it answered; contacts is
// the peer's evidence.
func (f *Freshness) ConfirmPeer(id uint32, sent, age time.Duration, contacts Contacts) {
	if age >= 0 {
		f.ConfirmSource(sent - age)
	}
	f.touch(id, sent)
	for _, c := range contacts {
		if c.Age >= 0 {
			f.touch(c.ID, sent-c.Age)
		}
	}
}

func (f *Freshness) touch(id uint32, at time.Duration) {
	if id == f.self {
		return
	}
	if old, ok := f.contacts[id]; !ok || at > old {
		f.contacts[id] = at
	}
}

// SourceAge returns the age of the last confirmation by the source, -1 if
// there has been none.
func (f *Freshness) SourceAge(now time.Duration) time.Duration {
	if f.source == never {
		return -1
	}
	return max(0, now-f.source)
}

// ValidUntil returns the time up to which the replica may rely on its state. It
// lies in the past if it may not. While the source is in touch the quorum is not
// counted, so a later call may return a later time.
func (f *Freshness) ValidUntil(now time.Duration) time.Duration {
	if now-f.source <= f.limit/2 {
		return f.source + f.limit
	}
	return max(f.source, f.quorumAt(now)) + f.limit
}

// quorumAt returns the latest time since which a quorum has been in touch.
func (f *Freshness) quorumAt(now time.Duration) time.Duration {
	others := Quorum(f.members) - 1
	if f.members == 0 {
		return never
	}
	if others == 0 {
		return f.aloneAt(now)
	}
	times := f.recent(now)
	if len(times) < others {
		return never
	}
	return times[others-1].at
}

// aloneAt lets a replica without others go on once the source has confirmed it.
// Before that, "without others" may only mean that it has not heard of them.
func (f *Freshness) aloneAt(now time.Duration) time.Duration {
	if f.source == never {
		return never
	}
	return now
}

type touched struct {
	id uint32
	at time.Duration
}

// recent returns the contacts within the limit, latest first, and forgets the
// others.
func (f *Freshness) recent(now time.Duration) []touched {
	list := make([]touched, 0, len(f.contacts))
	for id, at := range f.contacts {
		if now-at > f.limit {
			delete(f.contacts, id)
			continue
		}
		list = append(list, touched{id: id, at: at})
	}
	slices.SortFunc(list, func(a, b touched) int {
		return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.id, b.id))
	})
	return list
}

// RecentContacts returns the contacts to pass on. There are none while the source is
// in touch, since its confirmation travels by itself; otherwise a quorum's
// worth is enough for the receiver.
func (f *Freshness) RecentContacts(now time.Duration) Contacts {
	if now-f.source <= f.limit/2 {
		return nil
	}
	list := f.recent(now)
	n := min(len(list), Quorum(f.members))
	contacts := make(Contacts, n)
	for i, t := range list[:n] {
		contacts[i] = Contact{ID: t.id, Age: max(0, now-t.at)}
	}
	return contacts
}
