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
	if err := a.addGroupCommands(p); err != nil {
		return err
	}
	if err := a.addQuarantineCommands(p); err != nil {
		return err
	}
	for _, c := range []struct {
		parent      *flags.Command
		name, short string
		data        any
	}{
		{t, "get", "show rows", &tableGetCommand{app: a}},
		{t, "set", "change columns of one row, or create it", &tableSetCommand{app: a}},
		{t, "delete", "delete one row", &tableDeleteCommand{app: a}},
		{t, "history", "show the versions of one row", &tableHistoryCommand{app: a}},
		{t, "apply", "apply the rows of a TSV file", &tableApplyCommand{app: a}},
		{t, "export", "write all rows as TSV", &tableExportCommand{app: a}},
		{p.Command, "status", "show health, control replicas, entries and upstreams", &statusCommand{app: a}},
		{p.Command, "members", "show the control replicas", &membersCommand{app: a}},
		{p.Command, "replace", "replace a lost control replica by one that has caught up", &replaceCommand{app: a}},
		{p.Command, "remove", "remove a control replica from the log", &removeCommand{app: a}},
		{p.Command, "drain", "drain an upstream or an entry; requests in progress are completed", &drainCommand{app: a}},
		{p.Command, "evacuate", "send no new requests to the upstreams of a failure domain", &evacuateCommand{app: a}},
		{p.Command, "restore", "end the evacuation of a failure domain", &restoreCommand{app: a}},
		{p.Command, "backpressure", "show the limits, rests and leaving of upstreams that gateways keep", &backpressureCommand{app: a}},
		{p.Command, "demand", "show what callers ask of contended services, by priority and team", &demandCommand{app: a}},
		{p.Command, "explain", "explain a refusal from its token", &explainCommand{app: a}},
		{p.Command, "dump", "show the state of a process as JSON", &dumpCommand{app: a}},
		{p.Command, "trace", "show the log lines and the outcome of one request", &traceCommand{app: a}},
		{p.Command, "losses", "count the outcomes of requests in logs, by cause and time window", &lossesCommand{app: a}},
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

type rowArgs struct {
	Kind string `positional-arg-name:"KIND" required:"yes"`
	Key  string `positional-arg-name:"KEY" required:"yes"`
}

type tableGetCommand struct {
	*app `no-flag:"yes"`
	Args struct {
		Kind string `positional-arg-name:"KIND"`
		Key  string `positional-arg-name:"KEY"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableGetCommand) Execute([]string) error {
	if c.Args.Key != "" {
		var r operators.Row
		if err := c.getJSON(rowPath("/v1/table", c.Args.Kind, c.Args.Key), &r); err != nil {
			return err
		}
		return c.show(r, rowTable([]operators.Row{r}))
	}
	rows, err := c.getRows(c.Args.Kind)
	if err != nil {
		return err
	}
	return c.show(rows, rowTable(rows.Rows))
}

func (a *app) getRows(kind string) (*operators.Rows, error) {
	path := "/v1/table"
	if kind != "" {
		path += "/" + url.PathEscape(kind)
	}
	var rows operators.Rows
	return &rows, a.getJSON(path, &rows)
}

// baseRow returns the row that an edit is based on, or nil for a new row: the
// given version, or the current one if version is nil. With the version given, a
// retry builds the same edit also if the row has changed since.
func (a *app) baseRow(kind, key string, version *uint64) (*operators.Row, error) {
	if version == nil {
		return a.currentRow(kind, key)
	}
	if *version == 0 {
		return nil, nil
	}
	var rows operators.Rows
	if err := a.getJSON(rowPath("/v1/history", kind, key), &rows); err != nil {
		return nil, err
	}
	for _, r := range rows.Rows {
		if r.Version == *version {
			return &r, nil
		}
	}
	return nil, merry.Prependf(ErrRefused, "%s %s has no version %d in its history", kind, key, *version)
}

// currentRow returns the current version of a row, or nil if there is none.
func (a *app) currentRow(kind, key string) (*operators.Row, error) {
	rows, err := a.getRows(kind)
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

// sendEdit sends an edit, shows the changed rows, and prints to standard error
// which entries have applied it.
func (a *app) sendEdit(r request) error {
	text, err := a.sendRequest(r)
	if errors.Is(err, ErrServer) || errors.Is(err, ErrUnavailable) {
		return merry.Append(err, retryHint(r))
	}
	if err != nil {
		return err
	}
	var e operators.EditResult
	if err := json.Unmarshal(text, &e); err != nil {
		return merry.Prepend(ErrServer, err.Error())
	}
	if err := a.show(e, rowTable(e.Rows)); err != nil {
		return err
	}
	fmt.Fprintln(a.stderr, propagationText(e.Propagation))
	return nil
}

// retryHint says how to retry an edit whose outcome is unknown.
func retryHint(r request) string {
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

type tableSetCommand struct {
	*app `no-flag:"yes"`
	editOptions
	Args struct {
		Kind  string   `positional-arg-name:"KIND" required:"yes"`
		Key   string   `positional-arg-name:"KEY" required:"yes"`
		Cells []string `positional-arg-name:"COLUMN=VALUE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableSetCommand) Execute([]string) error {
	changes, err := parseColumns(c.Args.Cells)
	if err != nil {
		return err
	}
	old, err := c.baseRow(c.Args.Kind, c.Args.Key, c.Version)
	if err != nil {
		return err
	}
	columns := map[string]string{}
	version := uint64(0)
	if old != nil {
		version = old.Version
		maps.Copy(columns, old.Columns)
	}
	maps.Copy(columns, changes)
	return c.sendEdit(request{
		method: http.MethodPut, path: rowPath("/v1/table", c.Args.Kind, c.Args.Key),
		header: c.header(version), body: map[string]any{"columns": columns},
	})
}

// parseColumns parses arguments of the form COLUMN=VALUE.
func parseColumns(args []string) (map[string]string, error) {
	parsed := map[string]string{}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if !ok {
			return nil, merry.Prependf(ErrUsage, "%q is not COLUMN=VALUE", arg)
		}
		parsed[name] = value
	}
	return parsed, nil
}

type tableDeleteCommand struct {
	*app `no-flag:"yes"`
	editOptions
	Args rowArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableDeleteCommand) Execute([]string) error {
	old, err := c.baseRow(c.Args.Kind, c.Args.Key, c.Version)
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

type tableHistoryCommand struct {
	*app       `no-flag:"yes"`
	AtRevision uint64  `long:"at-revision" description:"only the version that was in force at a revision"`
	Args       rowArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableHistoryCommand) Execute([]string) error {
	path := rowPath("/v1/history", c.Args.Kind, c.Args.Key)
	if c.AtRevision != 0 {
		path += "?at_revision=" + strconv.FormatUint(c.AtRevision, 10)
	}
	var rows operators.Rows
	if err := c.getJSON(path, &rows); err != nil {
		return err
	}
	return c.show(rows, rowTable(rows.Rows))
}

type tableExportCommand struct {
	*app `no-flag:"yes"`
}

// Execute implements flags.Commander.
func (c *tableExportCommand) Execute([]string) error {
	text, err := c.sendRequest(request{
		method: http.MethodGet, path: "/v1/table", header: map[string]string{"Accept": "text/tab-separated-values"},
	})
	if err != nil {
		return err
	}
	_, err = c.stdout.Write(text)
	return err
}

type tableApplyCommand struct {
	*app   `no-flag:"yes"`
	Yes    bool   `long:"yes" description:"don't ask"`
	Prune  bool   `long:"prune" description:"delete rows in force that the file lacks"`
	EditID string `long:"edit-id" description:"give the same ID again when an answer was lost: the edit is made once"`
	Args   struct {
		File string `positional-arg-name:"FILE" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *tableApplyCommand) Execute([]string) error {
	f, err := os.Open(c.Args.File)
	if err != nil {
		return merry.Prepend(ErrUsage, err.Error())
	}
	defer f.Close()
	desired, err := table.ReadTSV(f)
	if err != nil {
		return merry.Prependf(ErrUsage, "%s: %v", c.Args.File, err)
	}
	inForce, err := c.getRows("")
	if err != nil {
		return err
	}
	edits := planEdits(desired, inForce.Rows, c.Prune)
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

// planEdits returns the edits that turn the current rows into the desired ones.
// Rows that are not desired are deleted only with prune.
func planEdits(desired []*wire.Row, inForce []operators.Row, prune bool) []operators.RowEdit {
	var edits []operators.RowEdit
	for _, w := range desired {
		i := slices.IndexFunc(inForce, func(r operators.Row) bool { return r.Kind == w.Kind && r.Key == w.Key })
		e := operators.RowEdit{Kind: w.Kind, Key: w.Key, Columns: w.Columns}
		if i >= 0 {
			if formatColumns(inForce[i].Columns) == formatColumns(w.Columns) {
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
		kept := slices.ContainsFunc(desired, func(w *wire.Row) bool { return r.Kind == w.Kind && r.Key == w.Key })
		if !kept {
			edits = append(edits, operators.RowEdit{Kind: r.Kind, Key: r.Key, BaseVersion: r.Version, Delete: true})
		}
	}
	return edits
}

// confirm shows the edits and, without --yes, asks for confirmation.
func (c *tableApplyCommand) confirm(edits []operators.RowEdit, inForce []operators.Row) bool {
	for _, e := range edits {
		i := slices.IndexFunc(inForce, func(r operators.Row) bool { return r.Kind == e.Kind && r.Key == e.Key })
		switch {
		case e.Delete:
			fmt.Fprintf(c.stderr, "- %s %s\n", e.Kind, e.Key)
		case i < 0:
			fmt.Fprintf(c.stderr, "+ %s %s  %s\n", e.Kind, e.Key, formatColumns(e.Columns))
		default:
			fmt.Fprintf(c.stderr, "~ %s %s  %s  (was %s)\n", e.Kind, e.Key, formatColumns(e.Columns), formatColumns(inForce[i].Columns))
		}
	}
	if c.Yes {
		return true
	}
	fmt.Fprintf(c.stderr, "Apply to %d row(s)? [y/N] ", len(edits))
	line, _ := bufio.NewReader(c.stdin).ReadString('\n')
	return strings.EqualFold(strings.TrimSpace(line), "y")
}
