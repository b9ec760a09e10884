package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"buckthornseam.dev/seam/platform/standin"
)

// Bounds that the hosts have to keep. The settings that newHost writes have the same
// values.
const (
	revokeBound  = 5 * time.Second
	leaseBound   = 3 * time.Second
	drainBound   = 2 * time.Second
	recoverBound = 12 * time.Second
	contactBound = 3 * time.Second
)

// Quota of the team limitedTeam, whose callers ask for far more. The configuration and the settings have
// the same values.
const (
	limitedTeam  = "t3"
	quotaRate    = 30_000 // tokens a second
	quotaBurst   = 30_000
	quotaSlack   = 30_000
	quotaOverage = 0.1
	quotaWindow  = 8 * time.Second
)

// Rule for the engine that names a limit during the faults.
const (
	engineLimit  = 2.0 // requests a second
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5 // requests
	toldTime     = 500 * time.Millisecond
)

const configTemplate = `{"version":%[1]d,"routes":[
 {"name":"probe","host":"h.example","path_prefix":"/version-%[1]d/","type":"idempotent","timeout_ms":3000,"goal_ms":300,"service":"app","attempts":2,"public":true},
 {"name":"draft","host":"h.example","path_prefix":"/draft/","type":"streaming","timeout_ms":5000,"goal_ms":400,"service":"llm","attempts":2,"resumable":true,"gap_goal_ms":400},
 {"name":"short","host":"h.example","path_prefix":"/short/","type":"streaming","timeout_ms":5000,"goal_ms":400,"service":"llm","attempts":2,"resumable":true,"gap_goal_ms":400},
 {"name":"pay","host":"h.example","path_prefix":"/pay/","type":"non_idempotent","timeout_ms":3000,"goal_ms":300,"service":"app","attempts":1},
 {"name":"read","host":"h.example","path_prefix":"/read/","type":"idempotent","timeout_ms":3000,"goal_ms":300,"service":"app","attempts":2}],
 "services":[{"name":"llm",%[6]s"engine":{"slots":16,"weights_mb":150,"adapter_slots":2,"models":[%[2]s]}},{"name":"app"}],
 "tenants":[{"name":"t1","api_keys":["k1"],"unit":"token_rate","plain_tokens":200,"rate_per_s":900000,"burst":900000},
  {"name":"t2","api_keys":[%[3]s],"unit":"token_rate","plain_tokens":200,"rate_per_s":900000,"burst":900000},
  {"name":"t3","api_keys":["k7"],"unit":"token_rate","plain_tokens":200,"rate_per_s":%[4]d,"burst":%[5]d}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536}}`

// longEventDelay makes a long response, of three events, take half of the time that a host
// has for a planned stop.
const longEventDelay = 900 * time.Millisecond

// models has more entries than the engines can have loaded at once: 3 engines hold
// 2 models each.
var models = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}

func config(version int, t2Keys string, coldBounded bool) standin.RawJSON {
	cold := ""
	if coldBounded {
		cold = fmt.Sprintf(`"cold_s":%v,"cold_per_s":%d,`, coldTime.Seconds(), coldRate)
	}
	var list []string
	for _, m := range models {
		list = append(list, fmt.Sprintf(`{"name":%q,"weights_mb":70,"load_s":1,"warm_s":0.1,"disk_s":0.1}`, m))
	}
	return standin.RawJSON(fmt.Sprintf(configTemplate, version, strings.Join(list, ","), t2Keys, quotaRate, quotaBurst, cold))
}

// process is a daemon that runs as a child process.
type process struct {
	name, frontAddr, directoryAddr, readyAddr string
	settingsFile                              string
	cmd                                       *exec.Cmd
	hasFault                                  bool // a fault begun through onHost is active
}

func (p *process) start(t *testing.T, binary string) {
	t.Helper()
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "BUCKTHORNSEAM_BOOT="+p.settingsFile)
	log, err := os.OpenFile(p.settingsFile+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	p.cmd = cmd
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // fails if the process has ended

// kill kills the process and waits for its end. A process suspended by SIGSTOP is
// resumed first.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // the error only says that the process was killed
}

// fleet is the deployment under test: daemons, and a store and targets that they
// reach through proxies.
type fleet struct {
	t             *testing.T
	binary        string
	grace         time.Duration // grace_s of the settings
	store         *standin.Store
	storeProxies  []*proxy // by host
	engines       []*standin.Engine
	plainTargets  []*standin.Engine
	plainStarts   []int    // by plain target, the number of its last start
	targetProxies []*proxy // those of the engines, then those of the plain targets
	hosts         []*process
}

