// Package overload decides how much of a service's room less urgent requests leave free, where a
// service's requests have different priorities.
//
// A Policy keeps room for more urgent requests that are expected soon, and a Headroom keeps passes
// of a group within their target after the next shift of expert demand. Both are pure: they take
// times and observations, and have no goroutine, socket or clock. Priority 0 is the most urgent.
package overload
