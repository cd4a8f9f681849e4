package ctl

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/snipereach/snipereach/operators"
)

// textTable is a table to print.
type textTable struct {
	header []string
	rows   [][]string
}

// show prints v as JSON, or else the tables in the format of the option --output.
func (a *app) show(v any, tables ...textTable) error {
	if a.Output == "json" {
		enc := json.NewEncoder(a.stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(v)
	}
	for i, s := range tables {
		if i > 0 {
			fmt.Fprintln(a.stdout)
		}
		if err := a.showTable(s); err != nil {
			return err
		}
	}
	return nil
}

func (a *app) showTable(s textTable) error {
	if a.Output == "tsv" {
		for _, r := range s.rows {
			fmt.Fprintln(a.stdout, strings.Join(r, "\t"))
		}
		return nil
	}
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(s.header, "\t")))
	for _, r := range s.rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// formatColumns returns the columns that have a value as NAME=VALUE, sorted.
func formatColumns(columns map[string]string) string {
	var list []string
	for name, value := range columns {
		if value != "" {
			list = append(list, name+"="+value)
		}
	}
	sort.Strings(list)
	return strings.Join(list, " ")
}

func rowTable(rows []operators.Row) textTable {
	s := textTable{header: []string{"kind", "key", "version", "columns", "changed by", "changed at"}}
	for _, r := range rows {
		text := formatColumns(r.Columns)
		if r.Deleted {
			text = "(deleted)"
		}
		s.rows = append(s.rows, []string{r.Kind, r.Key, fmt.Sprint(r.Version), text, r.ChangedBy, r.ChangedAt})
	}
	return s
}

func propagationText(f operators.Propagation) string {
	text := fmt.Sprintf("revision %d, in force on %d of %d entries", f.Revision, f.InForce, f.Entries)
	if len(f.Lagging) > 0 {
		text += "; waiting for " + strings.Join(f.Lagging, ", ")
	}
	return text
}
