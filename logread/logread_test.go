package logread_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/snipereach/snipereach/logread"
)

const linePrefix = `ts=2026-03-01T10:00:01.5Z level=info part=gateway `

func readLines(t *testing.T, text string) (lines []logread.Line, skipped int) {
	skipped, err := logread.Read("a.log", strings.NewReader(text), func(l logread.Line) { lines = append(lines, l) })
	assert.NilError(t, err)
	return lines, skipped
}

func parseEnded(t *testing.T, rest string) logread.EndedRequest {
	lines, _ := readLines(t, linePrefix+`msg="Request ended." `+rest)
	assert.Equal(t, len(lines), 1, rest)
	e, ok := logread.ParseEndedRequest(&lines[0])
	assert.Assert(t, ok)
	return e
}

// A log may have text of a collector before each line, output of a crash, and empty lines.
func TestReadSkipsForeignLines(t *testing.T) {
	lines, skipped := readLines(t, "   1.2 gw-1 "+linePrefix+"msg=Started. id=gw-1\n\npanic: runtime error\n\tgoroutine 1 [running]:\n"+linePrefix+
		"msg=\"half a line\n"+linePrefix+`msg="Replica was late." late_ms=265 text="a b=\"c\""`)
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, skipped, 3)
	assert.Equal(t, lines[0].Msg, "Started.")
	assert.Equal(t, lines[0].Get("id"), "gw-1")
	assert.Equal(t, lines[1].Millis("late_ms"), 265*time.Millisecond)
	assert.Equal(t, lines[1].Get("text"), `a b="c"`)
	assert.Equal(t, lines[1].Get("none"), "")
	assert.Equal(t, lines[1].Source, "a.log")
	assert.Assert(t, lines[1].At.Equal(time.Date(2026, 3, 1, 10, 0, 1, 5e8, time.UTC)))
	_, ok := logread.ParseEndedRequest(&lines[0])
	assert.Assert(t, !ok)
}

func TestReadFailsOnOverlongLine(t *testing.T) {
	_, err := logread.Read("big.log", strings.NewReader(strings.Repeat("x", 2<<20)), func(logread.Line) {})
	assert.ErrorIs(t, err, logread.ErrRead)
	assert.ErrorContains(t, err, "big.log")
}

// Guards against losses of the most urgent requests that are hidden among those of all others, and against
// lines without a priority that count as the most urgent.
func TestLossesByPriority(t *testing.T) {
	s := logread.NewCauseCounter(2 * time.Second)
	s.SplitByPriority()
	at := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	for i, rest := range []string{
		"status=503 reason=upstreams-busy took_ms=1 attempts=", "status=503 reason=upstreams-busy took_ms=1 attempts= priority=2", "status=503 reason=draining took_ms=1 attempts= priority=2",
		"status=200 reason= took_ms=1 attempts=u:answered:200:1 priority=0", "status=200 reason= took_ms=1 attempts=u:answered:200:1 priority=2", "status=200 reason= took_ms=1 attempts=u:answered:200:1 priority=12",
	} {
		e := parseEnded(t, rest)
		e.At = at.Add(time.Duration(i) * 500 * time.Millisecond)
		s.Add(&e)
	}
	texts := func(list []*logread.Window) (texts []string) {
		for _, w := range list {
			priority := "none"
			if w.Priority != nil {
				priority = strconv.Itoa(int(*w.Priority))
			}
			texts = append(texts, fmt.Sprint(w.From.Sub(at), " ", priority, " ", w.Ended))
		}
		return texts
	}
	assert.DeepEqual(t, texts(s.Windows()), []string{"0s 0 1", "0s 2 2", "0s none 1", "2s 2 1", "2s 12 1"})
	assert.DeepEqual(t, texts(s.TotalsByPriority()), []string{"0s 0 1", "0s 2 3", "2s 12 1", "0s none 1"})
	assert.DeepEqual(t, s.TotalsByPriority()[1].Causes, map[logread.Cause]int{"refused: upstreams-busy": 1, "refused: draining": 1, logread.OnTime: 1})
	assert.DeepEqual(t, texts([]*logread.Window{s.Total()}), []string{"0s none 6"})
}

