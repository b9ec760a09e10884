package fleet

import "time"

// HostSettings are the settings that a platform gives a host at its start, about
// the host itself and its deployment.
type HostSettings struct {
	Host      string // name of this host
	IP        string
	Zone      string
	Region    string
	Regions   map[string]string // region of each availability zone
	FirstBoot bool              // the deployment starts for the first time

	Listen      Listen
	PeerPort    int // for traffic between hosts
	RelayPort   int // for requests that other hosts pass on; 0: none are taken
	MetricsPort int
	Store       string  // address of the platform's store
	StoreWrites float64 // that the store allows all hosts together in a second; 0: not stated

	// CrashOnFullMemory is set if engines crash when the requests that they hold exceed their memory. Others preempt requests.
	CrashOnFullMemory bool

	CPUShare float64 // number of cores, may be fractional
	MemoryMB int64

	Bounds Bounds
}

// Listen holds the listen addresses of a host's services, IP:port. An address is
// empty if the host does not provide the service.
type Listen struct {
	Callers   string
	Ready     string // readiness check
	Directory string // addresses of the hosts, for callers
}

// Bounds are the times and limits that the deployment requires the system to keep.
type Bounds struct {
	Contact         time.Duration // after a fault, until the other bounds apply again
	Drain           time.Duration // until a draining target gets no new requests
	Grace           time.Duration // between SIGTERM and SIGKILL
	ConfigApply     time.Duration
	Revoke          time.Duration // until requests with a revoked key must not run
	AddressReuse    time.Duration // until an address may belong to another target
	RetryRatio      float64       // retries per request
	RetryWindow     time.Duration
	RetryExtra      float64 // retries per window beyond RetryRatio
	QuotaWindow     time.Duration
	QuotaOverage    float64
	QuotaSlack      float64       // tokens
	OrderLease      time.Duration // least time between the orders of two lease holders to an engine
	CeilingWindow   time.Duration
	CeilingOverage  float64
	DirectoryTTLMax time.Duration // limit for the TTL of directory responses
	Recover         time.Duration
	Evacuate        time.Duration // until the targets of an evacuated zone get no requests
	MaxStretch      time.Duration // by which bounds grow while the store refuses some hosts
	ColdOverage     float64       // a cold target gets at most its rate times this, plus ColdSlack, in a second
	ColdSlack       float64       // requests
}
