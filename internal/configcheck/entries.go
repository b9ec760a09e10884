package configcheck

import (
	"buckthornseam.dev/seam/internal/fleet"
)

func (k *checker) services() {
	seen := map[string]bool{}
	for i, s := range k.config.Services {
		at := func(field string) Place { return Place{Section: Services, Index: i, Field: field} }
		if s.Name == "" {
			k.add(Error, at("Name"), "is empty")
		}
		if seen[s.Name] {
			k.add(Error, at("Name"), "service %q is defined twice", s.Name)
		}
		seen[s.Name] = true
		if !k.used[s.Name] {
			k.add(Warning, at(""), "service %q gets no requests: no route leads to it", s.Name)
		}
		if s.Cold != nil && s.Cold.Rate <= 0 && s.Cold.Time > 0 {
			k.add(Warning, at("Cold"), "cold targets get no requests at all")
		}
		if s.Engine != nil {
			k.engine(s, i, at)
		}
	}
}

func (k *checker) engine(s fleet.Service, index int, at func(string) Place) {
	e := s.Engine
	if e.Slots <= 0 {
		k.add(Error, at("Slots"), "must be above 0")
	}
	if s.MaxConnections > 0 && s.MaxConnections < e.Slots {
		k.add(Warning, at("MaxConnections"), "%d is less than the %d slots of an engine, which never fill", s.MaxConnections, e.Slots)
	}
	k.notNegative(at("KVTokens"), e.KVTokens)
	if e.LoadsPerSecond < 0 {
		k.add(Error, at("LoadsPerSecond"), "is below 0")
	}
	adapterMB := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			adapterMB = max(adapterMB, m.AdapterMB*float64(e.AdapterSlots))
		}
	}
	for j, name := range k.modelNames(index) {
		place := Place{Section: Services, Index: index, Model: j + 1}
		m := e.Models[name]
		if m.SizeMB <= 0 {
			k.add(Error, place, "model %q must have a size above 0", name)
		}
		if m.SizeMB+adapterMB > e.CapacityMB {
			k.add(Error, place, "model %q can never be loaded: its %.0f MB and %.0f MB for adapters exceed the %.0f MB of an engine", name, m.SizeMB, adapterMB, e.CapacityMB)
		}
		if m.Adapters > 0 && e.AdapterSlots <= 0 {
			k.add(Error, place, "adapters of model %q can never be loaded: engines have no room for adapters", name)
		}
		if m.DiskLoad > m.StoreLoad || m.MemoryLoad > m.DiskLoad {
			k.add(Warning, place, "model %q loads more slowly from a nearer place", name)
		}
	}
}

func (k *checker) modelNames(service int) []string {
	if service < len(k.config.ModelNames) {
		return k.config.ModelNames[service]
	}
	return nil
}

func (k *checker) teams() {
	names, owners := map[string]bool{}, map[string]string{}
	for i, t := range k.config.Teams {
		at := func(field string) Place { return Place{Section: Teams, Index: i, Field: field} }
		if names[t.Name] {
			k.add(Error, at("Name"), "team %q is defined twice", t.Name)
		}
		names[t.Name] = true
		if len(t.Keys) == 0 {
			k.add(Warning, at("Keys"), "team %q has no key, so that no request is its own", t.Name)
		}
		for _, key := range t.Keys {
			if key == "" {
				k.add(Error, at("Keys"), "team %q has an empty key", t.Name)
			}
			if other, taken := owners[key]; taken {
				k.add(Error, at("Keys"), "teams %q and %q share a key", other, t.Name)
			}
			owners[key] = t.Name
		}
		k.quota(t, at)
	}
}

func (k *checker) quota(t fleet.Team, at func(string) Place) {
	if t.Rate < 0 || t.Burst < 0 {
		k.add(Error, at("Rate"), "team %q has a rate or a burst below 0", t.Name)
	}
	if t.Rate == 0 && t.Burst > 0 {
		k.add(Warning, at("Burst"), "has no effect: team %q has no rate and so no limit", t.Name)
	}
	one := 1.0
	if t.ByTokens {
		one = t.DefaultTokens
	}
	if t.Rate > 0 && one > t.Rate+t.Burst {
		k.add(Error, at("Burst"), "team %q: one request counts as %v, which is more than rate and burst allow at once", t.Name, one)
	}
	if t.HasPriority && (t.Priority < 0 || t.Priority > maxPriority) {
		k.add(Error, at("Priority"), "%d is not between 0 and %d", t.Priority, maxPriority)
	}
}

func (k *checker) limits() {
	l := k.config.Limits
	at := func(field string) Place { return Place{Section: Limits, Field: field} }
	k.notNegative(at("HeaderBytes"), l.HeaderBytes)
	k.notNegative(at("BodyBytes"), l.BodyBytes)
	k.notNegative(at("HeaderTimeout"), int64(l.HeaderTimeout))
	k.notNegative(at("IdleTimeout"), int64(l.IdleTimeout))
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		k.add(Warning, at("HeaderTimeout"), "%v is longer than the idle timeout of %v: slow headers of a reused connection are given more time than a silent one", l.HeaderTimeout, l.IdleTimeout)
	}
}
