package journal

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// apiRoundTrip is the time of one object API call in the load runs.
const apiRoundTrip = 5 * time.Millisecond

// loadResult is the result of runLoad.
type loadResult struct {
	calls, writes int64
	wait          *hdr.Histogram // from Do to dispatch, µs
}

// runLoad sends calls at a steady rate through 8 hosts in fake time.
func runLoad(t *testing.T, rate int, span time.Duration) (out loadResult) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := peertest.New(1)
		net.SetFaults(peertest.Faults{MaxDelay: time.Millisecond})
		store := objectapi.NewStore()
		store.SetFaults(objectapi.Faults{Delay: apiRoundTrip})
		log := logrus.New()
		log.SetOutput(io.Discard)
		var journals []*Journal
		var wg sync.WaitGroup
		const hosts = 8
		members := make([]*peertest.Host, hosts)
		for i := range members {
			members[i] = net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprint("h", i), Incarnation: "1"}})
		}
		for _, h := range members {
			j, err := New(Options{Members: h, Caller: h, Registrar: h, API: store, Log: log, Metrics: tally.NoopScope})
			if err != nil {
				t.Fatal(err)
			}
			journals = append(journals, j)
			wg.Go(func() { _ = j.Run(ctx) })
		}
		out.wait = hdr.New(1, 60_000_000, 3)
		var mu sync.Mutex
		call := func(i int, record bool) {
			begin := time.Now()
			id := serve.CallID{Team: "team", IdempotencyKey: fmt.Sprint(i), Fingerprint: "0123456789abcdef"}
			_, err := journals[i%hosts].Do(ctx, id, func(context.Context) (serve.Response, bool, error) {
				mu.Lock()
				defer mu.Unlock()
				if record {
					_ = out.wait.RecordValue(time.Since(begin).Microseconds())
				}
				return serve.Response{Status: 200, Body: make([]byte, 200)}, true, nil
			})
			if err != nil {
				t.Errorf("call %d: %v", i, err)
			}
		}
		const warmups = 500 // loads every shard
		for i := range warmups {
			wg.Go(func() { call(i, false) })
		}
		time.Sleep(10 * time.Second)
		before := store.Calls()["put"]
		out.calls = int64(rate) * int64(span/time.Second)
		var callers sync.WaitGroup
		for i := range int(out.calls) {
			callers.Go(func() { call(warmups+i, true) })
			time.Sleep(time.Second / time.Duration(rate))
		}
		callers.Wait()
		time.Sleep(2 * time.Second) // the outcomes of the last attempts are written
		out.writes = store.Calls()["put"] - before
		cancel()
		wg.Wait()
	})
	return out
}

func TestGroupCommit(t *testing.T) {
	out := runLoad(t, 5000, 10*time.Second)
	perWrite := float64(out.calls) / float64(out.writes)
	t.Logf("5000 calls/s: %d calls, %d writes, %.1f attempts a write; wait p50 %d µs, p99 %d µs",
		out.calls, out.writes, perWrite, out.wait.ValueAtQuantile(50), out.wait.ValueAtQuantile(99))
	if perWrite < 50 {
		t.Errorf("%.1f attempts a write, want at least 50", perWrite)
	}
}

func TestLightLoadWait(t *testing.T) {
	out := runLoad(t, 20, 60*time.Second)
	p99 := time.Duration(out.wait.ValueAtQuantile(99)) * time.Microsecond
	t.Logf("20 calls/s: %d calls, %d writes; wait p50 %d µs, p99 %v, most %d µs",
		out.calls, out.writes, out.wait.ValueAtQuantile(50), p99, out.wait.Max())
	if p99 > 2*apiRoundTrip {
		t.Errorf("p99 %v, want at most 2 object API round trips of %v", p99, apiRoundTrip)
	}
}
