package refusal

import (
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/wire"
)

func sample() *wire.Refusal {
	return &wire.Refusal{
		RequestId: "q1", Reason: wire.Reason_REASON_RATE_LIMIT, Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Team: "growers", RowKind: "limit", RowKey: "growers/*", RowVersion: 3, Revision: 41,
		Observed: []*wire.Observed{{Name: "requests_per_second", Value: 12, Unit: "requests/s"}}, RetryAfterMs: 1200,
	}
}

// An operator gives a token to snipereachctl. One in 64 began with a dash and was
// taken for a flag: "unknown flag".
func TestNoTokenLooksLikeAFlag(t *testing.T) {
	r := sample()
	for n := range 500 {
		r.RowVersion = uint64(n)
		token := NewSealer([]byte("secret")).Seal(r)
		assert.Assert(t, token[0] != '-', token)
	}
}

func TestTokenHoldsTheWholeRefusal(t *testing.T) {
	s := NewSealer([]byte("secret"))
	got, err := s.Open(s.Seal(sample()))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, sample()))
}

// A caller names a model of a megabyte, in bytes that are no text, and attempts fail
// with details as long. What the caller is told stays small, and any entry can still
// explain it: reason, outcome, rows and figures are whole, only details are cut.
func TestLongTextsAreCutAndStillExplained(t *testing.T) {
	s := NewSealer([]byte("secret"))
	long := strings.Repeat("\xff\u00e9", 1<<19)
	r := sample()
	r.Detail, r.Team, r.Service = long, long, long
	for range maxAttempts + 1 {
		r.Attempts = append(r.Attempts, &wire.RefusedAttempt{Upstream: long, Detail: long, Outcome: wire.Outcome_OUTCOME_UNKNOWN})
	}
	p := s.ProblemOf(r)
	assert.Assert(t, len(p.Token) <= maxToken && len(p.Detail) <= maxText, "%d %d", len(p.Token), len(p.Detail))
	got, err := s.Open(p.Token)
	assert.NilError(t, err)
	assert.Assert(t, utf8.ValidString(got.Detail) && strings.HasSuffix(got.Detail, cutMark))
	assert.Equal(t, len(got.Attempts), maxAttempts)
	assert.Equal(t, got.Attempts[0].Outcome, wire.Outcome_OUTCOME_UNKNOWN)
	want := sample()
	want.Detail, want.Team, want.Service, want.Attempts = got.Detail, got.Team, got.Service, got.Attempts
	assert.Assert(t, proto.Equal(got, want))
	assert.Equal(t, len(r.Detail), len(long), "the caller's refusal is left as it is")
}

// A token that is cut anywhere, changed anywhere, or made under another secret
// is refused, and never read as another refusal.
func TestForgedTokensAreRefused(t *testing.T) {
	s := NewSealer([]byte("secret"))
	token := s.Seal(sample())
	for n := range token {
		_, err := s.Open(token[:n])
		assert.Assert(t, err != nil, "cut at %d", n)
		changed := []byte(token)
		changed[n] ^= 1
		_, err = s.Open(string(changed))
		assert.Assert(t, err != nil, "changed at %d", n)
	}
	_, err := NewSealer([]byte("other")).Open(token)
	assert.ErrorIs(t, err, ErrForeignToken)
	_, err = s.Open(string(make([]byte, maxToken+1)))
	assert.ErrorIs(t, err, ErrMalformedToken)
}

func TestAnyTextIsOpenedWithoutHarm(t *testing.T) {
	s := NewSealer([]byte("secret"))
	rapid.Check(t, func(t *rapid.T) {
		if _, err := s.Open(rapid.String().Draw(t, "token")); err == nil {
			t.Fatal("a random token was taken")
		}
	})
}

func TestProblemAnswer(t *testing.T) {
	s := NewSealer([]byte("secret"))
	w := httptest.NewRecorder()
	s.Write(w, sample())
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, w.Header().Get("X-Request-Outcome"), "not-run")
	assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
}

// Every reason that the protocol knows has a status and a title of its own: one
// that was forgotten would reach callers as an internal error.
func TestEveryReasonIsDescribed(t *testing.T) {
	for n, name := range wire.Reason_name {
		if n == 0 {
			continue
		}
		_, ok := classes[wire.Reason(n)]
		assert.Assert(t, ok, name)
	}
}
