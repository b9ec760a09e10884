package config

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"buckthornseam.dev/seam/internal/platform"
)

// index holds the entities of all instances and builds snapshots of them. A change
// renders the old and the new data of one instance and copies each map that it touches;
// the other maps are shared with the previous snapshot.
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

// apply replaces the data of an instance. Nil data means that the instance does not
// exist.
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
	x.internStrings(&e)
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
		return // it was never added
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

// internStrings replaces strings that many entities have in common by a shared copy.
func (x *index) internStrings(e *Entities) {
	for i := range e.Keys {
		x.intern(&e.Keys[i].Team)
	}
	for i := range e.Models {
		x.intern(&e.Models[i].Base)
		x.intern(&e.Models[i].Pool)
	}
	for i := range e.Offerings {
		x.intern(&e.Offerings[i].Team)
		if m := x.models.active[e.Offerings[i].Model]; m != nil {
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

// snapshot returns the current entities. Before the next change to a map in the
// snapshot, the index copies that map.
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

// definition is an entity as defined by one instance.
type definition[T any] struct {
	instance string
	value    *T
}

// table holds the entities of one type. If several instances define the same entity,
// every host uses the definition of the instance with the smallest name, whatever order
// they arrived in. The other definitions are reported as faults.
type table[K comparable, T any] struct {
	field          string // field name in faults
	key            func(*T) K
	active         map[K]*T
	activeInstance map[K]string
	duplicates     map[K][]definition[T]
	shared         bool // a snapshot uses the map active
}

func (t *table[K, T]) init(field string, key func(*T) K) {
	t.field = field
	t.key = key
	t.active = make(map[K]*T)
	t.activeInstance = make(map[K]string)
	t.duplicates = make(map[K][]definition[T])
}

func (t *table[K, T]) publish() map[K]*T {
	t.shared = true
	return t.active
}

// ensureWritable copies the map active if a snapshot uses it.
func (t *table[K, T]) ensureWritable() {
	if t.shared {
		t.active = maps.Clone(t.active)
		t.shared = false
	}
}

func (t *table[K, T]) set(k K, d definition[T]) {
	t.ensureWritable()
	t.active[k] = d.value
	t.activeInstance[k] = d.instance
}

func (t *table[K, T]) add(instance string, values []T) {
	for i := range values {
		t.addOne(definition[T]{instance: instance, value: &values[i]})
	}
}

func (t *table[K, T]) addOne(d definition[T]) {
	k := t.key(d.value)
	owner, taken := t.activeInstance[k]
	if !taken {
		t.set(k, d)
		return
	}
	if owner < d.instance {
		t.duplicates[k] = append(t.duplicates[k], d)
		return
	}
	t.duplicates[k] = append(t.duplicates[k], definition[T]{instance: owner, value: t.active[k]})
	t.set(k, d)
}

func (t *table[K, T]) remove(instance string, values []T) {
	for i := range values {
		t.removeOne(instance, t.key(&values[i]))
	}
}

func (t *table[K, T]) removeOne(instance string, k K) {
	others := t.duplicates[k]
	if t.activeInstance[k] != instance {
		t.setDuplicates(k, slices.DeleteFunc(others, func(d definition[T]) bool { return d.instance == instance }))
		return
	}
	if len(others) == 0 {
		t.ensureWritable()
		delete(t.active, k)
		delete(t.activeInstance, k)
		return
	}
	next := slices.MinFunc(others, func(a, b definition[T]) int { return cmp.Compare(a.instance, b.instance) })
	t.set(k, next)
	t.setDuplicates(k, slices.DeleteFunc(others, func(d definition[T]) bool { return d.value == next.value }))
}

func (t *table[K, T]) setDuplicates(k K, others []definition[T]) {
	if len(others) == 0 {
		delete(t.duplicates, k)
		return
	}
	t.duplicates[k] = others
}

func (t *table[K, T]) faults() []Fault {
	var list []Fault
	for k, others := range t.duplicates {
		for _, d := range others {
			list = append(list, Fault{Instance: d.instance, Field: t.field, Reason: "already defined by instance " + t.activeInstance[k]})
		}
	}
	return list
}
