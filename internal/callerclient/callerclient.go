// Package callerclient is a client for programs that call buckthornseam. It queries an
// entry host for the addresses to use, caches them for the time stated in the
// response, and sends requests to them directly.
package callerclient

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
	"buckthornseam.dev/seam/internal/stricthttp"
)

// Mode selects how a client uses the addresses it received.
type Mode string

// The modes.
const (
	// ModeOne uses the first address until the host list expires.
	ModeOne Mode = "one"
	// ModeList tries the addresses in order and connects to each only when
	// the ones before it have failed.
	ModeList Mode = "list"
	// ModeTwo keeps connections to the first two addresses, which are in
	// different availability zones if possible, so that it can fail over at
	// once. A host that does not respond is checked over a new connection
	// before the deadline.
	ModeTwo Mode = "two"
)

// Timing of a client.
const (
	dialTimeout     = 300 * time.Millisecond
	checkAfter      = 350 * time.Millisecond // without response headers for this long, ModeTwo checks the host
	checkTimeout    = 300 * time.Millisecond
	standbyInterval = 5 * time.Second // between requests on the standby connection, to keep it open
	minRefresh      = 200 * time.Millisecond
)

// maxHosts is the largest number of entry hosts with a retry budget.
const maxHosts = 256

// Options configure a Client.
type Options struct {
	Seeds []string // IP:port of some entry hosts, queried in order if no known host responds
	Zone  string   // availability zone of the caller
	Mode  Mode
}

// budgetName is the team name under which the client's retries are counted.
const budgetName = "caller"

// Client sends requests to entry hosts. It is safe for concurrent use.
type Client struct {
	opts   Options
	http   *http.Client
	budget *retry.Budget

	mu        sync.Mutex
	hosts     []entry.Host // the first is in use
	expires   time.Time
	lastQuery time.Time
	stats     Stats
}

// Stats are the counters of a client.
type Stats struct {
	Attempts       int            // requests sent, including retries
	Failed         int            // attempts without a response
	Switches       int            // attempts at a host other than the first of the list
	AddressQueries int            // refreshes of the host list
	AttemptsByHost map[string]int // attempts by host address
}

// NoHostError reports that no entry host responded.
type NoHostError struct {
	Cause error
}

func (e *NoHostError) Error() string { return fmt.Sprintf("no entry host responded: %v", e.Cause) }

// Unwrap returns the cause.
func (e *NoHostError) Unwrap() error { return e.Cause }

// UnresponsiveError reports a host that responded to neither the request nor a check.
type UnresponsiveError struct {
	Address string
}

func (e *UnresponsiveError) Error() string { return "entry host " + e.Address + " is unresponsive" }

// New returns a client without cached addresses.
func New(opts Options) (*Client, error) {
	budget, err := retry.New(retry.Options{Metrics: tally.NoopScope, MaxBudgets: maxHosts})
	if err != nil {
		return nil, err
	}
	transport := stricthttp.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
	})
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
	Repeatable bool // may be retried after an unknown outcome, for example because it has an idempotency key
}

// Do sends a request, retries it if that is safe, and returns the first response. The
// caller must close its body.
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
			c.budget.RecordSent(budgetName, address)
		}
		resp, err := c.send(ctx, address, r)
		if err == nil {
			return resp, nil
		}
		last = err
		c.recordFailure(address)
		if c.opts.Mode == ModeOne || ctx.Err() != nil || !(r.Repeatable || isDialError(err)) {
			return nil, err
		}
		// Retries are limited to a fraction of the requests, so that they
		// do not add load to hosts that are slow because of overload.
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

// isDialError reports whether err is a failure to connect, so that nothing was sent.
func isDialError(err error) bool {
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

// pick returns the first address that was not tried yet. It refreshes an expired
// host list first.
func (c *Client) pick(ctx context.Context, tried map[string]bool) (string, error) {
	if c.needsRefresh() {
		if err := c.Refresh(ctx); err != nil && c.hostCount() == 0 {
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

func (c *Client) needsRefresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().After(c.expires) && time.Since(c.lastQuery) > minRefresh
}

func (c *Client) hostCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.hosts)
}

// recordFailure counts a failed attempt and, except in ModeOne, moves the host to the end
// of the list if it is the one in use.
func (c *Client) recordFailure(address string) {
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

// Refresh queries the known hosts, then the seeds, until one returns addresses. The
// host in use remains the first if it is among them.
func (c *Client) Refresh(ctx context.Context) error {
	c.mu.Lock()
	c.lastQuery = time.Now()
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
		list, err := queryHosts(attempt, c.http, address, c.opts.Zone)
		cancel()
		if err == nil && len(list.Hosts) > 0 {
			c.setHosts(list)
			return nil
		}
		last = err
	}
	return &NoHostError{Cause: last}
}

// setHosts replaces the host list. The host in use remains the first if it is in the new list.
func (c *Client) setHosts(list entry.HostList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expires = time.Now().Add(time.Duration(list.TTLSeconds * float64(time.Second)))
	hosts := list.Hosts
	if len(c.hosts) > 0 {
		hosts = moveToFront(hosts, c.hosts[0].Address)
	}
	c.hosts = hosts
}

func moveToFront(hosts []entry.Host, address string) []entry.Host {
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

// StatusError reports a status other than 200 in response to an address query.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Status) }

// queryHosts queries one host for the host list.
func queryHosts(ctx context.Context, client *http.Client, address, zone string) (entry.HostList, error) {
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
	var list entry.HostList
	err = json.NewDecoder(resp.Body).Decode(&list)
	return list, err
}
