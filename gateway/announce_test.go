package gateway

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/wire"
)

// Two gateways run under one ID. The one with the lower incarnation is superseded for good: it
// can't raise its incarnation a second time, and must say why it isn't listed.
func TestGatewayLogsThatItsIDIsUsedTwice(t *testing.T) {
	var text bytes.Buffer
	g := &Gateway{
		settings: DefaultSettings(), log: log.NewLogfmtLogger(&text),
		incarnation: directory.NewIncarnation("g", time.Now()), announceNow: make(chan struct{}, 1),
	}
	first := g.incarnation.Number()
	g.handleReply(&wire.AnnounceReply{Superseded: true, KnownIncarnation: first + 10})
	assert.Assert(t, strings.Contains(text.String(), "Raised the incarnation."), text.String())
	text.Reset()
	g.handleReply(&wire.AnnounceReply{Superseded: true, KnownIncarnation: first + 10})
	assert.Equal(t, text.String(), "", "a second replica says what the first has said")
	g.handleReply(&wire.AnnounceReply{Superseded: true, KnownIncarnation: first + 20})
	assert.Assert(t, strings.Contains(text.String(), "Another process may be using the same ID."), text.String())
	text.Reset()
	g.handleReply(&wire.AnnounceReply{})
	assert.Equal(t, text.String(), "")
}
