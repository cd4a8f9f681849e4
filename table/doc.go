// Package table is the configuration table that operators edit row by row: its kinds of rows,
// columns, checks and versions, and the typed View that other packages read.
//
// A row is text in columns (wire.Row); a View holds the same rows checked and typed. Rows that
// fail a check never get into a View: an edit is checked before it is accepted, and NewView and
// With return an error for a row that fails.
package table
