package crashcause

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// maxMessageBytes is what a host with a link of 10 Mbit/s receives within a tenth of the time that a report may take.
const maxMessageBytes = 50_000

// TestMuchEvidenceComesInSmallMessages guards against a change of the coordinating host that fails, since all hosts exchange all they know
// with the new one at once, and then with the next one.
func TestMuchEvidenceComesInSmallMessages(t *testing.T) {
	for _, to := range []Direction{ToCoordinator, ToHost} {
		sender, now := full()
		receiver, cursor := New(), Cursor{}
		exchange := func() (more bool) {
			now += resendInterval
			e := sender.Changes(now, &cursor, to)
			if e == nil {
				return false
			}
			if data, err := json.Marshal(e); err != nil || len(data) > maxMessageBytes {
				t.Errorf("message of %d bytes, %v, want %d at most", len(data), err, maxMessageBytes)
			}
			receiver.MergeUpdate(now, e)
			return e.More
		}
		exchange()
		sender.RecordFailure(now, "late", []string{"late"}, "late target", now-time.Millisecond)
		if to == ToHost {
			sender.RecordFailure(now, "later", []string{"late"}, "another target", now-time.Millisecond) // a single one is of no use to hosts
		}
		more := exchange()
		if len(receiver.failures["late"]) != len(sender.failures["late"]) {
			t.Error("a failure waits for all earlier ones")
		}
		for n := 0; more && n < 2*fullOfSuspects/maxFailureRecords; n++ {
			more = exchange()
		}
		for part, failures := range sender.failures {
			for _, f := range failures {
				if receiver.failureAt(part, f.target) == nil {
					t.Fatalf("the receiver does not know the failure of %s under %s", f.target, part)
				}
			}
		}
		if e := sender.Changes(now, &cursor, to); e != nil && len(e.Failures) > 0 {
			t.Errorf("%d failures are sent again", len(e.Failures))
		}
	}
}

// TestPartsThatFailASecondTimeAreToldInFull guards against hosts that never hear of the first failures of parts, which they were not sent
// while the part had failed once only.
func TestPartsThatFailASecondTimeAreToldInFull(t *testing.T) {
	sender, receiver, now, cursor := New(), New(), start, Cursor{}
	var parts []string
	for i := range 3 * maxFailureRecords / 2 {
		parts = append(parts, fmt.Sprint("part", i))
	}
	for i := range 2 {
		now += time.Second
		sender.RecordFailure(now, fmt.Sprint(i), parts, fmt.Sprint("target", i), now-time.Millisecond)
		for e := (&Evidence{More: true}); e != nil && e.More; now += resendInterval {
			e = sender.Changes(now, &cursor, ToHost)
			receiver.MergeUpdate(now, e)
		}
		for _, part := range parts {
			if n := len(receiver.failures[part]); n != 2*i {
				t.Fatalf("the receiver knows %d failures of %s after %d", n, part, i+1)
			}
		}
	}
}

// TestNothingIsBlockedOnPartOfTheEvidence guards against blocking a sound part, since the failures of the part that explains its
// own have not come yet.
func TestNothingIsBlockedOnPartOfTheEvidence(t *testing.T) {
	s := newScript()
	for range 6 {
		s.fail([]string{"head", "bad"})
	}
	now := s.now + 2*settleTime
	e := s.t.Changes(now, &Cursor{}, ToHost)
	head, bad := Evidence{More: true}, Evidence{}
	for _, r := range e.Failures {
		if r.Part == "head" {
			head.Failures = append(head.Failures, r)
		} else {
			bad.Failures = append(bad.Failures, r)
		}
	}
	receiver := New()
	receiver.MergeUpdate(now, &head)
	receiver.Evaluate(now)
	if receiver.Check(now, []string{"head"}, never) != "" {
		t.Error("head is blocked before the failures of bad are known")
	}
	receiver.MergeUpdate(now+moreTimeout/2, &bad)
	now += moreTimeout
	receiver.Evaluate(now)
	if receiver.Check(now, []string{"bad"}, never) == "" || receiver.Check(now, []string{"head"}, never) != "" {
		t.Error("want bad blocked, and nothing else, once all is known")
	}
}

// TestMessagesOfBuildsBefore plays an upgrade: what a build before sends names no request and no incomplete target, and what this one
// sends has the fields that it reads.
func TestMessagesOfBuildsBefore(t *testing.T) {
	receiver, now := New(), start
	for i := range 3 {
		now += time.Second
		var e Evidence
		text := fmt.Sprintf(`{"f":[{"p":"head","t":"target%d","s":100,"b":50},{"p":"bad","t":"target%d","s":100,"b":50,"i":1}],"c":[{"p":"head","w":9,"l":0}]}`, i, i)
		if err := json.Unmarshal([]byte(text), &e); err != nil {
			t.Fatal(err)
		}
		receiver.MergeReport(now, "host", &e)
	}
	now += 2 * settleTime
	receiver.Evaluate(now)
	if receiver.Check(now, []string{"bad"}, never) == "" || receiver.Check(now, []string{"head"}, never) != "" {
		t.Error("want bad blocked, and nothing else")
	}
	data, err := json.Marshal(receiver.Changes(now, &Cursor{}, ToHost))
	if err != nil {
		t.Fatal(err)
	}
	var before struct {
		Failures []struct {
			Part     string `json:"p"`
			Target   string `json:"t"`
			Position int    `json:"i"`
			SentMS   int64  `json:"s"`
			BrokeMS  int64  `json:"b"`
		} `json:"f"`
		Blocks []struct {
			Part string `json:"p"`
		} `json:"b"`
	}
	if err := json.Unmarshal(data, &before); err != nil || len(before.Failures) != 6 || len(before.Blocks) != 1 || before.Blocks[0].Part != "bad" {
		t.Errorf("a build before reads %+v, %v", before, err)
	}
}
