package entry

import (
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/snipereach/snipereach/claim"
	"github.com/snipereach/snipereach/forward"
	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/upstream"
	"github.com/snipereach/snipereach/wire"
)

// headerReplayed marks a response that was stored for an earlier attempt.
const headerReplayed = "Idempotent-Replayed"

// maxIdempotencyKeyLength is in bytes.
const maxIdempotencyKeyLength = 256

// ringMembers returns the entries that may hold claim registers.
func (e *Entry) ringMembers() []*wire.RingMember { return e.node.RingMembers() }

// openClaims opens the data folder of the claim register, if one is configured.
func (e *Entry) openClaims() error {
	fs, err := e.settings.claimsFolder()
	if err != nil || fs == nil {
		return err
	}
	return e.claims.Open(fs, claim.FolderEvents{
		Discarded: func(cause error) {
			kernel.Warn(e.log, "Claims in the data folder can't be used. The register discarded them.", "err", cause)
		},
		WriteFailed: func(cause error) {
			kernel.Warn(e.log, "Claim can't be made durable. The register grants no claims until a restart.", "err", cause)
		},
	})
}

// ClaimsReady reports whether the entry knows the current ring of claim registers
// and the ring has enough members for a majority.
func (e *Entry) ClaimsReady() bool {
	r := e.claims.Ring()
	return r.Confirmed && len(r.Ring.GetMembers()) >= claim.Majority
}

// CanGrantClaims reports whether the entry's claim register may grant any key.
func (e *Entry) CanGrantClaims() bool { return e.claims.CanGrant() }

// claimKey claims the request's idempotency key, if it has one and isn't idempotent.
// done is true if the caller was sent the stored answer of an earlier attempt.
//
// The claim precedes admission: a refusal by a limit reports the outcome "not run",
// which is true of a key only while this request holds it, because an earlier attempt
// with the same key may have run.
func (q *request) claimKey(deadline time.Time) (hold *claim.Hold, done bool, ref *wire.Refusal) {
	key := q.r.Header.Get(headerIdempotencyKey)
	if key == "" || q.idempotent() {
		return nil, false, nil
	}
	if len(key) > maxIdempotencyKeyLength {
		return nil, false, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "header "+headerIdempotencyKey+": longer than 256 characters")
	}
	start := time.Now()
	out := q.entry.claims.Claim(q.r.Context(), claim.Request{
		Key: &wire.ClaimKey{Team: q.team.Name, Service: q.service.Name, Key: key},
		ID:  q.id, Entry: q.entry.incarnation.ToWire(), Digest: q.digest(),
		TTL: q.service.ClaimTTL, Deadline: deadline, RoundTimeout: q.entry.settings.ClaimRoundTimeout.D(),
	}, q.entry.node.HasEnded)
	metrics.GetOrRegisterTimer("entry.claims", q.entry.metrics).UpdateSince(start)
	switch out.Decision {
	case claim.Run:
		return out.Hold, false, nil
	case claim.Replay:
		q.replayAnswer(out.Record.Answer)
		return nil, true, nil
	case claim.Mismatch:
		return nil, false, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "the idempotency key was used for another request")
	}
	return nil, false, q.claimRefusal(out.Record)
}

// digest distinguishes different requests that use the same idempotency key.
func (q *request) digest() []byte {
	h := sha256.New()
	h.Write([]byte(q.r.Method + " " + q.path + "\n"))
	h.Write(q.body)
	return h.Sum(nil)[:16]
}

// claimRefusal returns the refusal of a request whose key can't be claimed. Its
// outcome is "unknown", because an earlier attempt may have run.
func (q *request) claimRefusal(rec *wire.ClaimRecord) *wire.Refusal {
	reason, detail := wire.Reason_REASON_CLAIM_LOST, "too few claim registers of the key answered"
	if rec != nil {
		reason, detail = wire.Reason_REASON_CLAIM_HELD, "an earlier attempt may be running"
		switch {
		case rec.State == wire.ClaimState_CLAIM_STATE_ANSWERED:
			detail = "an earlier attempt ran and was answered; its answer was not stored"
		case rec.State == wire.ClaimState_CLAIM_STATE_UNKNOWN:
			detail = "an earlier attempt may have run"
		}
	}
	ref := q.entry.refuse(reason, detail)
	ref.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	return ref
}

func (q *request) replayAnswer(a *wire.StoredAnswer) {
	for _, f := range a.Headers {
		q.w.Header().Add(f.Name, f.Value)
	}
	q.w.Header().Set(upstream.HeaderRequestID, q.id)
	q.w.Header().Set(headerReplayed, "true")
	q.w.WriteHeader(int(a.Status))
	if q.r.Method != http.MethodHead {
		_, _ = q.w.Write(a.Body)
	}
	metrics.GetOrRegisterCounter("entry.answers.replayed", q.entry.metrics).Inc(1)
}

// settleClaim reports the request's outcome to the key's claim registers.
func (q *request) settleClaim(hold *claim.Hold, res forward.Result, sink *httpSink) {
	if hold == nil {
		return
	}
	switch {
	case res.Outcome == wire.Outcome_OUTCOME_DONE && res.Reason == 0:
		hold.Settle(wire.ClaimState_CLAIM_STATE_ANSWERED, sink.stored)
	case res.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		hold.Settle(wire.ClaimState_CLAIM_STATE_RELEASED, nil)
	default:
		hold.Settle(wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	}
}
