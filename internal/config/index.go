package config

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"buckthornseam.dev/seam/internal/platform"
)

// index keeps the entities of all instances and makes snapshots of them. A
// change costs one rendering of the instance and one copy of each map that it
// touches; everything else is shared with the snapshot before.
type index struct {
	templates map[string]*Template
	strings   map[string]string // one copy of each name that many entities share
	teams     table[string, Team]
	keys      table[string, Key]
	models    table[string, Model]
	offerings table[OfferingID, Offering]
	targets   table[string, Target]
	services  table[string, Service]
	faults    map[string][]Fault // by instance
}

func newIndex() (*index, error) {
	templates, err := Templates()
	if err != nil {
		return nil, err
	}
	x := &index{
		templates: templates,
		strings:   make(map[string]string),
		faults:    make(map[string][]Fault),
	}
	x.teams.init("team.name", func(t *Team) string { return t.Name })
	x.keys.init("key.hash", func(k *Key) string { return k.Hash })
	x.models.init("model.name", func(m *Model) string { return m.Name })
	x.offerings.init("offering.name", func(o *Offering) OfferingID { return OfferingID{Team: o.Team, Name: o.Name} })
	x.targets.init("target.name", func(t *Target) string { return t.Name })
	x.services.init("service.name", func(s *Service) string { return s.Name })
	return x, nil
}

// apply replaces the data of an instance. Nil means that there is none.
func (x *index) apply(name string, oldData, newData []byte) {
	if oldData != nil {
		x.remove(name, oldData)
	}
	if newData != nil {
		x.add(name, newData)
	}
}

func (x *index) add(name string, data []byte) {
	e, err := x.render(name, data)
	if err != nil {
		x.faults[name] = faultsOf(name, err)
		return
	}
	x.share(&e)
	x.teams.add(name, e.Teams)
	x.keys.add(name, e.Keys)
	x.models.add(name, e.Models)
	x.offerings.add(name, e.Offerings)
	x.targets.add(name, e.Targets)
	x.services.add(name, e.Services)
}

func (x *index) remove(name string, data []byte) {
	delete(x.faults, name)
	e, err := x.render(name, data)
	if err != nil {
		return // never added
	}
	x.teams.remove(name, e.Teams)
	x.keys.remove(name, e.Keys)
	x.models.remove(name, e.Models)
	x.offerings.remove(name, e.Offerings)
	x.targets.remove(name, e.Targets)
	x.services.remove(name, e.Services)
}

func (x *index) render(name string, data []byte) (Entities, error) {
	var inst Instance
	if err := strictUnmarshal(data, &inst); err != nil {
		return Entities{}, invalid(name, "instance", err.Error())
	}
	return Render(x.templates, name, inst)
}

func faultsOf(name string, err error) []Fault {
	if e, ok := err.(*InvalidInstanceError); ok {
		return e.Faults
	}
	return []Fault{{Instance: name, Field: "instance", Reason: err.Error()}}
}

// share replaces strings that many entities have in common by one copy.
func (x *index) share(e *Entities) {
	for i := range e.Keys {
		x.intern(&e.Keys[i].Team)
	}
	for i := range e.Models {
		x.intern(&e.Models[i].Base)
		x.intern(&e.Models[i].Pool)
	}
	for i := range e.Offerings {
		x.intern(&e.Offerings[i].Team)
		if m := x.models.live[e.Offerings[i].Model]; m != nil {
			e.Offerings[i].Model = m.Name
		}
	}
	for i := range e.Targets {
		x.intern(&e.Targets[i].Zone)
		x.intern(&e.Targets[i].Pool)
	}
}

func (x *index) intern(s *string) {
	if shared, ok := x.strings[*s]; ok {
		*s = shared
		return
	}
	x.strings[*s] = *s
}

