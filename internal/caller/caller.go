// Package caller is a client for programs that call buckthornseam. It asks an
// entry host which addresses to use, keeps the answer for its life, and
// connects by itself.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/entry"
	"buckthornseam.dev/seam/internal/retry"
)

// Mode says how a client uses the addresses it was given.
type Mode string

// The modes.
const (
	// ModeOne uses the first address and asks again only when the answer's
	// life is over.
	ModeOne Mode = "one"
	// ModeList goes through the addresses in order, each with a new
	// connection when it is its turn.
	ModeList Mode = "list"
	// ModeTwo keeps connections to the first two addresses, which are in two
	// availability zones, and goes to the other at once. A host that does
	// not answer is checked over a fresh connection before the deadline.
	ModeTwo Mode = "two"
)

// Timing of a client.
const (
	dialTimeout  = 300 * time.Millisecond
	doubtAfter   = 350 * time.Millisecond // without the head of an answer, ModeTwo checks the host
	checkTimeout = 300 * time.Millisecond
	standbyCheck = 5 * time.Second // between uses of the second path, to keep it open
	minRefresh   = 200 * time.Millisecond
)

// maxHosts bounds the entry hosts whose repeats are counted.
const maxHosts = 256

// Options configure a Client.
type Options struct {
	Seeds []string // IP:port of some entry hosts, asked in order at the start
	Zone  string   // availability zone of the caller
	Mode  Mode
}

// budgetName is the name under which a client's repeats are counted.
const budgetName = "caller"

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	opts   Options
	http   *http.Client
	budget *retry.Budget

	mu      sync.Mutex
	hosts   []entry.Host // first is the one in use
	expires time.Time
	asked   time.Time
	stats   Stats
}

// Stats counts what a client did.
type Stats struct {
	Attempts       int            // requests sent, repeats included
	Failed         int            // attempts that brought no answer
	Switches       int            // changes to another host
	AddressQueries int            // questions for addresses
	AttemptsByHost map[string]int // attempts by host address
}

// NoHostError reports that no entry host answered.
type NoHostError struct {
	Cause error
}

func (e *NoHostError) Error() string { return fmt.Sprintf("no entry host answered: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoHostError) Unwrap() error { return e.Cause }

// SilentError reports a host that answered neither the request nor a check.
type SilentError struct {
	Address string
}

func (e *SilentError) Error() string { return "entry host " + e.Address + " is silent" }

// New returns a client that knows no addresses yet.
func New(opts Options) (*Client, error) {
	budget, err := retry.New(retry.Options{Metrics: tally.NoopScope, MaxBudgets: maxHosts})
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{
		opts:   opts,
		http:   &http.Client{Transport: transport},
		budget: budget,
		stats:  Stats{AttemptsByHost: map[string]int{}},
	}, nil
}

// Request is a request to any entry host.
type Request struct {
	Method     string
	Path       string
	Header     map[string]string
	Body       []byte
	Repeatable bool // may be sent again after an unknown outcome, for example with an idempotency key
}

// Do sends a request and returns the first answer. The caller closes its body.
func (c *Client) Do(ctx context.Context, r Request) (*http.Response, error) {
	var last error
	tried := map[string]bool{}
	for attempt := 0; ; attempt++ {
		address, err := c.pick(ctx, tried)
		if err != nil {
			return nil, &NoHostError{Cause: firstError(last, err)}
		}
		tried[address] = true
		if attempt == 0 {
			c.budget.Sent(budgetName, address)
		}
		resp, err := c.send(ctx, address, r)
		if err == nil {
			return resp, nil
		}
		last = err
		c.failed(address)
		if c.opts.Mode == ModeOne || ctx.Err() != nil || !(r.Repeatable || isDial(err)) {
			return nil, err
		}
		// Repeats are bounded to a share of the requests: hosts that are
		// slow from load must not be sent more of it.
		if !c.budget.Allow(budgetName, address) {
			return nil, err
		}
	}
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// isDial reports whether no connection could be made, so nothing was sent.
func isDial(err error) bool {
	u, ok := err.(*url.Error)
	if !ok {
		return false
	}
	op, ok := u.Err.(*net.OpError)
	return ok && op.Op == "dial"
}

// Stats returns a copy of the counters.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.stats
	s.AttemptsByHost = map[string]int{}
	for k, v := range c.stats.AttemptsByHost {
		s.AttemptsByHost[k] = v
	}
	return s
}

// pick returns the first address not tried yet, after asking for addresses if
// none are left.
func (c *Client) pick(ctx context.Context, tried map[string]bool) (string, error) {
	if c.stale() {
		if err := c.Refresh(ctx); err != nil && c.known() == 0 {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, h := range c.hosts {
		if tried[h.Address] {
			continue
		}
		if i > 0 {
			c.stats.Switches++
		}
		return h.Address, nil
	}
	return "", &NoHostError{}
}

func (c *Client) stale() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.expires) && time.Since(c.asked) > minRefresh
}

func (c *Client) known() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.hosts)
}