func startFleet(t *testing.T, binary string, hosts int, grace time.Duration, c *checker) *fleet {
	f := &fleet{t: t, binary: binary, grace: grace, store: standin.NewStore()}
	storeAddr := serve(t, f.store)
	for i := range 3 {
		e := &standin.Engine{ID: fmt.Sprintf("i-%d", i), Models: models[2*i : 2*i+2], MaxModels: 2, EventDelay: 15 * time.Millisecond, LongDelay: longEventDelay, LoadTime: 100 * time.Millisecond, OnArrival: c.recordArrival, OnRun: c.recordRun, OnOrder: c.recordOrder}
		f.engines = append(f.engines, e)
		f.targetProxies = append(f.targetProxies, startProxy(t, serve(t, e)))
		f.registerEngine(i, "ready")
	}
	for i := range 2 {
		e := &standin.Engine{ID: fmt.Sprintf("i-app%d", i), EventDelay: 5 * time.Millisecond, OnArrival: c.recordArrival, OnRun: c.recordRun}
		f.plainTargets, f.plainStarts = append(f.plainTargets, e), append(f.plainStarts, 1)
		f.targetProxies = append(f.targetProxies, startProxy(t, serve(t, e)))
		f.registerPlainTarget(i, "ready")
	}
	f.store.Put("config", "main", config(1, `"k2"`, false))
	for i := range hosts {
		f.storeProxies = append(f.storeProxies, startProxy(t, storeAddr))
		f.hosts = append(f.hosts, f.newHost(i))
	}
	return f
}

// startHosts starts all hosts with the old daemon, if there is one.
func (f *fleet) startHosts() {
	for _, p := range f.hosts {
		p.start(f.t, f.oldBinary())
		f.t.Cleanup(p.kill)
	}
}

// oldBinary returns the daemon that hosts run before their upgrade.
func (f *fleet) oldBinary() string {
	if *oldPath != "" {
		return *oldPath
	}
	return f.binary
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // returns an error after Close
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// targetID returns the ID of the target behind a proxy.
func (f *fleet) targetID(proxy int) string {
	if proxy < len(f.engines) {
		return f.engines[proxy].ID
	}
	return f.plainTargets[proxy-len(f.engines)].ID
}

func (f *fleet) registerEngine(i int, state string) {
	var loaded []string
	for _, m := range f.engines[i].Models {
		loaded = append(loaded, fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m))
	}
	f.store.Put("servers", f.engines[i].ID, standin.RawJSON(fmt.Sprintf(`{"service":"llm","address":%q,"zone":%q,"slots":16,"state":%q,"born":%d,"cold_left_ms":%d,
		"models":[%s],"available":{"on_disk":["%s"],"in_memory":[]}}`, f.targetProxies[i].address, zoneOf(i), state, i+1, f.engines[i].ColdLeftMS(), strings.Join(loaded, ","), strings.Join(models, `","`))))
}

func (f *fleet) registerPlainTarget(i int, state string) {
	f.store.Put("servers", f.plainTargets[i].ID, standin.RawJSON(fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","slots":64,"state":%q,"born":%d}`,
		f.targetProxies[len(f.engines)+i].address, state, f.plainStarts[i])))
}

// restartPlainTarget registers the next start of a target that was drained.
func (f *fleet) restartPlainTarget(i int) {
	f.plainStarts[i]++
	f.registerPlainTarget(i, "ready")
}

// newHost writes the settings of a host, which gets a loopback address of its own,
// and returns its process, not yet started.
func (f *fleet) newHost(i int) *process {
	pid := os.Getpid() // soaks that run at the same time need different addresses
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 10+i)
	p := &process{name: fmt.Sprintf("host-%d", i), frontAddr: ip + ":18221", directoryAddr: ip + ":18220", readyAddr: ip + ":18224"}
	p.settingsFile = filepath.Join(f.t.TempDir(), "local.toml")
	text := fmt.Sprintf(`node_name=%q
ip=%q
zone="z"
internal_ports=[18600,18610]
bootstrap=true
[limits]
cpu_share=1.0
cores=1
memory_mb=256
[listen]
front=%q
ready=%q
directory=%q
[bounds]
contact_ms=3000
drain_ms=2000
grace_s=%v
config_apply_ms=2000
revoke_ms=5000
lease_ms=3000
recover_s=12
evacuate_ms=%d
cold_overage=%v
cold_slack=%v
retry_budget_ratio=%v
budget_window_s=%v
budget_extra_retries=%d
quota_window_s=%v
quota_overage=%v
quota_slack=%d
[platform]
address=%q
`, p.name, ip, p.frontAddr, p.readyAddr, p.directoryAddr, f.grace.Seconds(), evacuateBound.Milliseconds(), coldOverage, coldSlack, retryRatio, retryWindow.Seconds(), extraRetries, quotaWindow.Seconds(), quotaOverage, quotaSlack, f.storeProxies[i].address)
	if err := os.WriteFile(p.settingsFile, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return p
}

// isReady reports whether the readiness check of the host succeeds.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.readyAddr + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) allReady() bool {
	for _, p := range f.hosts {
		if !p.isReady() {
			return false
		}
	}
	return true
}

// waitFor polls a condition for at most d and reports whether it became true.
func waitFor(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