// Every kind of outcome must have the cause and sentence that tell an operator what took the time.
func TestCauseAndSentence(t *testing.T) {
	for _, c := range []struct {
		line     string
		cause    logread.Cause
		sentence string
	}{
		{"status=200 reason= took_ms=20 attempts=u-1:answered:200:19", logread.OnTime, "Answered in time, with 200 after 20ms."},
		{
			"status=200 reason= took_ms=900 attempts=u-1:answered:200:900 first_event_ms=100 longest_pause_ms=437 late=pause",
			logread.LatePause, "Late by a pause of 437ms between two events.",
		},
		{
			"status=200 reason= took_ms=1881 attempts=u-1:answered:200:1007 first_event_ms=1095 waited_ms=873 late=first-event",
			logread.LateQueued, "Late by its first event, after 1.095s; it waited 873ms of that at the gateway for a slot.",
		},
		{
			"status=200 reason= took_ms=1881 attempts=u-1:answered:200:1007 first_event_ms=967 waited_ms=706 age_ms=1564 late=first-event",
			logread.LateRetried, "Late by its first event: its caller had sent it first 1.564s before it came to this gateway.",
		},
		{
			"status=200 reason= took_ms=2000 attempts=u-1:in-doubt:0:700,u-2:answered:200:800 first_event_ms=950 late=first-event",
			logread.LateEarlierAttempts, "Late by its first event, after 950ms; earlier attempts took 700ms of that.",
		},
		{
			"status=200 reason= took_ms=2000 attempts=u-1:answered:200:2000 first_event_ms=800 waited_ms=10 late=first-event",
			logread.LateUpstream, "Late by its first event, after 800ms; the upstream u-1 took most of that.",
		},
		{"status=500 reason= took_ms=40 attempts=u-1:answered:500:40", logread.UpstreamFailed, "The upstream u-1 answered with 500."},
		{
			`status=503 reason=upstreams-busy took_ms=0 attempts= why="g0 open: 8 in flight of 8"`,
			"refused: upstreams-busy", "Ended with 503 after 0s; refused: upstreams-busy (g0 open: 8 in flight of 8); it was sent to no upstream.",
		},
		{
			"status=503 reason=upstreams-busy took_ms=1587 attempts=",
			"refused after waiting: upstreams-busy", "Ended with 503 after 1.587s; refused after waiting: upstreams-busy; it was sent to no upstream.",
		},
		{
			"status=502 reason=in-doubt took_ms=31 attempts=u-1:in-doubt:0:30 err=reset",
			"failed: in-doubt", "Ended with 502 after 31ms; failed: in-doubt (reset).",
		},
		{"status=404 reason=no-route took_ms=0 attempts=", "not allowed: no-route", "Ended with 404 after 0s; not allowed: no-route; it was sent to no upstream."},
		{"status=0 reason=caller-gone took_ms=120 attempts=u-1:caller-gone:0:120", logread.CallerGone, "Ended with 0 after 120ms; caller left."},
		{
			"status=503 reason=upstreams-busy took_ms=0 attempts= priority=2 over_share=true",
			"refused: upstreams-busy", "Ended with 503 after 0s; refused: upstreams-busy; it was sent to no upstream; its priority was 2; its team was over its fair share.",
		},
		{
			"status=200 reason= took_ms=900 attempts=u-1:answered:200:900 first_event_ms=800 waited_ms=700 late=first-event priority=0",
			logread.LateQueued, "Late by its first event, after 800ms; it waited 700ms of that at the gateway for a slot; its priority was 0.",
		},
		{"status=200 reason= took_ms=20 attempts=u-1:answered:200:19 priority=-1 over_share=no", logread.OnTime, "Answered in time, with 200 after 20ms."},
	} {
		e := parseEnded(t, c.line)
		assert.Equal(t, e.Cause(), c.cause, c.line)
		assert.Equal(t, e.Sentence(), c.sentence)
	}
}

func TestLossesByWindow(t *testing.T) {
	s := logread.NewCauseCounter(2 * time.Second)
	at := time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC)
	for i, rest := range []string{
		"status=200 reason= took_ms=1 attempts=u:answered:200:1 lines_left_out=7", "status=503 reason=draining took_ms=1 attempts=", "status=503 reason=draining took_ms=1 attempts=",
	} {
		e := parseEnded(t, rest)
		e.At = at.Add(time.Duration(i) * 1500 * time.Millisecond)
		s.Add(&e)
	}
	w := s.Windows()
	assert.Equal(t, len(w), 2)
	assert.Assert(t, w[0].From.Equal(at) && w[1].From.Equal(at.Add(2*time.Second)))
	assert.DeepEqual(t, w[0].Causes, map[logread.Cause]int{logread.OnTime: 1, "refused: draining": 1})
	assert.Equal(t, s.Total().Ended, 3)
	assert.Equal(t, s.Total().LeftOut, int64(7))
	assert.DeepEqual(t, s.Total().CausesByCount(), []logread.Cause{"refused: draining", logread.OnTime})
}

// Each line of any text must be either read or counted, and each ended request have a cause.
func TestReadAccountsForEveryLine(t *testing.T) {
	part := rapid.SampledFrom([]string{
		linePrefix, `msg="Request ended." `, "status=200 ", "status=x ", "reason=upstreams-busy ", "attempts=a:b ", "attempts=:::,, ", "late=first-event ", "priority=1 ", "priority=99999999999 ", "over_share=true ",
		"first_event_ms=-5 ", `why="`, "\"", "= ", "took_ms=99999999999999999999 ", "age_ms=3 ", "\x00", "é ",
	})
	rapid.Check(t, func(t *rapid.T) {
		var lines []string
		for range rapid.IntRange(1, 5).Draw(t, "lines") {
			lines = append(lines, "x"+strings.Join(rapid.SliceOfN(part, 0, 8).Draw(t, "parts"), ""))
		}
		n := 0
		skipped, err := logread.Read("a", strings.NewReader(strings.Join(lines, "\n")), func(l logread.Line) {
			n++
			if e, ok := logread.ParseEndedRequest(&l); ok && (e.Cause() == "" || e.Sentence() == "") {
				t.Fatalf("no cause: %s", l.Text)
			}
		})
		if err != nil || n+skipped != len(lines) {
			t.Fatalf("%d read and %d counted of %d: %v", n, skipped, len(lines), err)
		}
	})
}
