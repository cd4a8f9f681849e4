// Package refusal encodes refusals as RFC 9457 problem details and as explanation tokens,
// and decodes these tokens.
//
// A token is the encoded refusal with an HMAC under a key of the cluster, so that any entry
// can explain it later, even if the one that refused is gone, and nobody can forge one.
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

// Errors of this package.
var (
	ErrMalformedToken = merry.Sentinel("explanation token is malformed")
	ErrTokenSignature = merry.Sentinel("explanation token was not made by this cluster")
)

// tokenPrefix begins each token. Without it, a base64url text may begin with a dash, and a
// command line would parse the token as a flag.
const tokenPrefix = "r"

// maxToken is the longest token that Verify accepts, in bytes.
const maxToken = 16 << 10

// TokenSigner makes and verifies explanation tokens.
type TokenSigner struct{ key []byte }

// NewTokenSigner derives the explanation key from the cluster secret, so that the secret itself
// doesn't sign anything that callers see.
func NewTokenSigner(secret []byte) *TokenSigner {
	m := hmac.New(sha256.New, secret)
	m.Write([]byte("snipereach explanation key"))
	return &TokenSigner{key: m.Sum(nil)}
}

func (s *TokenSigner) mac(body []byte) []byte {
	m := hmac.New(sha256.New, s.key)
	m.Write(body)
	return m.Sum(nil)
}

// Sign returns the explanation token of a refusal. Long texts are truncated.
func (s *TokenSigner) Sign(r *wire.Refusal) string { return s.sign(truncated(r)) }

// sign returns the token of a truncated refusal.
func (s *TokenSigner) sign(r *wire.Refusal) string {
	// Marshal fails only for strings that are not valid UTF-8.
	body, _ := proto.Marshal(r)
	return tokenPrefix + base64.RawURLEncoding.EncodeToString(append(s.mac(body), body...))
}

// Verify verifies a token and returns its refusal. It returns ErrMalformedToken or
// ErrTokenSignature.
func (s *TokenSigner) Verify(token string) (*wire.Refusal, error) {
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
		return nil, ErrTokenSignature
	}
	r := &wire.Refusal{}
	if err := proto.Unmarshal(body, r); err != nil {
		return nil, merry.Prepend(ErrMalformedToken, err.Error())
	}
	return r, nil
}

// Problem is the RFC 9457 problem details body of a refusal.
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

// reasonInfo is how a reason is presented to callers.
type reasonInfo struct {
	status int
	title  string
}

var reasonInfos = map[wire.Reason]reasonInfo{
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

// ReasonName returns a reason as callers see it, e.g. "rate-limit".
func ReasonName(r wire.Reason) string {
	return enumName(r.String(), "REASON_")
}

// OutcomeName returns an outcome as callers see it: "not-run", "unknown" or "done".
func OutcomeName(o wire.Outcome) string {
	return enumName(o.String(), "OUTCOME_")
}

func enumName(s, prefix string) string {
	return strings.ReplaceAll(strings.ToLower(strings.TrimPrefix(s, prefix)), "_", "-")
}

// defaultRetryAfter holds the default Retry-After of the reasons that pass without the caller's
// doing. A refusal by a limit carries its own.
var defaultRetryAfter = map[wire.Reason]time.Duration{
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

// RetryAfter returns when a caller should retry after a refusal for a reason, or 0 if
// retrying doesn't help.
func RetryAfter(r wire.Reason) time.Duration { return defaultRetryAfter[r] }

// Status returns the HTTP status of a reason.
func Status(r wire.Reason) int {
	if c, ok := reasonInfos[r]; ok {
		return c.status
	}
	return http.StatusInternalServerError
}

// ProblemOf returns the problem details of a refusal, including its token.
func (s *TokenSigner) ProblemOf(r *wire.Refusal) *Problem {
	c, ok := reasonInfos[r.Reason]
	if !ok {
		c = reasonInfo{http.StatusInternalServerError, "The request was refused."}
	}
	r = truncated(r)
	token := s.sign(r)
	p := &Problem{
		Type:      "urn:snipereach:refusal:" + ReasonName(r.Reason),
		Title:     c.title,
		Status:    c.status,
		Detail:    r.Detail,
		Instance:  "/v1/refusals/" + token,
		Reason:    ReasonName(r.Reason),
		Outcome:   OutcomeName(r.Outcome),
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

// Write writes the HTTP answer to a refused request.
func (s *TokenSigner) Write(w http.ResponseWriter, r *wire.Refusal) {
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
