package kernel_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/kernel"
)

// stuck is a pipe that nobody reads until it is opened.
type stuck struct {
	open chan struct{}
	buf  bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.open
	return s.buf.Write(p)
}

// Nobody reads standard output. Whoever logs goes on at once; when somebody reads again,
// a record tells how many were dropped.
func TestLogThatNobodyReadsBlocksNobody(t *testing.T) {
	out := &stuck{open: make(chan struct{})}
	w := kernel.NewAsyncWriter(out)
	l := kernel.NewLog(w, "info")
	for i := range 5000 {
		kernel.Info(l, "Something was decided.", "n", i)
	}
	close(out.open)
	kernel.Info(l, "Read again.")
	w.Close()
	text := out.buf.String()
	assert.Assert(t, strings.Contains(text, "n=0\n"), "what came first is kept")
	assert.Assert(t, strings.Contains(text, "Log records were dropped."))
}

func TestLineBudget(t *testing.T) {
	now := time.Unix(100, 0)
	b := kernel.NewLineBudget(3, func() time.Time { return now })
	for range 3 {
		ok, _ := b.Take()
		assert.Assert(t, ok)
	}
	for range 7 {
		ok, _ := b.Take()
		assert.Assert(t, !ok)
	}
	now = now.Add(time.Second)
	ok, leftOut := b.Take()
	assert.Assert(t, ok)
	assert.Equal(t, leftOut, 7)
}

func TestMetricsAsText(t *testing.T) {
	m := kernel.NewMetrics()
	m.Count("gateway.refused.upstreams-busy")
	m.Count("gateway.refused.upstreams-busy")
	for range 99 {
		m.Latency("gateway.answer_seconds").Record(20 * time.Millisecond)
	}
	m.Latency("gateway.answer_seconds").Record(2 * time.Hour)
	w := httptest.NewRecorder()
	m.ServeHTTP(w, nil)
	text := w.Body.String()
	for _, want := range []string{
		"gateway.refused.upstreams-busy 2\n", "gateway.answer_seconds{count} 100\n",
		"gateway.answer_seconds{quantile=\"50\"} 0.02", "gateway.answer_seconds{quantile=\"99.9\"} 6",
	} {
		assert.Assert(t, strings.Contains(text, want), "%s not in\n%s", want, text)
	}
}
