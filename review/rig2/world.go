// Command rig2 plays the cases of an independent review: it starts seamd as the platform does, with stand-ins for the store, the engines
// and the consumers, and checks one rule by what these have seen. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case couldn't run.
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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// world is everything that one case starts.
type world struct {
	begin  time.Time
	dir    string // temporary
	bin    string
	root   string
	prefix string // of the addresses of the machines: 127.A.B.
	store  *store
	hosts  []*host
	record *bufio.Writer

	mu       sync.Mutex
	arrivals []arrival
	answers  []answer
	engines  []*engine
	crashed  []time.Time
}

type host struct {
	name, zone, ip       string
	front, ready, direct string
	settings             string
	cmd                  *exec.Cmd
	done                 chan struct{}
	pid                  int
}

func newWorld(record string) *world {
	w := &world{begin: time.Now(), store: newStore()}
	var err error
	w.dir, err = os.MkdirTemp("", "review2-")
	check(err)
	w.root, err = os.Getwd()
	check(err)
	w.bin = filepath.Join(w.root, "target", "seamd")
	if _, err := os.Stat(w.bin); err != nil {
		panic("target/seamd is missing; run the build of deploy/system.toml first")
	}
	f, err := os.Create(record)
	check(err)
	w.record = bufio.NewWriter(f)
	for w.prefix == "" { // addresses that nobody else uses
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if l, err := net.Listen("tcp", prefix+"11:8221"); err == nil {
			l.Close()
			w.prefix = prefix
		}
	}
	w.store.listen(w.prefix + "200")
	return w
}

func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.begin).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	did := "runs"
	if !a.Ran {
		did = "turned away"
	}
	w.logf("request %s (%s) reaches engine %s: %s", a.Attempt, a.Tag, a.Engine, did)
}

func (w *world) noteCrash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashed = append(w.crashed, time.Now())
}

// crashTimes must be called with w.mu held.
func (w *world) crashTimes() []time.Time { return w.crashed }

// addHost adds a machine. storeAddress is where it finds the store.
func (w *world) addHost(n int, zone, storeAddress string) *host {
	h := &host{name: fmt.Sprintf("frontend-%s-%d", zone, n), zone: zone, ip: w.prefix + strconv.Itoa(10+n)}
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	h.front, h.ready, h.direct = at(8221), at(8224), at(8220) // the address is this machine's own
	const internal = 7600
	h.settings = filepath.Join(w.dir, h.name+".toml")
	text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "frontend"
serves = ["frontend","registry"]
ip = %q
zone = %q
region = "viti-levu"
internal_ports = [%d,%d]
seeds = []
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"]
[zones]
suva = "viti-levu"
lautoka = "viti-levu"
nadi = "viti-levu"
[listen]
front = %q
ready = %q
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
budget_extra_retries = 52
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
`, h.name, h.ip, zone, internal, internal+1, h.front, h.ready, h.direct, storeAddress)
	check(os.WriteFile(h.settings, []byte(text), 0o600))
	w.hosts = append(w.hosts, h)
	return h
}

func (w *world) startHost(h *host) {
	out, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.cmd = exec.Command(w.bin)
	h.cmd.Dir = w.root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "BUCKTHORNSEAM_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(h.cmd.Start())
	h.pid = h.cmd.Process.Pid
	done := make(chan struct{})
	h.done = done
	cmd := h.cmd
	go func() { cmd.Wait(); out.Close(); close(done) }()
	w.logf("machine %s starts", h.name)
}

// awaitReady waits until all machines say that they are ready.
func (w *world) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, h := range w.hosts {
			if resp, err := http.Get("http://" + h.ready + "/readyz"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == 200 {
					n++
				}
			}
		}
		if n == len(w.hosts) {
			return true
		}
	}
	return false
}

func (w *world) end() {
	for _, h := range w.hosts {
		if h.cmd != nil {
			select {
			case <-h.done:
			default:
				h.cmd.Process.Kill()
				<-h.done
			}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs in", w.dir)
	}
}

// answer is what a consumer got.
type answer struct {
	At, Sent time.Time
	Host     string
	Attempt  string
	Tag      string
	Status   int // 0: the channel ended without one
	Body     string
	Whole    bool
	Err      string
	Retry    time.Duration
}

type request struct {
	method, path, tag, key string
	header                 map[string]string
	deadline               time.Duration
}

var attempts struct {
	sync.Mutex
	n int
}

// send makes one consumer attempt, on a channel of its own.
func (w *world) send(h *host, q request) answer {
	attempts.Lock()
	attempts.n++
	id := fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.n)
	attempts.Unlock()
	a := answer{Sent: time.Now(), Host: h.name, Attempt: id, Tag: q.tag}
	w.logf("request %s (%s) is sent to %s", id, q.tag, h.name)
	a.fill(h.front, id, q)
	a.At = time.Now()
	w.logf("request %s (%s) is answered %d whole=%v %s after %d ms", id, q.tag, a.Status, a.Whole, a.Err, a.At.Sub(a.Sent).Milliseconds())
	w.mu.Lock()
	w.answers = append(w.answers, a)
	w.mu.Unlock()
	return a
}

func (a *answer) fill(address, id string, q request) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.Err = "no connection"
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(q.deadline))
	body := q.tag + " body"
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: wuny96.example\r\nBuckthornseam-Attempt-Id: %s\r\nBuckthornseam-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", q.method, q.path, id, q.deadline.Milliseconds(), q.key, len(body))
	for n, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", n, v)
	}
	b.WriteString("\r\n" + body)
	io.WriteString(c, b.String())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		a.Err = "no answer"
		return
	}
	a.Status = resp.StatusCode
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.Retry = time.Duration(s * float64(time.Second))
	}
	data, err := io.ReadAll(resp.Body)
	a.Body, a.Whole = string(data), err == nil
	if err != nil {
		a.Err = "cut in the answer"
	}
}
