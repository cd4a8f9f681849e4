package ctl

import (
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/table"
)

type evacuationArgs struct {
	Domain string `positional-arg-name:"DOMAIN" required:"yes"`
}

type evacuateCommand struct {
	*app `no-flag:"yes"`
	editOptions
	Args evacuationArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *evacuateCommand) Execute([]string) error {
	if err := c.checkDomain(c.Args.Domain); err != nil {
		return err
	}
	return c.setEvacuated(&c.editOptions, c.Args.Domain, true)
}

type restoreCommand struct {
	*app `no-flag:"yes"`
	editOptions
	Args evacuationArgs `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *restoreCommand) Execute([]string) error {
	return c.setEvacuated(&c.editOptions, c.Args.Domain, false)
}

// setEvacuated edits the row of a failure domain, unless it says so already.
func (a *app) setEvacuated(o *editOptions, domain string, evacuated bool) error {
	old, err := a.baseRow(table.KindEvacuation, domain, o.Version)
	if err != nil {
		return err
	}
	value := "no"
	if evacuated {
		value = "yes"
	}
	if o.Version == nil && evacuated == (old != nil && old.Columns["evacuated"] != "no") {
		fmt.Fprintln(a.stderr, "Nothing to change.")
		return nil
	}
	version := uint64(0)
	if old != nil {
		version = old.Version
	}
	return a.sendEdit(request{
		method: http.MethodPut, path: rowPath("/v1/table", table.KindEvacuation, domain),
		header: o.header(version), body: map[string]any{"columns": map[string]string{"evacuated": value}},
	})
}

// checkDomain returns ErrRefused if nothing is known in a failure domain, as its name may be
// mistyped.
func (a *app) checkDomain(domain string) error {
	var s operators.Status
	if err := a.getJSON("/v1/status", &s); err != nil {
		return err
	}
	var known []string
	for _, u := range s.Upstreams {
		known = append(known, u.FailureDomain)
	}
	for _, e := range s.Entries {
		known = append(known, e.FailureDomain)
	}
	if slices.Contains(known, domain) {
		return nil
	}
	slices.Sort(known)
	return merry.Prependf(ErrRefused, "nothing is known in failure domain %q; known are %s", domain, strings.Join(slices.Compact(known), ", "))
}
