package load

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func tokenText(key string, numbers ...string) string {
	var b strings.Builder
	for _, n := range numbers {
		b.WriteString(key + ":" + n + " ")
	}
	return b.String()
}

func completionOf(content string) string {
	return `{"choices":[{"message":{"content":"` + content + `"}}]}`
}

func TestCheckTokens(t *testing.T) {
	want := expected{key: "me-1", tokens: 3}
	for content, verdict := range map[string]Verdict{
		tokenText("me-1", "0", "1", "2"):      Whole,
		tokenText("me-1", "0", "1"):           Cut,
		tokenText("me-1", "0", "2"):           Cut,
		"":                                    Cut,
		tokenText("me-1", "0", "1", "1", "2"): Doubled,
		tokenText("me-1", "0", "1", "2", "0", "1", "2"):            Doubled,
		tokenText("me-2", "0", "1", "2"):                           Crossed,
		tokenText("me-1", "0", "1") + tokenText("me-2", "2"):       Crossed,
		tokenText("me-1", "0", "1", "2", "3"):                      Malformed,
		tokenText("me-1", "0", "one"):                              Malformed,
		"something else":                                           Malformed,
		tokenText("me-1", "0", "1", "2") + tokenText("me-2", "0"):  Crossed,
		strings.TrimSuffix(tokenText("me-1", "0", "1", "2"), "2 "): Malformed,
	} {
		assert.Equal(t, checkTokens(want, content), verdict, "%q", content)
		assert.Equal(t, checkCompletion(want, []byte(completionOf(content))), verdict, "%q", content)
	}
}

// An answer truncated at any byte must not pass as whole.
func TestTruncatedAnswerIsCut(t *testing.T) {
	want := expected{key: "me-1", tokens: 2, method: "POST", path: "/lots/1"}
	whole := completionOf(tokenText("me-1", "0", "1"))
	plain := `{"key":"me-1","method":"POST","path":"/lots/1","query":""}`
	assert.Equal(t, checkCompletion(want, []byte(whole)), Whole)
	assert.Equal(t, checkEcho(want, []byte(plain)), Whole)
	for i := range whole {
		assert.Equal(t, checkCompletion(want, []byte(whole[:i])), Cut, "%q", whole[:i])
	}
	for i := range plain {
		assert.Equal(t, checkEcho(want, []byte(plain[:i])), Cut, "%q", plain[:i])
	}
}

func TestCheckEcho(t *testing.T) {
	want := expected{key: "me-1", method: "POST", path: "/lots/1"}
	mine := `{"key":"me-1","method":"POST","path":"/lots/1"}`
	for body, verdict := range map[string]Verdict{
		mine:                                     Whole,
		mine + mine:                              Doubled,
		strings.Replace(mine, "me-1", "me-2", 1): Crossed,
		strings.Replace(mine, "/lots/1", "/lots/2", 1): Malformed,
		strings.Replace(mine, "POST", "GET", 1):        Malformed,
		"<html>":                                       Malformed,
	} {
		assert.Equal(t, checkEcho(want, []byte(body)), verdict, "%q", body)
	}
}

func TestStreamCheck(t *testing.T) {
	event := func(key, n string) string { return `{"choices":[{"delta":{"content":"` + key + ":" + n + ` "}}]}` }
	a, b, other := event("me-1", "0"), event("me-1", "1"), event("me-2", "1")
	for _, c := range []struct {
		events  []string
		verdict Verdict
	}{
		{[]string{a, b, "[DONE]"}, Whole},
		{[]string{a, b}, Cut},
		{[]string{a, "[DONE]"}, Cut},
		{[]string{"[DONE]"}, Cut},
		{[]string{a, a, b, "[DONE]"}, Doubled},
		{[]string{a, b, "[DONE]", a, b, "[DONE]"}, Doubled},
		{[]string{a, b, "[DONE]", "[DONE]"}, Doubled},
		{[]string{a, other, "[DONE]"}, Crossed},
		{[]string{a, "{", "[DONE]"}, Malformed},
	} {
		s := &streamCheck{want: expected{key: "me-1", tokens: 2}}
		for _, e := range c.events {
			s.addEvent(e)
		}
		assert.Equal(t, s.verdict(), c.verdict, "%v", c.events)
	}
}

// Each kind of violation makes the audit unclean and is counted in its own field.
func TestAuditCountsEachViolation(t *testing.T) {
	clean := []requestRecord{
		{"a", false, Answered, Whole}, {"b", false, NotRun, ""}, {"c", true, Answered, Whole},
		{"d", false, Unknown, ""}, {"e", false, Unknown, ""},
	}
	runs := func(extra map[string]int) map[string]int {
		m := map[string]int{"a": 1, "c": 2, "d": 1}
		for k, n := range extra {
			m[k] = n
		}
		return m
	}
	a := audit(clean, runs(nil))
	assert.Assert(t, a.Clean())
	assert.DeepEqual(t, *a, Audit{Requests: 5, Runs: 4, Lost: 2, LostRan: 1})
	for _, c := range []struct {
		runs map[string]int
		get  func(*Audit) int
	}{
		{map[string]int{"a": 2}, func(a *Audit) int { return a.Doubled }},
		{map[string]int{"d": 2}, func(a *Audit) int { return a.Doubled }},
		{map[string]int{"b": 1}, func(a *Audit) int { return a.WrongNotRun }},
		{map[string]int{"a": 0}, func(a *Audit) int { return a.AnsweredWithoutRun }},
	} {
		a := audit(clean, runs(c.runs))
		assert.Equal(t, c.get(a), 1, "%v", c.runs)
		assert.Assert(t, !a.Clean())
	}
	crossed := audit([]requestRecord{{"a", false, Unknown, Crossed}}, map[string]int{"a": 1, "z": 3})
	assert.Equal(t, crossed.Crossed, 1)
	assert.Equal(t, crossed.Foreign, 3)
	assert.Assert(t, !crossed.Clean())
}
