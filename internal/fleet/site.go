package fleet

import "time"

// Site is what a host is told at its start about itself and the deployment it
// runs in, on a platform that gives settings of its own.
type Site struct {
	Host      string // name of this host
	IP        string
	Zone      string
	Region    string
	FirstBoot bool // the whole system starts for the first time

	Listen      Listen
	PeerPort    int // for traffic between hosts
	MetricsPort int
	Store       string // address of the platform's store

	ProcessorShare float64 // of one core
	MemoryMB       int64

	Bounds Bounds
}

// Listen holds the addresses of the duties served to others, IP:port; empty
// for a duty that this host does not have.
type Listen struct {
	Callers   string
	Ready     string // readiness
	Directory string // entry answers
}

// Bounds are the times and figures that the deployment holds the product to.
type Bounds struct {
	Contact       time.Duration // after a fault, until bounds apply again
	Drain         time.Duration // until a leaving target gets nothing new
	Grace         time.Duration // between SIGTERM and SIGKILL
	ConfigApply   time.Duration
	Revoke        time.Duration // until a withdrawn key must not run
	AddressReuse  time.Duration // until an address may belong to another target
	RetryRatio    float64       // repeats by requests
	RetryWindow   time.Duration
	RetryExtra    float64 // repeats beyond the ratio, in a window
	QuotaWindow   time.Duration
	QuotaOverage  float64
	QuotaSlack    float64       // tokens
	OrderLease    time.Duration // between orders of two holders to one engine
	CeilingWindow time.Duration
	CeilingFactor float64
	EntryLifeMax  time.Duration // longest life of an entry answer
	Recover       time.Duration
}
