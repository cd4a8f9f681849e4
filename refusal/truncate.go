package refusal

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Bounds on the texts of a refusal. They may quote what a caller or an upstream sent, and
// without bounds could make a token longer than Verify accepts.
const (
	// maxText bounds one text, in bytes.
	maxText = 512
	// maxAttempts bounds the attempts that are listed; later ones are omitted.
	maxAttempts    = 8
	truncationMark = "..."
)

// truncated returns a copy of the refusal with its texts truncated and made valid UTF-8,
// which protobuf encoding requires. r itself is not changed.
func truncated(r *wire.Refusal) *wire.Refusal {
	c := proto.CloneOf(r)
	for _, text := range []*string{&c.RequestId, &c.Detail, &c.Team, &c.Service, &c.RowKind, &c.RowKey, &c.Entry} {
		*text = truncate(*text)
	}
	c.Attempts = c.Attempts[:min(len(c.Attempts), maxAttempts)]
	for _, a := range c.Attempts {
		a.Upstream, a.Detail = truncate(a.Upstream), truncate(a.Detail)
	}
	return c
}

func truncate(text string) string {
	if len(text) > maxText {
		text = text[:maxText-len(truncationMark)] + truncationMark
	}
	return strings.ToValidUTF8(text, "?")
}
