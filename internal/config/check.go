package config

import (
	"net/netip"
	"strings"
)

// checker collects the faults of one instance.
type checker struct {
	instance string
	faults   []Fault
}

func (c *checker) require(ok bool, field, reason string) {
	if !ok {
		c.faults = append(c.faults, Fault{Instance: c.instance, Field: field, Reason: reason})
	}
}

// check returns the faults in the fields of the entities. It does not follow references.
func (e *Entities) check(instance string) []Fault {
	c := &checker{instance: instance}
	for i := range e.Teams {
		c.team(&e.Teams[i])
	}
	for i := range e.Keys {
		c.key(&e.Keys[i])
	}
	for i := range e.Models {
		c.model(&e.Models[i])
	}
	for i := range e.Offerings {
		c.offering(&e.Offerings[i])
	}
	for i := range e.Targets {
		c.target(&e.Targets[i])
	}
	for i := range e.Services {
		c.service(&e.Services[i])
	}
	return c.faults
}

func (c *checker) team(t *Team) {
	c.require(t.Name != "", "team.name", "must not be empty")
	c.require(t.Rate > 0, "team.rate", "must be positive")
	c.require(t.Burst > 0, "team.burst", "must be positive")
	c.require(t.Weight > 0, "team.weight", "must be positive")
}

func (c *checker) key(k *Key) {
	c.require(isKeyHash(k.Hash), "key.hash", "must be the hash of a key as seamctl hash-key prints it")
	c.require(k.Team != "", "key.team", "must not be empty")
}

// isKeyHash reports whether s has the form that HashKey returns.
func isKeyHash(s string) bool {
	return len(s) == KeyHashLen && strings.Trim(s, "0123456789abcdef") == ""
}

func (c *checker) model(m *Model) {
	c.require(m.Name != "", "model.name", "must not be empty")
	c.require(m.Bytes > 0, "model.bytes", "must be positive")
	c.require(m.Pool != "", "model.pool", "must not be empty")
	c.require(m.MaxReplicas > 0, "model.max_replicas", "must be positive")
	c.require(m.MinReplicas >= 0 && m.MinReplicas <= m.MaxReplicas, "model.min_replicas", "must be between 0 and max_replicas")
	c.require(m.IdleSeconds > 0, "model.idle_seconds", "must be positive")
	c.require(m.ContextTokens > 0, "model.context_tokens", "must be positive")
}

func (c *checker) offering(o *Offering) {
	c.require(o.Team != "", "offering.team", "must not be empty")
	c.require(o.Name != "", "offering.name", "must not be empty")
	c.require(o.Model != "", "offering.model", "must not be empty")
	c.require(o.MaxTokens > 0, "offering.max_tokens", "must be positive")
}

func (c *checker) target(t *Target) {
	c.require(t.Name != "", "target.name", "must not be empty")
	c.require(t.Kind == TargetEngine || t.Kind == TargetService, "target.kind", "must be engine or service")
	_, err := netip.ParseAddrPort(t.Address)
	c.require(err == nil, "target.address", "must be an IP address and port")
	c.require(t.Zone != "", "target.zone", "must not be empty")
	c.require(t.Pool != "", "target.pool", "must not be empty")
	c.require(t.RequestSlots > 0, "target.slots", "must be positive")
	if t.Kind == TargetEngine {
		c.require(t.MemoryBytes > 0, "target.memory_bytes", "must be positive")
		c.require(t.OrderSeconds > 0, "target.order_seconds", "must be positive")
	}
}

// reservedPrefix is the path prefix of the model protocol and of the hosts' own
// endpoints.
const reservedPrefix = "/v1"

func (c *checker) service(s *Service) {
	c.require(s.Name != "", "service.name", "must not be empty")
	c.require(strings.HasPrefix(s.Prefix, "/") && len(s.Prefix) > 1, "service.prefix", "must start with / and not be /")
	c.require(!hasPathPrefix(s.Prefix, reservedPrefix), "service.prefix", "must not lie under /v1")
	c.require(s.Cost >= 0, "service.cost", "must not be negative")
	c.require(s.DeadlineMS >= 0, "service.deadline_ms", "must not be negative")
}
