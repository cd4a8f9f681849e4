// Package refusal turns a refusal into an RFC 9457 answer and an explanation
// token, and a token back into the refusal.
//
// A token is the refusal itself with an HMAC under the cluster's explanation
// key, so any entry can explain it later, also when the refusing one is gone,
// and nobody can make one up.
package refusal

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Errors of this layer.
var (
	ErrMalformedToken = merry.Sentinel("explanation token is malformed")
	ErrForeignToken   = merry.Sentinel("explanation token was not made by this cluster")
)

// tokenPrefix begins each token. A base64url text may begin with a dash, and a
// command line would take the token for a flag.
const tokenPrefix = "r"

// maxToken bounds what Open looks at.
const maxToken = 16 << 10

// Sealer makes and opens explanation tokens.
type Sealer struct{ key []byte }

// NewSealer derives the explanation key from the cluster secret, so that the
// secret itself signs nothing that callers see.
func NewSealer(secret []byte) *Sealer {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("snipereach explanation key"))
	return &Sealer{key: m.Sum(nil)}
}

func (s *Sealer) mac(body []byte) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write(body)
	return m.Sum(nil)
}

// Seal makes a token. Long texts are cut.
func (s *Sealer) Seal(r *wire.Refusal) string { return s.seal(bounded(r)) }

// seal makes a token of a bounded refusal.
func (s *Sealer) seal(r *wire.Refusal) string {
	// It can't fail: only text that is not UTF-8 can't be encoded.
	body, _ := proto.Marshal(r)
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...))
}

// Open checks a token and returns the refusal.
func (s *Sealer) Open(token string) (*wire.Refusal, error) {
	if len(token) > maxToken {
		return nil, merry.Prependf(ErrMalformedToken, "longer than %d characters", maxToken)
	}
	encoded, ok := strings.CutPrefix(token, tokenPrefix)
	if !ok {
		return nil, merry.Prependf(ErrMalformedToken, "does not begin with %q", tokenPrefix)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(encoded)
	if err != nil {
		return nil, merry.Prepend(ErrMalformedToken, err.Error())
	}
	if len(raw) < sha256.Size {
		return nil, merry.Prepend(ErrMalformedToken, "truncated")
	}
	mac, body := raw[:sha256.Size], raw[sha256.Size:]
	if !hmac.Equal(mac, s.mac(body)) {
		return nil, ErrForeignToken
	}
	r := &wire.Refusal{}
	if err := proto.Unmarshal(body, r); err != nil {
		return nil, merry.Prepend(ErrMalformedToken, err.Error())
	}
	return r, nil
}

// Problem is the RFC 9457 body of a refusal.
type Problem struct {
	Type      string             `json:"type"`
	Title     string             `json:"title"`
	Status    int                `json:"status"`
	Detail    string             `json:"detail,omitempty"`
	Instance  string             `json:"instance,omitempty"`
	Reason    string             `json:"reason"`
	Outcome   string             `json:"outcome"`
	RequestID string             `json:"request_id,omitempty"`
	Row       string             `json:"row,omitempty"`
	Version   uint64             `json:"row_version,omitempty"`
	Revision  uint64             `json:"revision,omitempty"`
	Observed  map[string]float64 `json:"observed,omitempty"`
	Token     string             `json:"explanation_token,omitempty"`
}

// class is what callers see of a reason.
type class struct {
	status int
	title  string
}

var classes = map[wire.Reason]class{
	wire.Reason_REASON_UNAUTHENTICATED:    {http.StatusUnauthorized, "The bearer key belongs to no team."},
	wire.Reason_REASON_FORBIDDEN:          {http.StatusForbidden, "The team may not ask for this."},
	wire.Reason_REASON_UNKNOWN_SERVICE:    {http.StatusNotFound, "No service by this name."},
	wire.Reason_REASON_BAD_REQUEST:        {http.StatusBadRequest, "The request is malformed."},
	wire.Reason_REASON_BODY_TOO_LARGE:     {http.StatusRequestEntityTooLarge, "The body is larger than the service takes."},
	wire.Reason_REASON_RATE_LIMIT:         {http.StatusTooManyRequests, "The team is over its limit of requests."},
	wire.Reason_REASON_TOKEN_LIMIT:        {http.StatusTooManyRequests, "The team is over its limit of tokens."},
	wire.Reason_REASON_CONCURRENCY_LIMIT:  {http.StatusTooManyRequests, "The team has too many requests in progress."},
	wire.Reason_REASON_QUEUE_FULL:         {http.StatusServiceUnavailable, "The queue is full."},
	wire.Reason_REASON_DEADLINE:           {http.StatusGatewayTimeout, "The deadline passed."},
	wire.Reason_REASON_NO_UPSTREAM:        {http.StatusServiceUnavailable, "No upstream can take the request."},
	wire.Reason_REASON_UPSTREAM_FAILED:    {http.StatusBadGateway, "The upstream failed."},
	wire.Reason_REASON_UPSTREAM_LEAVING:   {http.StatusServiceUnavailable, "The upstream is leaving."},
	wire.Reason_REASON_ANSWER_INVALID:     {http.StatusBadGateway, "The upstream's answer was not whole."},
	wire.Reason_REASON_CLAIM_HELD:         {http.StatusConflict, "Another request holds this idempotency key."},
	wire.Reason_REASON_CLAIM_LOST:         {http.StatusServiceUnavailable, "The idempotency key could not be claimed."},
	wire.Reason_REASON_CLAIM_FULL:         {http.StatusServiceUnavailable, "No more idempotency keys can be held."},
	wire.Reason_REASON_CONFIG_UNCONFIRMED: {http.StatusServiceUnavailable, "The rows in force can't be confirmed."},
	wire.Reason_REASON_DRAINING:           {http.StatusServiceUnavailable, "The process is stopping."},
	wire.Reason_REASON_RETRY_BUDGET:       {http.StatusBadGateway, "The retry budget is used up."},
	wire.Reason_REASON_QUARANTINED:        {http.StatusServiceUnavailable, "Upstreams ended under this request; it is sent to none for a time."},
	wire.Reason_REASON_DUPLICATE_ATTEMPT:  {http.StatusConflict, "The attempt was seen before."},
}

// ReasonWord returns a reason as callers see it, e.g. "rate-limit".
func ReasonWord(r wire.Reason) string {
	return word(r.String(), "REASON_")
}

// OutcomeWord returns not-run, unknown or done.
func OutcomeWord(o wire.Outcome) string {
	return word(o.String(), "OUTCOME_")
}

func word(s, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(s, prefix)), "_", "-")
}

