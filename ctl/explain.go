package ctl

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/snipereach/snipereach/operators"
)

type explainCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Token string `positional-arg-name:"TOKEN" required:"yes" description:"explanation_token of a refusal, or its instance path"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *explainCommand) Execute([]string) error {
	var x operators.Explanation
	token := strings.TrimPrefix(c.Args.Token, "/v1/refusals/")
	if err := c.getJSON("/v1/refusals/"+url.PathEscape(token), &x); err != nil {
		return err
	}
	return c.show(x, explanationTable(&x))
}

// explanationTable lists the known facts about a refusal, one a line.
func explanationTable(x *operators.Explanation) textTable {
	s := textTable{header: []string{"field", "value"}}
	add := func(field, value string) {
		if value != "" {
			s.rows = append(s.rows, []string{field, value})
		}
	}
	add("reason", x.Reason+": "+x.Title)
	add("detail", x.Detail)
	add("outcome", x.Outcome+": "+outcomeText(x.Outcome))
	add("request", x.RequestID)
	add("team", x.Team)
	add("service", x.Service)
	add("entry", x.Entry)
	add("at", time.UnixMilli(x.AtUnixMS).UTC().Format(time.RFC3339Nano))
	add("table revision", strconv.FormatUint(x.Revision, 10))
	for _, name := range slices.Sorted(maps.Keys(x.Observed)) {
		add("observed "+name, strconv.FormatFloat(x.Observed[name], 'g', -1, 64))
	}
	add("row that decided", x.Row)
	add("row then", rowText(x.RowThen))
	add("row now", currentRowText(x))
	add("note", x.RowNote)
	for i, a := range x.Attempts {
		add(fmt.Sprintf("attempt %d", i+1), strings.TrimSpace(fmt.Sprintf("%s: %s %s %s", a.Upstream, a.Outcome, a.Reason, a.Detail)))
	}
	return s
}

func outcomeText(outcome string) string {
	if outcome == "not-run" {
		return "no upstream ran it, and none will"
	}
	return "it may have run; send it again only with the same idempotency key"
}

func rowText(r *operators.Row) string {
	if r == nil {
		return ""
	}
	text := fmt.Sprintf("version %d: %s", r.Version, formatColumns(r.Columns))
	if r.Deleted {
		text = fmt.Sprintf("version %d: deleted", r.Version)
	}
	if r.ChangedBy != "" {
		text += " (by " + r.ChangedBy + " " + r.ChangedAt + ")"
	}
	return text
}

func currentRowText(x *operators.Explanation) string {
	if x.RowThen != nil && x.RowNow != nil && x.RowThen.Version == x.RowNow.Version {
		return "the same"
	}
	return rowText(x.RowNow)
}
