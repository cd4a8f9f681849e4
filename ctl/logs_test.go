package ctl_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/ctl"
	"github.com/snipereach/snipereach/kernel"
)

// runOffline runs a command that needs no server.
func runOffline(stdin string, args ...string) (code int, stdout, stderr string) {
	var out, errs strings.Builder
	code = ctl.Main(args, strings.NewReader(stdin), &out, &errs)
	return code, out.String(), errs.String()
}

// writeGatewayLogs writes the logs of two gateways: the first refuses request r-1, the second serves it.
func writeGatewayLogs(t *testing.T) (first, second string) {
	dir := t.TempDir()
	first, second = filepath.Join(dir, "gw-1.log"), filepath.Join(dir, "gw-2.log")
	assert.NilError(t, os.WriteFile(first, []byte(
		`ts=2026-03-01T10:00:00.9Z level=info msg="Request ended." request=r-2 status=200 reason= took_ms=20 service=lm attempts=u-1:answered:200:20
ts=2026-03-01T10:00:01Z level=info msg="Request ended." request=r-1 status=503 reason=upstreams-busy took_ms=0 service=lm attempts= why="g0 open: 3 in flight of 3"
goroutine 1 [running]:
`), 0o600))
	assert.NilError(t, os.WriteFile(second, []byte(
		`ts=2026-03-01T10:00:06Z level=info msg="Request ended." request=r-1 status=200 reason= took_ms=900 service=lm attempts=u-1:answered:200:850 first_event_ms=700 age_ms=4100 late=first-event
ts=2026-03-01T10:00:03Z level=info msg="Request leaves a slow upstream." request=r-1 upstream=u-7
ts=2026-03-01T10:00:07Z level=info msg="Request ended." request=r-3 status=200 reason= took_ms=20 service=clock attempts=u-3:answered:200:20
`), 0o600))
	return first, second
}

// trace must show the lines of a request from all files in order of time, and its outcome.
func TestTraceMergesLinesOfAllFiles(t *testing.T) {
	first, second := writeGatewayLogs(t)
	code, out, errs := runOffline("", "trace", "r-1", second, first, "-o", "tsv")
	assert.Equal(t, code, kernel.ExitOK, errs)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 4, out)
	for i, want := range []string{"upstreams-busy", "leaves a slow", "first_event_ms=700", "Late by its first event: its caller had sent it first 4.1s before it came to this gateway."} {
		assert.Assert(t, strings.Contains(lines[i], want), "%d: %s", i, lines[i])
	}
	assert.Assert(t, strings.HasPrefix(lines[0], first), lines[0])
	assert.Assert(t, strings.Contains(errs, "1 line(s) skipped: not in the log format"), errs)

	text, err := os.ReadFile(first)
	assert.NilError(t, err)
	_, out, _ = runOffline(string(text), "trace", "r-1", "-", "-o", "json")
	assert.Assert(t, strings.Contains(out, `"cause": "Ended with 503 after 0s; refused: upstreams-busy (g0 open: 3 in flight of 3); it was sent to no upstream."`), out)
}

func TestLossesCountsCauses(t *testing.T) {
	first, second := writeGatewayLogs(t)
	code, out, errs := runOffline("", "losses", "--service", "lm", first, second, "-o", "tsv")
	assert.Equal(t, code, kernel.ExitOK, errs)
	assert.Equal(t, out, "10:00:00.0\t2\t0\t1\t0\t1\n10:00:05.0\t1\t0\t0\t1\t0\nall\t3\t0\t1\t1\t1\n")
	_, out, _ = runOffline("", "losses", first, second)
	assert.Assert(t, strings.Contains(out, "LATE: CAME BACK"), out)
}

// Guards against losses of urgent requests that can't be told from those of others, in all forms of output.
func TestLossesAreSplitByPriority(t *testing.T) {
	const text = `ts=2026-03-01T10:00:00Z level=info msg="Request ended." request=r-1 status=503 reason=upstreams-busy took_ms=0 service=lm attempts= priority=2
ts=2026-03-01T10:00:01Z level=info msg="Request ended." request=r-2 status=200 reason= took_ms=20 service=lm attempts=u-1:answered:200:20 priority=0
ts=2026-03-01T10:00:06Z level=info msg="Request ended." request=r-3 status=503 reason=upstreams-busy took_ms=0 service=lm attempts= priority=2 lines_left_out=3
ts=2026-03-01T10:00:07Z level=info msg="Request ended." request=r-4 status=200 reason= took_ms=20 service=clock attempts=u-3:answered:200:20
`
	code, out, errs := runOffline(text, "losses", "--by", "priority", "-", "-o", "tsv")
	assert.Equal(t, code, kernel.ExitOK, errs)
	assert.Equal(t, out, "10:00:00.0\t0\t1\t0\t1\t0\n10:00:00.0\t2\t1\t0\t0\t1\n10:00:05.0\t2\t1\t3\t0\t1\n10:00:05.0\t-\t1\t0\t1\t0\n"+
		"all\t0\t1\t0\t1\t0\nall\t2\t2\t3\t0\t2\nall\t-\t1\t0\t1\t0\nall\tall\t4\t3\t2\t2\n")
	_, out, _ = runOffline(text, "losses", "--by", "priority", "-")
	assert.DeepEqual(t, strings.Fields(out)[:6], []string{"FROM", "PRIORITY", "ENDED", "LEFT", "OUT", "IN"})
	_, out, _ = runOffline(text, "losses", "--by", "priority", "-", "-o", "json")
	assert.Equal(t, strings.Count(out, `"priority": 2`), 2, out)
	_, out, _ = runOffline(text, "losses", "-", "-o", "json")
	assert.Assert(t, !strings.Contains(out, "priority"), out)
	_, out, _ = runOffline(text, "trace", "r-3", "-", "-o", "tsv")
	assert.Assert(t, strings.Contains(out, "Ended with 503 after 0s; refused: upstreams-busy; it was sent to no upstream; its priority was 2."), out)
}

func TestLogCommandErrors(t *testing.T) {
	first, _ := writeGatewayLogs(t)
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"trace", "r-9", first}, kernel.ExitFailed, `no line of request "r-9"`},
		{[]string{"trace", "r-1"}, kernel.ExitSettings, "FILE"},
		{[]string{"trace", "r-1", "no-such.log"}, kernel.ExitSettings, "no-such.log"},
		{[]string{"losses"}, kernel.ExitSettings, "FILE"},
		{[]string{"losses", "--by", "team", first}, kernel.ExitSettings, "--by team isn't --by priority"},
		{[]string{"losses", "--window", "1ms", first}, kernel.ExitSettings, "--window 1ms is under 100ms"},
	} {
		code, _, errs := runOffline("", c.args...)
		assert.Equal(t, code, c.code, "%v: %s", c.args, errs)
		assert.Assert(t, strings.Contains(errs, c.want), "%v: %s", c.args, errs)
	}
}