// retryAfter is when a caller should come back, by reason: those that pass by
// themselves. A limit's refusal carries its own time.
var retryAfter = map[wire.Reason]time.Duration{
	wire.Reason_REASON_RATE_LIMIT:         time.Second,
	wire.Reason_REASON_TOKEN_LIMIT:        time.Second,
	wire.Reason_REASON_CONCURRENCY_LIMIT:  time.Second,
	wire.Reason_REASON_QUEUE_FULL:         time.Second,
	wire.Reason_REASON_NO_UPSTREAM:        2 * time.Second,
	wire.Reason_REASON_UPSTREAM_LEAVING:   time.Second,
	wire.Reason_REASON_CLAIM_HELD:         time.Second,
	wire.Reason_REASON_CLAIM_LOST:         5 * time.Second,
	wire.Reason_REASON_CLAIM_FULL:         10 * time.Second,
	wire.Reason_REASON_CONFIG_UNCONFIRMED: 2 * time.Second,
	wire.Reason_REASON_DRAINING:           time.Second,
	wire.Reason_REASON_RETRY_BUDGET:       time.Second,
}

// RetryAfter is when a caller should come back after a refusal for a reason; 0
// if coming back doesn't help.
func RetryAfter(r wire.Reason) time.Duration { return retryAfter[r] }

// Status returns the HTTP status of a reason.
func Status(r wire.Reason) int {
	if c, ok := classes[r]; ok {
		return c.status
	}
	return http.StatusInternalServerError
}

// ProblemOf describes a refusal for its caller.
func (s *Sealer) ProblemOf(r *wire.Refusal) *Problem {
	c, ok := classes[r.Reason]
	if !ok {
		c = class{http.StatusInternalServerError, "The request was refused."}
	}
	r = bounded(r)
	token := s.seal(r)
	p := &Problem{
		Type:      "urn:snipereach:refusal:" + ReasonWord(r.Reason),
		Title:     c.title,
		Status:    c.status,
		Detail:    r.Detail,
		Instance:  "/v1/refusals/" + token,
		Reason:    ReasonWord(r.Reason),
		Outcome:   OutcomeWord(r.Outcome),
		RequestID: r.RequestId,
		Version:   r.RowVersion,
		Revision:  r.Revision,
		Token:     token,
	}
	if r.RowKind != "" {
		p.Row = r.RowKind + " " + r.RowKey
	}
	for _, o := range r.Observed {
		if p.Observed == nil {
			p.Observed = map[string]float64{}
		}
		p.Observed[o.Name] = o.Value
	}
	return p
}

// Write answers a caller with a refusal.
func (s *Sealer) Write(w http.ResponseWriter, r *wire.Refusal) {
	p := s.ProblemOf(r)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("X-Request-Outcome", p.Outcome)
	if r.RetryAfterMs > 0 {
		secs := math.Ceil(float64(r.RetryAfterMs) / 1000)
		h.Set("Retry-After", strconv.Itoa(int(secs)))
	}
	if r.Reason == wire.Reason_REASON_UNAUTHENTICATED {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
