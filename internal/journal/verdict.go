package journal

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	core "buckthornseam.dev/coord/journal"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// Times after which a refused caller should try again.
const (
	retryInProgress  = time.Second
	retryUnavailable = time.Second
	retryFull        = time.Minute
)

// membershipDelay is the time within which a new host is certain to be listed
// as a member. A younger attempt of an unlisted host may still be running.
const membershipDelay = 10 * time.Second

// answerOrRefuse converts the verdict on a call that was not granted into the
// answer or refusal for the caller.
func (j *Journal) answerOrRefuse(id serve.CallID, reply beginReply) (serve.Response, error) {
	if reply.Verdict == core.InProgress && j.abandoned(reply) {
		reply.Verdict = core.Unknown
	}
	if reply.Verdict != core.Replay {
		return serve.Response{}, refuse(reply.Verdict)
	}
	var answer serve.Response
	if err := json.Unmarshal(reply.Answer, &answer); err != nil {
		return serve.Response{}, refuse(core.AnswerNotKept).WithCause(err)
	}
	if answer.Header == nil {
		answer.Header = map[string]string{}
	}
	answer.Header[serve.HeaderReplayed] = "true"
	return answer, nil
}

// abandoned reports whether the host of a started attempt is no longer expected
// to report its outcome. It only decides between two refusals.
func (j *Journal) abandoned(reply beginReply) bool {
	if reply.Age > j.opts.AttemptTTL {
		return true
	}
	if reply.Age < membershipDelay {
		return false
	}
	for _, m := range j.opts.Members.Members() {
		if strings.HasPrefix(reply.Attempt, m.ID.String()+"/") {
			return false
		}
	}
	return true
}

// refuse returns the refusal for a verdict. Its execution is not_run only if
// the call of this request did not run and never will. For a repeat not_run
// would say nothing about the first attempt, so repeats get unknown or ran.
func refuse(v core.Verdict) *refusal.Error {
	switch v {
	case core.InProgress:
		return refusal.New(http.StatusConflict, refusal.CodeInProgress, "A call with this idempotency key is in progress.").
			WithExecution(refusal.Unknown).WithRetryAfter(retryInProgress)
	case core.Unknown:
		return refusal.New(http.StatusConflict, refusal.CodeOutcomeUnknown, "A call with this idempotency key was sent and its outcome is unknown; it is not sent again.").
			WithExecution(refusal.Unknown)
	case core.AnswerNotKept:
		return refusal.New(http.StatusConflict, refusal.CodeOutcomeUnknown, "A call with this idempotency key ran; its answer was too large to keep.").
			WithExecution(refusal.Ran)
	case core.KeyReused:
		return refusal.New(http.StatusUnprocessableEntity, refusal.CodeIdempotencyKeyReused, "This idempotency key was used for another request.")
	case core.Full:
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeJournalUnavailable, "The journal has no room for another call.").WithRetryAfter(retryFull)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeJournalUnavailable, "The call could not be recorded and was not sent.").WithRetryAfter(retryUnavailable)
}

// encodeAnswer returns the stored form of an answer.
func encodeAnswer(a serve.Response) json.RawMessage {
	data, err := json.Marshal(a)
	if err != nil {
		return nil // repeats are then told that the answer was not kept
	}
	return data
}
