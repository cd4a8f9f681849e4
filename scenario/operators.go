package scenario

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"

	"github.com/ansel1/merry/v2"
)

// cmdEdits makes N edits of one row, one after the other: the column's value
// counts up to N. The last one has the ID PREFIX.
func (w *world) cmdEdits(_ bool, args []string) error {
	given := parse(args)
	args = given.rest
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
		o := parse([]string{args[2], args[3], args[4] + "=" + strconv.Itoa(i), "resend=yes"})
		if via := given.values["via"]; via != "" {
			o.values["via"] = via
		}
		if err := w.edit(id, o); err != nil {
			return err
		}
		if err := w.expectEdit(id, parse([]string{"status=200"})); err != nil {
			return err
		}
	}
	return nil
}

// cmdRow compares a row as it stands; negated, an entry must not tell any.
func (w *world) cmdRow(neg bool, args []string) error {
	o := parse(args)
	if len(o.rest) != 2 || neg && o.values["via"] == "" {
		return merry.Prepend(ErrScript, "row KIND KEY [via=ENTRY] column=value ..., or ! row KIND KEY via=ENTRY")
	}
	if neg {
		return w.untold(o)
	}
	via := ""
	if o.values["via"] != "" {
		var err error
		if via, err = w.entry(o); err != nil {
			return err
		}
		delete(o.values, "via")
	}
	row, err := w.readRow(via, o.rest[0], o.rest[1])
	if err != nil {
		return err
	}
	for name, want := range o.values {
		if row.Columns[name] != want {
			return merry.Prependf(errOther, "row is %+v", row)
		}
	}
	return nil
}

// untold asks an entry for a row once. It must not tell one.
func (w *world) untold(o options) error {
	via, err := w.entry(o)
	if err != nil {
		return err
	}
	status, body, err := w.operatorCall(via, http.MethodGet, "/v1/table/"+o.rest[0]+"/"+o.rest[1], nil, nil)
	if err == nil && status == http.StatusOK {
		return merry.Prependf(errOther, "%s told %s", via, body)
	}
	return nil
}

// cmdHealth waits until the replicated log is in a state.
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

// cmdLeader waits until a part leads the log, or another one does.
func (w *world) cmdLeader(neg bool, args []string) error {
	names, err := w.expand(args...)
	if err != nil {
		return err
	}
	return eventually(func() string {
		leader, err := w.leader()
		if err != nil {
			return err.Error()
		}
		if slices.Contains(names, leader) == neg {
			return leader + " leads"
		}
		return ""
	})
}