// failed moves a host that brought no answer to the end.
func (c *Client) failed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stats.Failed++
	if c.opts.Mode == ModeOne || len(c.hosts) == 0 || c.hosts[0].Address != address {
		return
	}
	first := c.hosts[0]
	c.hosts = append(append([]entry.Host{}, c.hosts[1:]...), first)
}

func (c *Client) send(ctx context.Context, address string, r Request) (*http.Response, error) {
	c.mu.Lock()
	c.stats.Attempts++
	c.stats.AttemptsByHost[address]++
	c.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	req.ContentLength = int64(len(r.Body))
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	if c.opts.Mode != ModeTwo {
		return c.http.Do(req)
	}
	return c.sendChecked(req, address)
}

// Refresh asks the known hosts, then the seeds, for addresses. A host in use
// stays in use while it is in the answer.
func (c *Client) Refresh(ctx context.Context) error {
	c.mu.Lock()
	c.asked = time.Now()
	c.stats.AddressQueries++
	candidates := make([]string, 0, len(c.hosts)+len(c.opts.Seeds))
	for _, h := range c.hosts {
		candidates = append(candidates, h.Address)
	}
	candidates = append(candidates, c.opts.Seeds...)
	c.mu.Unlock()
	var last error
	for _, address := range candidates {
		attempt, cancel := context.WithTimeout(ctx, checkTimeout)
		answer, err := ask(attempt, c.http, address, c.opts.Zone)
		cancel()
		if err == nil && len(answer.Hosts) > 0 {
			c.adopt(answer)
			return nil
		}
		last = err
	}
	return &NoHostError{Cause: last}
}

// adopt takes an answer over. The host in use stays first if the answer has it.
func (c *Client) adopt(a entry.HostList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Now().Add(time.Duration(a.TTLSeconds * float64(time.Second)))
	hosts := a.Hosts
	if len(c.hosts) > 0 {
		hosts = keepFirst(hosts, c.hosts[0].Address)
	}
	c.hosts = hosts
}

func keepFirst(hosts []entry.Host, address string) []entry.Host {
	out := make([]entry.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Address == address {
			out = append(out, h)
		}
	}
	for _, h := range hosts {
		if h.Address != address {
			out = append(out, h)
		}
	}
	return out
}

// StatusError reports an answer other than 200 to a question for addresses.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// ask asks one host for addresses.
func ask(ctx context.Context, client *http.Client, address, zone string) (entry.HostList, error) {
	u := "http://" + address + "/v1/entry-hosts?zone=" + url.QueryEscape(zone)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return entry.HostList{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return entry.HostList{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return entry.HostList{}, &StatusError{Status: resp.StatusCode}
	}
	var a entry.HostList
	err = json.NewDecoder(resp.Body).Decode(&a)
	return a, err
}
