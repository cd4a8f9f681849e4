// Package lockstep keeps the ranks of a group even that runs each pass together,
// and switches the group from one expert map to the next so that no pass begins
// with two.
//
// Demand estimates which experts requests choose, Plan finds a better map, and
// Switcher brings it into force by orders that may be lost, come late or be
// answered late. All are pure: time, readings and answers go in, orders come out.
//
// Ranks here take orders by themselves: one that is armed switches at its step
// without another word. The group is kept from that step by a hold until every
// rank is known to be armed. Package rollout is for ranks that wait for a decision.
package lockstep
