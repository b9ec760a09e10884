package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"buckthornseam.dev/seam/platform/standin"
)

// phase is the part of a soak run in which a request is sent.
type phase int32

const (
	phasePlannedWork phase = iota // only planned work takes place
	phaseFaults                   // faults are injected
	phaseRecovered                // all faults have ended
)

// caller sends requests one after the other and reuses its connections.
type caller struct {
	id         int
	hot        bool // asks for as much as it can for limitedTeam
	random     *rand.Rand
	fleet      *fleet
	checker    *checker
	phase      *atomic.Int32
	conn       net.Conn
	reader     *bufio.Reader
	sentOnConn int
}

// hotTokens is the size of each request of limitedTeam.
const hotTokens = 3_000

// requestTimeout is the deadline that callers state for each request.
const requestTimeout = 3 * time.Second

// requestsPerConn is the number of requests after which a caller closes its connection.
const requestsPerConn = 20

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		if c.conn == nil && !c.connect() {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		o := c.send(fmt.Sprintf("a%d-%d", c.id, i))
		c.checker.recordOutcome(o)
		if c.sentOnConn++; c.sentOnConn >= requestsPerConn {
			c.closeConn()
		}
		pause := time.Duration(c.random.IntN(20)) * time.Millisecond
		if o.status != http.StatusOK && !c.hot {
			pause += 50 * time.Millisecond
		}
		time.Sleep(pause)
	}
	c.closeConn()
}

func (c *caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
	}
	c.conn, c.sentOnConn = nil, 0
}

// connect asks the directory of a random host for addresses and connects to one
// of them.
func (c *caller) connect() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	host := c.fleet.hosts[c.random.IntN(len(c.fleet.hosts))]
	resp, err := client.Get("http://" + host.directoryAddr + "/resolve?name=h.example&region=r&zone=z")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	var hostList struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(resp.Body).Decode(&hostList) != nil || len(hostList.Addresses) == 0 {
		return false
	}
	conn, err := net.DialTimeout("tcp", hostList.Addresses[c.random.IntN(len(hostList.Addresses))], 500*time.Millisecond)
	if err != nil {
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// requestPaths holds the paths of requests. Each entry is equally likely.
var requestPaths = []string{"/draft/x", "/draft/x", "/draft/x", "/pay/x", "/pay/x", "/read/x"}

// longPath is the path of requests with long responses, which are sent only during planned
// work: one in longShare requests.
const (
	longPath    = "/draft" + standin.LongSuffix
	longShare   = 8
	longTimeout = 5 * time.Second // their deadline; leaves time to wait for a model
)

func (c *caller) send(attempt string) outcome {
	o := outcome{attemptID: attempt, path: requestPaths[c.random.IntN(len(requestPaths))], phase: phase(c.phase.Load())}
	if o.phase == phasePlannedWork && c.random.IntN(longShare) == 0 {
		o.path = longPath
	}
	if c.hot {
		o.path = "/pay/x"
	}
	began, deadline := time.Now(), requestTimeout
	o.host, o.sentAt = c.conn.RemoteAddr().String(), began
	if o.path == longPath {
		deadline = longTimeout
	}
	key, modelHeader := "k1", ""
	switch {
	case c.hot:
		key, modelHeader = "k7", fmt.Sprintf("Buckthornseam-Token-Count: %d,0\r\n", hotTokens)
	case c.random.IntN(4) == 0:
		key = "k2"
	}
	o.key = key
	if strings.HasPrefix(o.path, "/draft/") {
		modelHeader = "Buckthornseam-Model: " + models[c.random.IntN(len(models))] + "\r\n"
	}
	_ = c.conn.SetDeadline(time.Now().Add(2 * deadline))
	// Bodies differ, since hosts quarantine a request whose repetitions keep crashing targets.
	fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nBuckthornseam-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\nBuckthornseam-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		o.path, attempt, key, deadline.Milliseconds(), modelHeader, len(attempt), attempt)
	resp, err := http.ReadResponse(c.reader, nil)
	o.endedAt = time.Now()
	if err != nil {
		o.timedOut = o.endedAt.Sub(began) >= deadline
		o.failure = fmt.Sprintf("request %d on the connection to %v at %v: %v", c.sentOnConn, c.conn.RemoteAddr(), time.Now().Format(time.StampMilli), err)
		c.closeConn()
		return o
	}
	body, err := io.ReadAll(resp.Body)
	o.status, o.body, o.complete = resp.StatusCode, string(body), err == nil
	o.timedOut = time.Since(began) >= deadline
	o.target = strings.TrimPrefix(resp.Header.Get("Buckthornseam-Server-Stamp"), "stamp-")
	o.fromHost = o.target == ""
	if resp.Close || err != nil {
		c.closeConn()
	}
	return o
}
