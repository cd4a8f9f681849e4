package ctl

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/snipereach/snipereach/operators"
)

// sheet is something to show as a table.
type sheet struct {
	head []string
	rows [][]string
}

// show writes a value in the form that was asked for: as JSON, or as sheets.
func (a *app) show(v any, sheets ...sheet) error {
	if a.Output == "json" {
		enc := json.NewEncoder(a.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	for i, s := range sheets {
		if i > 0 {
			fmt.Fprintln(a.stdout)
		}
		if err := a.showSheet(s); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) showSheet(s sheet) error {
	if a.Output == "tsv" {
		for _, r := range s.rows {
			fmt.Fprintln(a.stdout, strings.Join(r, "\t"))
		}
		return nil
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(s.head, "\t")))
	for _, r := range s.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// cells writes a row's columns as name=value, sorted.
func cells(columns map[string]string) string {
	var list []string
	for name, value := range columns {
		if value != "" {
			list = append(list, name+"="+value)
		}
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}

func rowSheet(rows []operators.Row) sheet {
	s := sheet{head: []string{"kind", "key", "version", "columns", "changed by", "changed at"}}
	for _, r := range rows {
		text := cells(r.Columns)
		if r.Deleted {
			text = "(deleted)"
		}
		s.rows = append(s.rows, []string{r.Kind, r.Key, fmt.Sprint(r.Version), text, r.ChangedBy, r.ChangedAt})
	}
	return s
}

func forceText(f operators.Force) string {
	text := fmt.Sprintf("revision %d, in force on %d of %d entries", f.Revision, f.InForce, f.Entries)
	if len(f.Lagging) > 0 {
		text += "; waiting for " + strings.Join(f.Lagging, ", ")
	}
	return text
}
