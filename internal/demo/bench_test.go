package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"buckthornseam.dev/seam/internal/serve"
)

// passThrough returns a proxy that forwards each request and does nothing else. It
// is the baseline for the overhead of an entry host.
func passThrough(address string) http.Handler {
	transport := &http.Transport{MaxIdleConnsPerHost: 256}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.Path, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})
}

// BenchmarkWholePath compares requests through an entry host with requests to the
// stand-in engine directly and through passThrough, in one run.
func BenchmarkWholePath(b *testing.B) {
	c := startTestCluster(b, Options{Hosts: 1, Zones: []string{"suva"}, Engines: 1, HostListTTL: time.Millisecond})
	ctx := context.Background()
	inst, err := c.Hosts[0].Admin.Get(ctx, "team-qasr")
	if err != nil {
		b.Fatal(err)
	}
	inst.Params["rate"], inst.Params["burst"] = []byte("1000000000"), []byte("1000000000")
	stored, err := c.Hosts[0].Admin.Put(ctx, inst.Name, inst.Version, inst.Instance)
	if err != nil {
		b.Fatal(err)
	}
	if err := c.AwaitVersion(ctx, stored.Version); err != nil {
		b.Fatal(err)
	}
	if _, err := send(ctx, c.Hosts[0], chatPath, qasrKey, chat("invoice-draft", false), nil); err != nil {
		b.Fatal(err)
	}
	engine, err := c.serve(c.Engines["engine-0"].Handler())
	if err != nil {
		b.Fatal(err)
	}
	plain, err := c.serve(passThrough(engine))
	if err != nil {
		b.Fatal(err)
	}
	direct := chat("invoice-7b", false)
	b.Run("direct", func(b *testing.B) { measure(b, "http://"+engine, direct) })
	b.Run("pass-through", func(b *testing.B) { measure(b, "http://"+plain, direct) })
	b.Run("entry-host", func(b *testing.B) { measure(b, c.Hosts[0].URL(), chat("invoice-draft", false)) })
}

// measure sends requests in parallel and reports their rate and latency.
func measure(b *testing.B, base, body string) {
	const maxLatencyMicros = int64(10 * time.Second / time.Microsecond)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	var mu sync.Mutex
	all := hdrhistogram.New(1, maxLatencyMicros, 3)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		h := hdrhistogram.New(1, maxLatencyMicros, 3)
		for pb.Next() {
			start := time.Now()
			if err := post(client, base, body); err != nil {
				b.Error(err)
				return
			}
			_ = h.RecordValue(time.Since(start).Microseconds())
		}
		mu.Lock()
		defer mu.Unlock()
		all.Merge(h)
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-µs")
}

func post(client *http.Client, base, body string) error {
	req, err := http.NewRequest(http.MethodPost, base+chatPath, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+qasrKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &serve.StatusError{Status: resp.StatusCode}
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
