// Package table is the configuration table that operators edit row by row:
// its kinds, columns, checks and versions, and the typed view that the
// decision packages read.
//
// A row is text in columns (wire.Row); a View is the same rows checked and
// typed. Rows that fail a check are never in a View, because an edit is
// checked against the whole table before it is accepted.
package table
