// Package lockstep balances the load of a group whose ranks run every pass together, and
// switches the group from one expert map to the next such that all ranks begin each pass with
// the same map.
//
// DemandEstimate estimates which experts the requests use, Plan computes a better map, and
// Switcher activates it by orders to the ranks. Orders and their replies may be lost, delayed or
// duplicated. None of them does any I/O: the caller passes in the time, readings and replies,
// and sends the orders that are returned.
//
// The ranks handled here act on their own: an armed rank switches at its step without a further
// order. The group is therefore held before that step until every rank is known to be armed.
// Package rollout is for ranks that wait for a commit.
package lockstep
