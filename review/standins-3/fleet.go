//go:build ignore

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		stopAll()
		os.Exit(2)
	}
}

// record is record.txt.
var record struct {
	mu    sync.Mutex
	w     *bufio.Writer
	f     *os.File
	began time.Time
}

func openRecord(file string) {
	f, err := os.Create(file)
	must(err)
	record.f, record.w, record.began = f, bufio.NewWriter(f), time.Now()
}

func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.w, "%9.4f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
}

func closeRecord() {
	record.mu.Lock()
	defer record.mu.Unlock()
	record.w.Flush()
	record.f.Close()
}

// Host is a daemon.
type Host struct {
	Name, IP, Front, Ready, Directory string
	cmd                               *exec.Cmd
}

var (
	hosts   []*Host
	tempDir string
	network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)) // loopback addresses of this run
)

// newHost prepares a machine with the settings of a small deployment: those of the qasr-throughput site.
func newHost(n int, zone, store string, bootstrap bool) *Host {
	h := &Host{Name: fmt.Sprintf("frontend-%s-%d", zone, n), IP: fmt.Sprintf("%s.%d", network, 10+n)}
	h.Front, h.Ready, h.Directory = h.IP+":8221", h.IP+":8224", h.IP+":8220"
	text := fmt.Sprintf(settings, h.Name, h.IP, zone, bootstrap, h.Front, h.Ready, h.IP+":8229", h.Directory, store)
	file := filepath.Join(tempDir, h.Name+".toml")
	must(os.WriteFile(file, []byte(text), 0o600))
	h.start(file)
	hosts = append(hosts, h)
	return h
}

const settings = `node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend","registry"]
ip = %q
zone = %q
region = "jo-south"
internal_ports = [7600,7615]
seeds = []
bootstrap = %v
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
aqaba-a = "jo-south"
maan-b = "jo-south"
karak-c = "jo-south"
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
downgrade_slack_ms = 250
max_stretch_ms = 5000
strict_revoke = true
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 56
quota_window_s = 8
quota_overage = 0.1
quota_slack = 110000
recover_s = 12
pass_ms = 120
retry_after_s = 0
fencing_required = false
lease_ms = 3000
thaw_ms = 300
ceiling_window_s = 5
ceiling_overage = 1.1
ttl_max_s = 5
[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// start runs the daemon as the deploy file says: target/seamd, in the root of the repository.
func (h *Host) start(file string) {
	log, err := os.Create(filepath.Join(tempDir, h.Name+".log"))
	must(err)
	h.cmd = exec.Command("target/seamd")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + tempDir, "LANG=C", "BUCKTHORNSEAM_BOOT=" + file}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(h.cmd.Start())
}

func (h *Host) signal(s syscall.Signal) { must(h.cmd.Process.Signal(s)) }

// awaitReady waits until all hosts say that they are ready.
func awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, h := range hosts {
		for {
			resp, err := http.Get("http://" + h.Ready + "/readyz")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				must(fmt.Errorf("%s is not ready", h.Name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stopAll ends all daemons that were started.
func stopAll() {
	for _, h := range hosts {
		if h.cmd != nil && h.cmd.Process != nil {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	hosts = nil
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}

// Run is a run of a request at an engine.
type Run struct {
	ID, Path, Tenant string
	At               time.Time
}

// Engine is an engine of a plain service.
type Engine struct {
	ID, Service, Address, Zone string
	Work                       time.Duration

	mu   sync.Mutex
	Runs []Run
}

func newEngine(s *Store, id, service, zone string, work time.Duration) *Engine {
	l, err := net.Listen("tcp", net.JoinHostPort(network+".200", "0"))
	must(err)
	e := &Engine{ID: id, Service: service, Address: l.Addr().String(), Zone: zone, Work: work}
	go http.Serve(l, e)
	s.Write("servers", id, map[string]any{
		"service": service, "address": e.Address, "zone": zone, "version": "v1", "slots": 64, "state": "ready", "cold_left_ms": 0, "seq": 0,
		"born": time.Now().UnixMilli(),
	})
	return e
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Buckthornseam-Expect-Instance"); want != "" && want != e.ID {
		w.Header().Set("Buckthornseam-Instance-Id", e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("Buckthornseam-Attempt-Id")
	if id == "" {
		w.Header().Set("Buckthornseam-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	run := Run{ID: id, Path: r.RequestURI, Tenant: r.Header.Get("Buckthornseam-Tenant"), At: time.Now()}
	e.mu.Lock()
	e.Runs = append(e.Runs, run)
	e.mu.Unlock()
	note("engine %s runs %s %s for tenant %s", e.ID, run.ID, run.Path, run.Tenant)
	time.Sleep(e.Work)
	w.Header().Set("Buckthornseam-Attempt-Id", id)
	w.Header().Set("Buckthornseam-Server-Stamp", e.ID+"."+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	io.WriteString(w, strings.Repeat("x", 800))
}

func (e *Engine) runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.Runs...)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }
