package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// cmdEdits makes N edits of one row in sequence, setting a column to 1 up to N. The
// last edit has the given ID; the others have ID-1, ID-2 and so on.
func (w *world) cmdEdits(_ bool, args []string) error {
	given := parseOptions(args)
	args = given.positional
	if len(args) != 5 {
		return merry.Prepend(ErrScript, "edits ID N KIND KEY COLUMN [via=ENTRY]")
	}
	n, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	for i := 1; i <= n; i++ {
		id := args[0]
		if i < n {
			id = fmt.Sprintf("%s-%d", args[0], i)
		}
		o := parseOptions([]string{args[2], args[3], args[4] + "=" + strconv.Itoa(i), "resend=yes"})
		if via := given.values["via"]; via != "" {
			o.values["via"] = via
		}
		if err := w.startEdit(id, o); err != nil {
			return err
		}
		if err := w.expectEdit(id, parseOptions([]string{"status=200"})); err != nil {
			return err
		}
	}
	return nil
}

// cmdRow compares the current row; negated, it checks that an entry returns none.
func (w *world) cmdRow(neg bool, args []string) error {
	o := parseOptions(args)
	if len(o.positional) != 2 || neg && o.values["via"] == "" {
		return merry.Prepend(ErrScript, "row KIND KEY [via=ENTRY] column=value ..., or ! row KIND KEY via=ENTRY")
	}
	if neg {
		return w.expectNoRow(o)
	}
	via := ""
	if o.values["via"] != "" {
		var err error
		if via, err = w.pickEntry(o); err != nil {
			return err
		}
		delete(o.values, "via")
	}
	row, err := w.readRow(via, o.positional[0], o.positional[1])
	if err != nil {
		return err
	}
	for name, want := range o.values {
		if row.Columns[name] != want {
			return merry.Prependf(errMismatch, "row is %+v", row)
		}
	}
	return nil
}

// expectNoRow reads a row through an entry once and fails if the entry returns it.
func (w *world) expectNoRow(o options) error {
	via, err := w.pickEntry(o)
	if err != nil {
		return err
	}
	status, body, err := w.operatorCall(via, http.MethodGet, "/v1/table/"+o.positional[0]+"/"+o.positional[1], nil, nil)
	if err == nil && status == http.StatusOK {
		return merry.Prependf(errMismatch, "%s returned the row: %s", via, body)
	}
	return nil
}

// cmdHealth waits until the replicated log reports a health state.
func (w *world) cmdHealth(_ bool, args []string) error {
	if len(args) != 1 {
		return merry.Prepend(ErrScript, "health ok|degraded")
	}
	return eventually(func() string {
		m, err := w.members("")
		if err != nil {
			return err.Error()
		}
		if m.Health != args[0] {
			return fmt.Sprintf("%+v", *m)
		}
		return ""
	})
}

// cmdLeader waits until one of the parts leads the log, or if negated until another
// part does.
func (w *world) cmdLeader(neg bool, args []string) error {
	names, err := w.expandParts(args...)
	if err != nil {
		return err
	}
	return eventually(func() string {
		leader, err := w.findLeader()
		if err != nil {
			return err.Error()
		}
		if slices.Contains(names, leader) == neg {
			return leader + " leads"
		}
		return ""
	})
}