// snapshot returns the entities as they are now. The index copies a map of it
// before the next change to that map.
func (x *index) snapshot(version platform.Version) *Snapshot {
	return &Snapshot{
		Version:   version,
		Teams:     x.teams.publish(),
		Keys:      x.keys.publish(),
		Models:    x.models.publish(),
		Offerings: x.offerings.publish(),
		Targets:   x.targets.publish(),
		Services:  longestPrefixFirst(x.services.publish()),
		Faults:    x.listFaults(),
	}
}

func longestPrefixFirst(services map[string]*Service) []*Service {
	list := slices.Collect(maps.Values(services))
	slices.SortFunc(list, func(a, b *Service) int {
		return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func (x *index) listFaults() []Fault {
	var list []Fault
	for _, faults := range x.faults {
		list = append(list, faults...)
	}
	list = append(list, x.teams.faults()...)
	list = append(list, x.keys.faults()...)
	list = append(list, x.models.faults()...)
	list = append(list, x.offerings.faults()...)
	list = append(list, x.targets.faults()...)
	list = append(list, x.services.faults()...)
	sort.Slice(list, func(i, j int) bool { return list[i].Instance < list[j].Instance })
	return list
}

// claim is an entity that an instance defines.
type claim[T any] struct {
	instance string
	value    *T
}

// table holds the entities of one type. If several instances define the same
// entity, the one with the smallest instance name is in force on every host,
// whatever order they arrived in; the others are reported as faults.
type table[K comparable, T any] struct {
	field     string // named in faults
	key       func(*T) K
	live      map[K]*T
	owner     map[K]string
	others    map[K][]claim[T]
	published bool // live belongs to a snapshot
}

func (t *table[K, T]) init(field string, key func(*T) K) {
	t.field = field
	t.key = key
	t.live = make(map[K]*T)
	t.owner = make(map[K]string)
	t.others = make(map[K][]claim[T])
}

func (t *table[K, T]) publish() map[K]*T {
	t.published = true
	return t.live
}

// writable makes sure that no snapshot holds live.
func (t *table[K, T]) writable() {
	if t.published {
		t.live = maps.Clone(t.live)
		t.published = false
	}
}

func (t *table[K, T]) set(k K, c claim[T]) {
	t.writable()
	t.live[k] = c.value
	t.owner[k] = c.instance
}

func (t *table[K, T]) add(instance string, values []T) {
	for i := range values {
		t.addOne(claim[T]{instance: instance, value: &values[i]})
	}
}

func (t *table[K, T]) addOne(c claim[T]) {
	k := t.key(c.value)
	owner, taken := t.owner[k]
	if !taken {
		t.set(k, c)
		return
	}
	if owner < c.instance {
		t.others[k] = append(t.others[k], c)
		return
	}
	t.others[k] = append(t.others[k], claim[T]{instance: owner, value: t.live[k]})
	t.set(k, c)
}

func (t *table[K, T]) remove(instance string, values []T) {
	for i := range values {
		t.removeOne(instance, t.key(&values[i]))
	}
}

func (t *table[K, T]) removeOne(instance string, k K) {
	others := t.others[k]
	if t.owner[k] != instance {
		t.setOthers(k, slices.DeleteFunc(others, func(c claim[T]) bool { return c.instance == instance }))
		return
	}
	if len(others) == 0 {
		t.writable()
		delete(t.live, k)
		delete(t.owner, k)
		return
	}
	next := slices.MinFunc(others, func(a, b claim[T]) int { return cmp.Compare(a.instance, b.instance) })
	t.set(k, next)
	t.setOthers(k, slices.DeleteFunc(others, func(c claim[T]) bool { return c.value == next.value }))
}

func (t *table[K, T]) setOthers(k K, others []claim[T]) {
	if len(others) == 0 {
		delete(t.others, k)
		return
	}
	t.others[k] = others
}

func (t *table[K, T]) faults() []Fault {
	var list []Fault
	for k, others := range t.others {
		for _, c := range others {
			list = append(list, Fault{Instance: c.instance, Field: t.field, Reason: "already defined by instance " + t.owner[k]})
		}
	}
	return list
}
