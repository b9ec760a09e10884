package inquiry

import (
	"fmt"
	"testing"
	"time"
)

var testOptions = Options{Wait: 3 * time.Second, RoundInterval: 400 * time.Millisecond, SlowInterval: 2 * time.Second}

func peersOf(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("p", i)
	}
	return out
}

// run plays an inquiry in which each peer gives the same answer whenever it is asked; those without one never answer. It returns
// the verdict, when it came, and the number of questions.
func run(opts Options, peers []string, answers map[string]Answer) (Verdict, time.Duration, int) {
	q, questions := New(time.Hour, opts), 0
	for at := time.Hour; ; at += 10 * time.Millisecond {
		for _, peer := range q.NextRound(at, peers) {
			questions++
			if a, ok := answers[peer]; ok {
				q.Answered(peer, a)
			} else {
				q.Failed()
			}
		}
		if v := q.Verdict(at, peers); v != Pending {
			return v, at - time.Hour, questions
		}
	}
}

// TestSilenceIsNoAnswer guards against a process that takes peers which it cannot reach for peers that know nothing.
func TestSilenceIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		peers   int
		witness bool
		answers map[string]Answer
		want    Verdict
		wait    time.Duration
	}{
		"nobody is listed yet":           {0, false, nil, TimedOut, testOptions.Wait},
		"no peer answers":                {2, false, nil, TimedOut, testOptions.Wait},
		"one informed, one silent":       {2, false, map[string]Answer{"p1": Informed}, Told, 0},
		"one unaware, one silent":        {2, false, map[string]Answer{"p1": Unaware}, TimedOut, testOptions.Wait},
		"one witness, one silent":        {2, false, map[string]Answer{"p1": Witness}, TimedOut, testOptions.Wait},
		"this and another one witnesses": {2, true, map[string]Answer{"p1": Witness}, MostAsked, 0},
		"a cut-off pair of eight":        {7, true, map[string]Answer{"p1": Witness}, TimedOut, testOptions.Wait},
		"all have just started":          {2, false, map[string]Answer{"p0": Unaware, "p1": Unaware}, AllAsked, 0},
		"one of twenty is informed":      {20, false, map[string]Answer{"p19": Informed}, Told, 2 * testOptions.RoundInterval},
	} {
		opts := testOptions
		opts.Witness = c.witness
		verdict, took, _ := run(opts, peersOf(c.peers), c.answers)
		if verdict != c.want || took > c.wait || c.want == TimedOut && took < c.wait {
			t.Errorf("%s: %s after %v, want %s after %v", name, verdict, took, c.want, c.wait)
		}
	}
}

// TestQuestionsOfALargeFleetAreBounded is the control of the costs: hundreds of hosts that start at once each ask a few others.
func TestQuestionsOfALargeFleetAreBounded(t *testing.T) {
	peers, answers := peersOf(300), map[string]Answer{}
	for _, p := range peers {
		answers[p] = Unaware
	}
	if verdict, _, questions := run(testOptions, peers, answers); verdict != AllAsked || questions > manyAnswers {
		t.Errorf("%s after %d questions, want %s after %d at most", verdict, questions, AllAsked, manyAnswers)
	}
	if _, _, questions := run(testOptions, peers, nil); questions > 70 {
		t.Errorf("%d questions to peers that do not answer, want 70 at most: a round of eight each 0.4 s", questions)
	}
}

// TestInquiryGoesOnAfterItTimedOut guards against a process that was alone for a while never hearing of what it missed.
func TestInquiryGoesOnAfterItTimedOut(t *testing.T) {
	q, peers := New(0, testOptions), peersOf(2)
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		for _, peer := range q.NextRound(at, peers) {
			if at > 5*time.Second {
				q.Answered(peer, Informed)
			} else {
				q.Failed()
			}
		}
		if v := q.Verdict(at, peers); at == 4*time.Second && v != TimedOut {
			t.Errorf("%s after 4 s, want %s", v, TimedOut)
		}
	}
	if v := q.Verdict(10*time.Second, peers); v != Told || q.ToldBy() == "" {
		t.Errorf("%s by %q once the peers answer, want %s", v, q.ToldBy(), Told)
	}
}
