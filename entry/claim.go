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

// headerReplayed marks an answer that was stored for an earlier sending.
const headerReplayed = "Idempotent-Replayed"

// maxKey bounds an idempotency key.
const maxKey = 256

// ringMembers lists the entries that may hold claim registers.
func (e *Entry) ringMembers() []*wire.RingMember { return e.node.RingMembers() }

// openClaims gives the claim register its data folder, if it has one.
func (e *Entry) openClaims() error {
	fs, err := e.settings.claimsFolder()
	if err != nil || fs == nil {
		return err
	}
	return e.claims.Open(fs, claim.Events{
		Forgot: func(cause error) {
			kernel.Warn(e.log, "Claims in the data folder can't be used. The register has forgotten.", "err", cause)
		},
		Failed: func(cause error) {
			kernel.Warn(e.log, "A claim can't be made durable. The register grants nothing until a restart.", "err", cause)
		},
	})
}

// ClaimsReady says whether the entry knows the ring of claim registers.
func (e *Entry) ClaimsReady() bool {
	r := e.claims.Ring()
	return r.Confirmed && len(r.Ring.GetMembers()) >= claim.Majority
}

// ClaimsGranting says whether the entry's claim register may grant any key.
func (e *Entry) ClaimsGranting() bool { return e.claims.Granting() }

// claim takes the request's key, if it has one and may not be repeated. done is
// true when the caller has been answered from an earlier sending.
//
// It comes before admission: a refusal for a limit says "not run", and of a key
// that may only be said while the key is held, because an earlier sending of the
// same request may have run.
func (q *request) claim(deadline time.Time) (hold *claim.Hold, done bool, ref *wire.Refusal) {
	key := q.r.Header.Get(headerKey)
	if key == "" || q.idempotent() {
		return nil, false, nil
	}
	if len(key) > maxKey {
		return nil, false, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "header "+headerKey+": longer than 256 characters")
	}
	began := time.Now()
	out := q.entry.claims.Claim(q.r.Context(), claim.Request{
		Key: &wire.ClaimKey{Team: q.team.Name, Service: q.service.Name, Key: key},
		ID:  q.id, Entry: q.entry.life.Wire(), Digest: q.digest(),
		TTL: q.service.ClaimTTL, Deadline: deadline, Round: q.entry.settings.ClaimRound.D(),
	}, q.entry.node.Gone)
	metrics.GetOrRegisterTimer("entry.claims", q.entry.metrics).UpdateSince(began)
	switch out.Choice {
	case claim.Run:
		return out.Hold, false, nil
	case claim.Replay:
		q.replay(out.Record.Answer)
		return nil, true, nil
	case claim.Mismatch:
		return nil, false, q.entry.refuse(wire.Reason_REASON_BAD_REQUEST, "the idempotency key was used for another request")
	}
	return nil, false, q.unclaimed(out.Record)
}

// digest tells requests with one key apart.
func (q *request) digest() []byte {
	h := sha256.New()
	h.Write([]byte(q.r.Method + " " + q.path + "\n"))
	h.Write(q.body)
	return h.Sum(nil)[:16]
}

// unclaimed refuses a request whose key can't be had. An earlier sending may
// have run, so all that can be said truthfully is "unknown".
func (q *request) unclaimed(rec *wire.ClaimRecord) *wire.Refusal {
	reason, detail := wire.Reason_REASON_CLAIM_LOST, "too few registers of the key answered"
	if rec != nil {
		reason, detail = wire.Reason_REASON_CLAIM_HELD, "an earlier sending may be running"
		switch {
		case rec.State == wire.ClaimState_CLAIM_STATE_ANSWERED:
			detail = "an earlier sending ran and was answered; its answer was not kept"
		case rec.State == wire.ClaimState_CLAIM_STATE_UNKNOWN:
			detail = "an earlier sending may have run"
		}
	}
	ref := q.entry.refuse(reason, detail)
	ref.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	return ref
}

func (q *request) replay(a *wire.StoredAnswer) {
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

// settle tells the key's registers what became of the request.
func (q *request) settle(hold *claim.Hold, res forward.Result, sink *httpSink) {
	if hold == nil {
		return
	}
	switch {
	case res.Outcome == wire.Outcome_OUTCOME_DONE && res.Reason == 0:
		hold.Settle(wire.ClaimState_CLAIM_STATE_ANSWERED, sink.kept)
	case res.Outcome == wire.Outcome_OUTCOME_NOT_RUN:
		hold.Settle(wire.ClaimState_CLAIM_STATE_RELEASED, nil)
	default:
		hold.Settle(wire.ClaimState_CLAIM_STATE_UNKNOWN, nil)
	}
}
