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

// Bounds of the soak's deployment, as in the settings of its hosts.
const (
	revokeBound  = 5 * time.Second
	leaseBound   = 3 * time.Second
	drainBound   = 2 * time.Second
	recoverBound = 12 * time.Second
)

const configText = `{"version":%d,"routes":[
 {"name":"draft","host":"h.example","path_prefix":"/draft/","type":"streaming","timeout_ms":5000,"goal_ms":400,"service":"llm","attempts":2,"resumable":true,"gap_goal_ms":400},
 {"name":"pay","host":"h.example","path_prefix":"/pay/","type":"non_idempotent","timeout_ms":3000,"goal_ms":300,"service":"app","attempts":1},
 {"name":"read","host":"h.example","path_prefix":"/read/","type":"idempotent","timeout_ms":3000,"goal_ms":300,"service":"app","attempts":2}],
 "services":[{"name":"llm","engine":{"slots":16,"weights_mb":150,"adapter_slots":2,"models":[%s]}},{"name":"app"}],
 "tenants":[{"name":"t1","api_keys":["k1"],"unit":"token_rate","plain_tokens":200,"rate_per_s":900000,"burst":900000},
  {"name":"t2","api_keys":[%s],"unit":"token_rate","plain_tokens":200,"rate_per_s":900000,"burst":900000}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":65536}}`

// models are more than the engines have places for: 3 engines hold 2 each.
var models = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7"}

func config(version int, keys string) standin.RawJSON {
	var list []string
	for _, m := range models {
		list = append(list, fmt.Sprintf(`{"name":%q,"weights_mb":70,"load_s":1,"warm_s":0.1,"disk_s":0.1}`, m))
	}
	return standin.RawJSON(fmt.Sprintf(configText, version, strings.Join(list, ","), keys))
}

// process is one daemon.
type process struct {
	name, callers, entry, ready string
	settings                    string
	cmd                         *exec.Cmd
	troubled                    bool // a fault of the process has not ended yet
}

func (p *process) start(t *testing.T, binary string) {
	t.Helper()
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), "BUCKTHORNSEAM_BOOT="+p.settings)
	log, err := os.OpenFile(p.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

// end kills the process and waits for it.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // says that it was killed
}

// fleet is a store and targets behind proxies, and daemons.
type fleet struct {
	t       *testing.T
	binary  string
	store   *standin.Store
	toStore []*proxy // one for each host
	engines []*standin.Engine
	app     []*standin.Engine
	targets []*proxy // engines, then plain targets
	hosts   []*process
}

func startFleet(t *testing.T, binary string, hosts int, onRun func(standin.Run), onOrder func(standin.Order)) *fleet {
	f := &fleet{t: t, binary: binary, store: standin.NewStore()}
	store := serve(t, f.store)
	for i := range 3 {
		e := &standin.Engine{ID: fmt.Sprintf("i-%d", i), Models: models[2*i : 2*i+2], MaxModels: 2, EventDelay: 15 * time.Millisecond, LoadTime: 100 * time.Millisecond, OnRun: onRun, OnOrder: onOrder}
		f.engines = append(f.engines, e)
		f.targets = append(f.targets, startProxy(t, serve(t, e)))
		f.register(i, "ready")
	}
	for i := range 2 {
		e := &standin.Engine{ID: fmt.Sprintf("i-app%d", i), EventDelay: 5 * time.Millisecond, OnRun: onRun}
		f.app = append(f.app, e)
		f.targets = append(f.targets, startProxy(t, serve(t, e)))
		f.registerApp(i, "ready")
	}
	f.store.Put("config", "main", config(1, `"k2"`))
	for i := range hosts {
		f.toStore = append(f.toStore, startProxy(t, store))
		f.hosts = append(f.hosts, f.newHost(i))
	}
	for _, p := range f.hosts {
		p.start(t, binary)
		t.Cleanup(p.end)
	}
	return f
}

func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }() // ends with Close
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

func (f *fleet) register(i int, state string) {
	var held []string
	for _, m := range f.engines[i].Models {
		held = append(held, fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m))
	}
	f.store.Put("servers", f.engines[i].ID, standin.RawJSON(fmt.Sprintf(`{"service":"llm","address":%q,"zone":"z","slots":16,"state":%q,"born":%d,
		"models":[%s],"available":{"on_disk":["%s"],"in_memory":[]}}`, f.targets[i].address, state, i+1, strings.Join(held, ","), strings.Join(models, `","`))))
}

func (f *fleet) registerApp(i int, state string) {
	f.store.Put("servers", f.app[i].ID, standin.RawJSON(fmt.Sprintf(`{"service":"app","address":%q,"zone":"z","slots":64,"state":%q,"born":1}`,
		f.targets[len(f.engines)+i].address, state)))
}

// newHost writes the settings of a host at a loopback address of its own.
func (f *fleet) newHost(i int) *process {
	pid := os.Getpid() // soaks beside each other have addresses of their own
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid%250, pid/250%250, 10+i)
	p := &process{name: fmt.Sprintf("host-%d", i), callers: ip + ":18221", entry: ip + ":18220", ready: ip + ":18224"}
	p.settings = filepath.Join(f.t.TempDir(), "local.toml")
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
grace_s=6
config_apply_ms=2000
revoke_ms=5000
lease_ms=3000
recover_s=12
retry_budget_ratio=0.2
budget_window_s=10
budget_extra_retries=50
quota_window_s=8
quota_overage=0.1
quota_slack=110000
[platform]
address=%q
`, p.name, ip, p.callers, p.ready, p.entry, f.toStore[i].address)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return p
}

// isReady reports whether a host says that it should get callers.
func (p *process) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + p.ready + "/readyz")
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

// within waits for a condition and reports whether it came.
func within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}
