package refusal

import (
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// Bounds of what a refusal holds. Texts may quote what a caller or an upstream sent,
// a model name of a megabyte for example: the answer would be as large, and its
// token longer than any entry looks at, so that the refusal could not be explained.
const (
	// maxText bounds one text, in bytes.
	maxText = 512
	// maxAttempts is how many attempts are named; the first ones.
	maxAttempts = 8
	cutMark     = "..."
)

// bounded returns the refusal with its texts cut to their bounds and made valid
// UTF-8, which is all that a token can hold. r itself is left alone.
func bounded(r *wire.Refusal) *wire.Refusal {
	c := proto.CloneOf(r)
	for _, text := range []*string{&c.RequestId, &c.Detail, &c.Team, &c.Service, &c.RowKind, &c.RowKey, &c.Entry} {
		*text = cut(*text)
	}
	c.Attempts = c.Attempts[:min(len(c.Attempts), maxAttempts)]
	for _, a := range c.Attempts {
		a.Upstream, a.Detail = cut(a.Upstream), cut(a.Detail)
	}
	return c
}

func cut(text string) string {
	if len(text) > maxText {
		text = text[:maxText-len(cutMark)] + cutMark
	}
	return strings.ToValidUTF8(text, "?")
}
