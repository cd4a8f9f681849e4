package table

import (
	"encoding/csv"
	"io"
	"sort"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/wire"
)

// ErrTSV is returned for text that isn't a table, and for rows that can't be written.
var ErrTSV = merry.Sentinel("table text is malformed")

// ReadTSV reads and checks rows from tab-separated lines: kind, key, then cells as column=value. It
// skips empty lines and lines that start with #.
func ReadTSV(r io.Reader) ([]*wire.Row, error) {
	cr := csv.NewReader(r)
	cr.Comma = '\t'
	cr.Comment = '#'
	cr.FieldsPerRecord = -1
	cr.LazyQuotes = true
	var rows []*wire.Row
	for {
		rec, err := cr.Read()
		if err == io.EOF {
			return rows, nil
		}
		if err != nil {
			return nil, merry.Prepend(ErrTSV, err.Error())
		}
		line, _ := cr.FieldPos(0)
		row, err := rowOf(rec, line)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
}

func rowOf(rec []string, line int) (*wire.Row, error) {
	if len(rec) < 2 {
		return nil, merry.Prependf(ErrTSV, "line %d: needs a kind and a key", line)
	}
	row := &wire.Row{Kind: rec[0], Key: rec[1], Columns: map[string]string{}}
	for _, cell := range rec[2:] {
		if cell == "" {
			continue
		}
		name, value, ok := strings.Cut(cell, "=")
		if !ok {
			return nil, merry.Prependf(ErrTSV, "line %d: cell %q is not column=value", line, cell)
		}
		row.Columns[name] = value
	}
	if err := CheckRow(row.Kind, row.Key, row.Columns); err != nil {
		return nil, merry.Prependf(err, "line %d", line)
	}
	return row, nil
}

// WriteTSV writes rows in the form that ReadTSV reads, sorted by kind and key and without deleted rows.
func WriteTSV(w io.Writer, rows []*wire.Row) error {
	sorted := append([]*wire.Row(nil), rows...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Kind != b.Kind {
			return a.Kind < b.Kind
		}
		return a.Key < b.Key
	})
	cw := csv.NewWriter(w)
	cw.Comma = '\t'
	for _, r := range sorted {
		if r.Deleted {
			continue
		}
		rec := []string{r.Kind, r.Key}
		for _, c := range Schema[r.Kind] {
			if cell := r.Columns[c.Name]; cell != "" {
				rec = append(rec, c.Name+"="+cell)
			}
		}
		if err := cw.Write(rec); err != nil {
			return merry.Prepend(ErrTSV, err.Error())
		}
	}
	cw.Flush()
	return cw.Error()
}
