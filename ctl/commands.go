package ctl

import (
	"bufio"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

func (a *app) addCommands(p *flags.Parser) error {
	t, err := p.AddCommand("table", "read and edit the table", "Rows of the kinds "+strings.Join(table.Kinds(), ", ")+".", &struct{}{})
	if err != nil {
		return err
	}
	if err := a.addGroups(p); err != nil {
		return err
	}
	if err := a.addQuarantine(p); err != nil {
		return err
	}
	for _, c := range []struct {
		parent      *flags.Command
		name, short string
		data        any
	}{
		{t, "get", "show rows", &tableGet{app: a}},
		{t, "set", "change columns of one row, or make it", &tableSet{app: a}},
		{t, "delete", "delete one row", &tableDelete{app: a}},
		{t, "history", "show the versions of one row", &tableHistory{app: a}},
		{t, "apply", "make the rows of a TSV file those in force", &tableApply{app: a}},
		{t, "export", "write all rows as TSV", &tableExport{app: a}},
		{p.Command, "status", "show health, control replicas, entries and upstreams", &status{app: a}},
		{p.Command, "members", "show the control replicas", &members{app: a}},
		{p.Command, "replace", "replace a lost control replica by one that has caught up", &replace{app: a}},
		{p.Command, "remove", "remove a control replica from the log", &remove{app: a}},
		{p.Command, "drain", "make an upstream or an entry leave; nothing in progress is cut", &drain{app: a}},
		{p.Command, "explain", "explain a refusal from its token", &explain{app: a}},
		{p.Command, "dump", "show a process's state as JSON", &dump{app: a}},
		{p.Command, "trace", "show the lines of one request from logs, and its cause", &trace{app: a}},
		{p.Command, "losses", "count from logs what became of requests, by cause and time", &losses{app: a}},
	} {
		if _, err := c.parent.AddCommand(c.name, c.short, "", c.data); err != nil {
			return err
		}
	}
	return nil
}

func rowPath(root, kind, key string) string {
	parts := strings.Split(key, "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return root + "/" + url.PathEscape(kind) + "/" + strings.Join(parts, "/")
}

// rowArgs name one row.
type rowArgs struct {
	Kind string `positional-arg-name:"KIND" required:"yes"`
	Key  string `positional-arg-name:"KEY" required:"yes"`
}

type tableGet struct {
	*app `no-flag:"yes"`
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Key  string `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableGet) Execute([]string) error {
	if c.Args.Key != "" {
		var r operators.Row
		if err := c.get(rowPath("/v1/table", c.Args.Kind, c.Args.Key), &r); err != nil {
			return err
		}
		return c.show(r, rowSheet([]operators.Row{r}))
	}
	rows, err := c.rows(c.Args.Kind)
	if err != nil {
		return err
	}
	return c.show(rows, rowSheet(rows.Rows))
}

func (a *app) rows(kind string) (*operators.Rows, error) {
	path := "/v1/table"
	if kind != "" {
		path += "/" + url.PathEscape(kind)
	}
	var rows operators.Rows
	return &rows, a.get(path, &rows)
}

// base returns the row that an edit is based on, or nil: the one in force, or the
// version that the operator names. An edit that is sent again with its ID and
// version is then the same edit, also when the row has changed meanwhile.
func (a *app) base(kind, key string, version *uint64) (*operators.Row, error) {
	if version == nil {
		return a.current(kind, key)
	}
	if *version == 0 {
		return nil, nil
	}
	var rows operators.Rows
	if err := a.get(rowPath("/v1/history", kind, key), &rows); err != nil {
		return nil, err
	}
	for _, r := range rows.Rows {
		if r.Version == *version {
			return &r, nil
		}
	}
	return nil, merry.Prependf(ErrRefused, "%s %s has no version %d in its history", kind, key, *version)
}

// current returns the row in force, or nil.
func (a *app) current(kind, key string) (*operators.Row, error) {
	rows, err := a.rows(kind)
	if err != nil {
		return nil, err
	}
	for _, r := range rows.Rows {
		if r.Key == key {
			return &r, nil
		}
	}
	return nil, nil
}

// Header names of an edit.
const (
	headerEditID  = "Idempotency-Key"
	headerIfMatch = "If-Match"
)

type editOptions struct {
	Version *uint64 `long:"version" description:"version the edit is based on, 0 for a new row; the one in force if not given" value-name:"N"`
	EditID  string  `long:"edit-id" description:"ID of the edit; give the same one, and the same --version, if an answer was lost: the edit is made once" value-name:"ID"`
}

func (o *editOptions) header(version uint64) map[string]string {
	if o.EditID == "" {
		o.EditID = rand.Text()
	}
	h := map[string]string{headerEditID: o.EditID, headerIfMatch: strconv.Quote(strconv.FormatUint(version, 10))}
	if version == 0 {
		delete(h, headerIfMatch)
		h["If-None-Match"] = "*"
	}
	return h
}

// sendEdit makes an edit and tells where it is in force.
func (a *app) sendEdit(r request) error {
	text, err := a.call(r)
	if errors.Is(err, ErrServer) || errors.Is(err, ErrUnavailable) {
		return merry.Append(err, resendHint(r))
	}
	if err != nil {
		return err
	}
	var e operators.Edited
	if err := json.Unmarshal(text, &e); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	if err := a.show(e, rowSheet(e.Rows)); err != nil {
		return err
	}
	fmt.Fprintln(a.stderr, forceText(e.Force))
	return nil
}

// resendHint tells how to send an edit again whose answer was lost.
func resendHint(r request) string {
	hint := "the edit may have been made; send it again with --edit-id " + r.header[headerEditID]
	if r.method == http.MethodPost {
		return hint
	}
	version := strings.Trim(r.header[headerIfMatch], `"`)
	if version == "" {
		version = "0"
	}
	return hint + " --version " + version
}

type tableSet struct {
	*app `no-flag:"yes"`
	editOptions
	Args struct {
		Kind  string   `positional-arg-name:"KIND" required:"yes"`
		Key   string   `positional-arg-name:"KEY" required:"yes"`
		Cells []string `positional-arg-name:"COLUMN=VALUE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableSet) Execute([]string) error {
	cells, err := parseCells(c.Args.Cells)
	if err != nil {
		return err
	}
	old, err := c.base(c.Args.Kind, c.Args.Key, c.Version)
	if err != nil {
		return err
	}
	columns := map[string]string{}
	version := uint64(0)
	if old != nil {
		version = old.Version
		maps.Copy(columns, old.Columns)
	}
	maps.Copy(columns, cells)
	return c.sendEdit(request{
		method: http.MethodPut, path: rowPath("/v1/table", c.Args.Kind, c.Args.Key),
		header: c.header(version), body: map[string]any{"columns": columns},
	})
}

// parseCells reads COLUMN=VALUE words.
func parseCells(words []string) (map[string]string, error) {
	parsed := map[string]string{}
	for _, word := range words {
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return nil, merry.Prependf(ErrUsage, "%q is not COLUMN=VALUE", word)
		}
		parsed[name] = value
	}
	return parsed, nil
}

type tableDelete struct {
	*app `no-flag:"yes"`
	editOptions
	Args rowArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableDelete) Execute([]string) error {
	old, err := c.base(c.Args.Kind, c.Args.Key, c.Version)
	if err != nil {
		return err
	}
	if old == nil {
		return merry.Prependf(ErrRefused, "no row %s %s", c.Args.Kind, c.Args.Key)
	}
	return c.sendEdit(request{
		method: http.MethodDelete, path: rowPath("/v1/table", c.Args.Kind, c.Args.Key), header: c.header(old.Version),
	})
}

type tableHistory struct {
	*app       `no-flag:"yes"`
	AtRevision uint64  `long:"at-revision" description:"only the version that was in force at a revision"`
	Args       rowArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableHistory) Execute([]string) error {
	path := rowPath("/v1/history", c.Args.Kind, c.Args.Key)
	if c.AtRevision != 0 {
		path += "?at_revision=" + strconv.FormatUint(c.AtRevision, 10)
	}
	var rows operators.Rows
	if err := c.get(path, &rows); err != nil {
		return err
	}
	return c.show(rows, rowSheet(rows.Rows))
}

type tableExport struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *tableExport) Execute([]string) error {
	text, err := c.call(request{
		method: http.MethodGet, path: "/v1/table", header: map[string]string{"Accept": "text/tab-separated-values"},
	})
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(text)
	return err
}

type tableApply struct {
	*app   `no-flag:"yes"`
	Yes    bool   `long:"yes" description:"don't ask"`
	Prune  bool   `long:"prune" description:"delete rows in force that the file lacks"`
	EditID string `long:"edit-id" description:"give the same ID again when an answer was lost: the edit is made once"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableApply) Execute([]string) error {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return merry.Prepend(ErrUsage, err.Error())
	}
	defer f.Close()
	wanted, err := table.ReadTSV(f)
	if err != nil {
		return merry.Prependf(ErrUsage, "%s: %v", c.Args.File, err)
	}
	inForce, err := c.rows("")
	if err != nil {
		return err
	}
	edits := plan(wanted, inForce.Rows, c.Prune)
	if len(edits) == 0 {
		fmt.Fprintln(c.stderr, "Nothing to change.")
		return nil
	}
	if !c.confirm(edits, inForce.Rows) {
		return merry.Prepend(ErrRefused, "not confirmed; nothing was changed")
	}
	if c.EditID == "" {
		c.EditID = rand.Text()
	}
	return c.sendEdit(request{
		method: http.MethodPost, path: "/v1/table",
		header: map[string]string{headerEditID: c.EditID}, body: map[string]any{"rows": edits},
	})
}

// plan lists the edits that lead from the rows in force to those wanted.
func plan(wanted []*wire.Row, inForce []operators.Row, prune bool) []operators.RowEdit {
	var edits []operators.RowEdit
	for _, w := range wanted {
		i := slices.IndexFunc(inForce, func(r operators.Row) bool { return r.Kind == w.Kind && r.Key == w.Key })
		e := operators.RowEdit{Kind: w.Kind, Key: w.Key, Columns: w.Columns}
		if i >= 0 {
			if cells(inForce[i].Columns) == cells(w.Columns) {
				continue
			}
			e.BaseVersion = inForce[i].Version
		}
		edits = append(edits, e)
	}
	if !prune {
		return edits
	}
	for _, r := range inForce {
		kept := slices.ContainsFunc(wanted, func(w *wire.Row) bool { return r.Kind == w.Kind && r.Key == w.Key })
		if !kept {
			edits = append(edits, operators.RowEdit{Kind: r.Kind, Key: r.Key, BaseVersion: r.Version, Delete: true})
		}
	}
	return edits
}

// confirm shows the plan and asks.
func (c *tableApply) confirm(edits []operators.RowEdit, inForce []operators.Row) bool {
	for _, e := range edits {
		i := slices.IndexFunc(inForce, func(r operators.Row) bool { return r.Kind == e.Kind && r.Key == e.Key })
		switch {
		case e.Delete:
			fmt.Fprintf(c.stderr, "- %s %s\n", e.Kind, e.Key)
		case i < 0:
			fmt.Fprintf(c.stderr, "+ %s %s  %s\n", e.Kind, e.Key, cells(e.Columns))
		default:
			fmt.Fprintf(c.stderr, "~ %s %s  %s  (was %s)\n", e.Kind, e.Key, cells(e.Columns), cells(inForce[i].Columns))
		}
	}
	if c.Yes {
		return true
	}
	fmt.Fprintf(c.stderr, "Apply to %d row(s)? [y/N] ", len(edits))
	line, _ := bufio.NewReader(c.stdin).ReadString('\n')
	return strings.EqualFold(strings.TrimSpace(line), "y")
}
