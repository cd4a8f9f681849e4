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

func sampleRefusal() *wire.Refusal {
	return &wire.Refusal{
		RequestId: "q1", Reason: wire.Reason_REASON_RATE_LIMIT, Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		Team: "growers", RowKind: "limit", RowKey: "growers/*", RowVersion: 3, Revision: 41,
		Observed: []*wire.Observed{{Name: "requests_per_second", Value: 12, Unit: "requests/s"}}, RetryAfterMs: 1200,
	}
}

// A token that begins with a dash would be parsed as a command-line flag.
func TestTokenDoesNotBeginWithDash(t *testing.T) {
	r := sampleRefusal()
	for n := range 500 {
		r.RowVersion = uint64(n)
		token := NewTokenSigner([]byte("secret")).Sign(r)
		assert.Assert(t, token[0] != '-', token)
	}
}

func TestTokenRoundTrip(t *testing.T) {
	s := NewTokenSigner([]byte("secret"))
	got, err := s.Verify(s.Sign(sampleRefusal()))
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(got, sampleRefusal()))
}

// With very long texts that are not valid UTF-8, the token stays within maxToken, and only
// the texts and the list of attempts are truncated.
func TestLongTextsAreTruncated(t *testing.T) {
	s := NewTokenSigner([]byte("secret"))
	long := strings.Repeat("\xff\u00e9", 1<<19)
	r := sampleRefusal()
	r.Detail, r.Team, r.Service = long, long, long
	for range maxAttempts + 1 {
		r.Attempts = append(r.Attempts, &wire.RefusedAttempt{Upstream: long, Detail: long, Outcome: wire.Outcome_OUTCOME_UNKNOWN})
	}
	p := s.ProblemOf(r)
	assert.Assert(t, len(p.Token) <= maxToken && len(p.Detail) <= maxText, "%d %d", len(p.Token), len(p.Detail))
	got, err := s.Verify(p.Token)
	assert.NilError(t, err)
	assert.Assert(t, utf8.ValidString(got.Detail) && strings.HasSuffix(got.Detail, truncationMark))
	assert.Equal(t, len(got.Attempts), maxAttempts)
	assert.Equal(t, got.Attempts[0].Outcome, wire.Outcome_OUTCOME_UNKNOWN)
	want := sampleRefusal()
	want.Detail, want.Team, want.Service, want.Attempts = got.Detail, got.Team, got.Service, got.Attempts
	assert.Assert(t, proto.Equal(got, want))
	assert.Equal(t, len(r.Detail), len(long), "the caller's refusal is not changed")
}

// A token that was truncated, changed, or made under another secret is rejected.
func TestForgedTokensAreRejected(t *testing.T) {
	s := NewTokenSigner([]byte("secret"))
	token := s.Sign(sampleRefusal())
	for n := range token {
		_, err := s.Verify(token[:n])
		assert.Assert(t, err != nil, "truncated at %d", n)
		changed := []byte(token)
		changed[n] ^= 1
		_, err = s.Verify(string(changed))
		assert.Assert(t, err != nil, "changed at %d", n)
	}
	_, err := NewTokenSigner([]byte("other")).Verify(token)
	assert.ErrorIs(t, err, ErrTokenSignature)
	_, err = s.Verify(string(make([]byte, maxToken+1)))
	assert.ErrorIs(t, err, ErrMalformedToken)
}

func TestRandomTextIsRejected(t *testing.T) {
	s := NewTokenSigner([]byte("secret"))
	rapid.Check(t, func(t *rapid.T) {
		if _, err := s.Verify(rapid.String().Draw(t, "token")); err == nil {
			t.Fatal("a random token was accepted")
		}
	})
}

func TestWrite(t *testing.T) {
	s := NewTokenSigner([]byte("secret"))
	w := httptest.NewRecorder()
	s.Write(w, sampleRefusal())
	assert.Equal(t, w.Code, 429)
	assert.Equal(t, w.Header().Get("Retry-After"), "2")
	assert.Equal(t, w.Header().Get("X-Request-Outcome"), "not-run")
	assert.Equal(t, w.Header().Get("Content-Type"), "application/problem+json")
}

// A reason without an entry would reach callers as an internal error.
func TestEveryReasonHasStatusAndTitle(t *testing.T) {
	for n, name := range wire.Reason_name {
		if n == 0 {
			continue
		}
		_, ok := reasonInfos[wire.Reason(n)]
		assert.Assert(t, ok, name)
	}
}
