package load

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/snipereach/snipereach/fake"
)

// Verdict is what the check of one answer found.
type Verdict string

// Verdicts.
const (
	Whole Verdict = "whole"
	// Crossed is an answer, or a part of one, to another request.
	Crossed Verdict = "crossed"
	// Doubled is an answer with a part that came twice.
	Doubled Verdict = "doubled"
	// Cut is an answer that lacks a part.
	Cut Verdict = "cut"
	// Malformed is anything else that is not the answer.
	Malformed Verdict = "malformed"
)

// expected is what the answer to one request must say.
type expected struct {
	key    string
	tokens int
	method string
	path   string
}

// checkTokens checks generated text: "KEY:0 KEY:1 ...", as fake engines give it.
func checkTokens(want expected, content string) Verdict {
	next := 0
	for _, word := range strings.Fields(content) {
		key, number, ok := cutLast(word, ":")
		if ok && key != want.key {
			return Crossed
		}
		n, err := strconv.Atoi(number)
		switch {
		case !ok || err != nil || n >= want.tokens:
			return Malformed
		case n < next:
			return Doubled
		case n > next:
			return Cut
		}
		next++
	}
	if next < want.tokens {
		return Cut
	}
	return Whole
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// completion is the part of an engine's answer, or of one event of its stream,
// that is checked.
type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// checkCompletion checks an unstreamed engine answer.
func checkCompletion(want expected, body []byte) Verdict {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return classifyInvalidJSON(body)
	}
	if len(c.Choices) != 1 {
		return Malformed
	}
	return checkTokens(want, c.Choices[0].Message.Content)
}

// checkEcho checks a plain service's answer, as fake services give it.
func checkEcho(want expected, body []byte) Verdict {
	var a fake.PlainAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return classifyInvalidJSON(body)
	}
	switch {
	case a.Key != want.key:
		return Crossed
	case a.Method != want.method || a.Path != want.path:
		return Malformed
	}
	return Whole
}

// notJSON tells why a body can't be decoded: two answers in one, a part of one, or
// something else.
func classifyInvalidJSON(body []byte) Verdict {
	d := json.NewDecoder(strings.NewReader(string(body)))
	var first json.RawMessage
	if err := d.Decode(&first); err == nil {
		return Doubled
	}
	text := strings.TrimSpace(string(body))
	if text == "" || strings.HasPrefix(text, "{") && !json.Valid(body) {
		return Cut
	}
	return Malformed
}

// streamCheck checks the events of a streamed answer as they come.
type streamCheck struct {
	want expected
	text strings.Builder
	done bool
	bad  Verdict
}

// event takes the data of one event and says whether it carried text.
func (s *streamCheck) addEvent(data string) bool {
	if data == "[DONE]" {
		if s.done {
			s.bad = Doubled
		}
		s.done = true
		return false
	}
	var c completion
	if err := json.Unmarshal([]byte(data), &c); err != nil || len(c.Choices) != 1 {
		s.bad = Malformed
		return false
	}
	if s.done {
		s.bad = Doubled
	}
	s.text.WriteString(c.Choices[0].Delta.Content)
	return true
}

func (s *streamCheck) verdict() Verdict {
	v := checkTokens(s.want, s.text.String())
	switch {
	case v == Crossed:
		return v
	case s.bad != "":
		return s.bad
	case v == Whole && !s.done:
		return Cut
	}
	return v
}
