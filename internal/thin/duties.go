package thin

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// Limiter gives each team its rate divided by the number of hosts.
type Limiter struct {
	Hosts int

	mu      sync.Mutex
	buckets map[string]*rate.Limiter
}

// Reserve implements serve.Limiter.
func (l *Limiter) Reserve(_ context.Context, team *config.Team, tokens int64) (serve.Reservation, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = map[string]*rate.Limiter{}
	}
	b := l.buckets[team.Name]
	if b == nil {
		b = rate.NewLimiter(rate.Limit(team.Rate/float64(l.Hosts)), int(team.Burst)/l.Hosts)
		l.buckets[team.Name] = b
	}
	if !b.AllowN(time.Now(), int(tokens)) {
		return nil, refusal.New(http.StatusTooManyRequests, refusal.CodeRateLimited, "The team's rate is used up.").WithRetry(time.Second)
	}
	return kept{}, nil
}

// kept is a reservation whose unused part is not returned.
type kept struct{}

func (kept) Settle(int64) {}

// Queue lets every request through at once.
type Queue struct{}

// Acquire implements serve.Queue.
func (Queue) Acquire(context.Context, serve.Ticket) (func(), error) { return func() {}, nil }

// Quarantine keeps no requests back.
type Quarantine struct{}

// Check implements serve.Quarantine.
func (Quarantine) Check(string, string) error { return nil }

// Crashed implements serve.Quarantine.
func (Quarantine) Crashed(string, string, string) {}

// Retries allows every retry after a jittered wait.
type Retries struct{}

// Sent implements serve.RetryBudget.
func (Retries) Sent(string, string) {}

// Allow implements serve.RetryBudget.
func (Retries) Allow(string, string) bool { return true }

// Backoff implements serve.RetryBudget.
func (Retries) Backoff(retry int) time.Duration {
	const base = 20 * time.Millisecond
	return time.Duration(rand.Int64N(int64(base << min(retry, 5))))
}

// Journal keeps one object for each idempotency key.
type Journal struct {
	API platform.API
}

type journalEntry struct {
	Fingerprint string        `json:"fingerprint"`
	Done        bool          `json:"done"`
	Answer      *serve.Answer `json:"answer,omitempty"`
}

// Do implements serve.Journal.
func (j Journal) Do(ctx context.Context, id serve.AttemptID, run serve.RunFunc) (serve.Answer, error) {
	name := config.HashKey(id.Team + "\x00" + id.IdempotencyKey)
	entry := journalEntry{Fingerprint: id.Fingerprint}
	obj, err := j.put(ctx, platform.Object{Kind: platform.KindJournals, Name: name}, entry)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return j.repeat(ctx, name, id)
	}
	if err != nil {
		return serve.Answer{}, refusal.New(http.StatusServiceUnavailable, refusal.CodeJournalDown, "The attempt could not be recorded.").
			WithRetry(time.Second).WithCause(err)
	}
	answer, ran, err := run(ctx)
	if err != nil && !ran {
		_ = j.API.Delete(context.WithoutCancel(ctx), obj.Kind, obj.Name, obj.Version) // a repeat then sees in_progress
		return serve.Answer{}, err
	}
	if err != nil {
		return serve.Answer{}, err
	}
	entry.Done, entry.Answer = true, &answer
	_, _ = j.put(context.WithoutCancel(ctx), obj, entry) // a repeat then sees in_progress
	return answer, nil
}

func (j Journal) put(ctx context.Context, obj platform.Object, entry journalEntry) (platform.Object, error) {
	data, err := json.Marshal(entry)
	if err != nil {
		return platform.Object{}, err
	}
	obj.Data = data
	return j.API.Put(ctx, obj)
}

func (j Journal) repeat(ctx context.Context, name string, id serve.AttemptID) (serve.Answer, error) {
	obj, err := j.API.Get(ctx, platform.KindJournals, name)
	if err != nil {
		return serve.Answer{}, refusal.New(http.StatusServiceUnavailable, refusal.CodeJournalDown, "The attempt could not be read.").WithCause(err)
	}
	var entry journalEntry
	if err := json.Unmarshal(obj.Data, &entry); err != nil {
		return serve.Answer{}, err
	}
	if entry.Fingerprint != id.Fingerprint {
		return serve.Answer{}, refusal.New(http.StatusUnprocessableEntity, refusal.CodeKeyReused, "The idempotency key was used for another request.")
	}
	if !entry.Done {
		return serve.Answer{}, refusal.New(http.StatusConflict, refusal.CodeInProgress, "The first call has not ended.").
			WithExecution(refusal.Unknown).WithRetry(time.Second)
	}
	return *entry.Answer, nil
}
