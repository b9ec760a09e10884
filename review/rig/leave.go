package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["leave"] = leave }

// Figures of the consumers that leave.
const (
	invoices  = 60
	leaveOne  = 5                      // in so many leaves: a share of 0.2
	leaveTime = 150 * time.Millisecond // half the objective of 300 ms
)

// leave: some consumers leave before their time budget. They end their channel in order: they send the end of their side, and read until the
// machine has ended its own.
func leave(r *rig, trouble bool) (broken []string) {
	r.store.put("config", "main", plainConfig(1, []any{oneTenant("k-hule")}))
	for i := range 3 {
		r.startEngine(&engine{id: fmt.Sprintf("i-app%d", i), service: "wuno96b", version: "v1", zone: r.site.zones[i%3], slots: 6, work: 400 * time.Millisecond}) // the sheet has up to 450 ms
	}
	r.startHosts(3)
	time.Sleep(4 * time.Second)
	var wg sync.WaitGroup
	var mu sync.Mutex
	left, whole, falsely := 0, 0, 0
	for i := range invoices {
		leaves := trouble && i%leaveOne == 0
		wg.Go(func() {
			id := newAttempt()
			status, stamp, body, err := r.invoice(r.hosts[i%len(r.hosts)], id, leaves)
			r.note("try %s, leaves %v, gets %d, stamp %q, body %q, error %v", id, leaves, status, stamp, body, err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status/100 == 2 && stamp == "":
				falsely++
			case status/100 == 2:
				whole++
			}
			if leaves {
				left++
			}
		})
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	ran := map[string]bool{}
	r.mu.Lock()
	for _, run := range r.runs {
		ran[run.attempt] = true
	}
	r.mu.Unlock()
	fmt.Printf("%d requests, %d run, %d consumers left, %d successes with a stamp, %d without\n", invoices, len(ran), left, whole, falsely)
	if whole < (invoices-left)*9/10 {
		cannotRun("only %d requests of those who stay are served", whole)
	}
	if falsely > 0 {
		broken = append(broken, fmt.Sprintf("MIXED: %d consumers get a success without the engine's stamp and body", falsely))
	}
	return broken
}

// invoice sends one request that may run once.
func (r *rig) invoice(h *host, id string, leaves bool) (status int, stamp, body string, err error) {
	c, err := net.DialTimeout("tcp", h.front, time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = c.Close() }()
	text := "issue invoice " + id
	r.note("try %s to %s, leaves %v", id, h.name, leaves)
	_, _ = fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nBuckthornseam-Attempt-Id: %s\r\nBuckthornseam-Deadline-Ms: 3000\r\nAuthorization: Bearer k-hule\r\nContent-Length: %d\r\n\r\n%s", callerHost, id, len(text), text)
	if leaves {
		time.Sleep(leaveTime)
		_ = c.(*net.TCPConn).CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(4 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err // the channel ended without an answer
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Buckthornseam-Server-Stamp"), string(data), err
}
