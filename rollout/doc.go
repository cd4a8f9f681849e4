// Package rollout switches a group of ranks from one expert map to the next, so
// that all ranks use the same map in each step.
//
// A switch has four phases:
//
//  1. Staging: the leader begins the switch on the replicated log, and every rank
//     stages the weights.
//  2. Arming: the leader writes the first step S of the new map to the log and arms
//     the ranks. An armed rank doesn't begin S until it knows the decision.
//  3. Committed: once all ranks are armed, the decision to switch is written to the
//     log, and only then sent to the ranks.
//  4. Confirmed: once all ranks use the new map, a confirmation on the log ends the
//     switch.
//
// This is two-phase commit (Gray, 1978) with a replicated coordinator state (Gray and
// Lamport: Consensus on Transaction Commit, 2006): a new leader reads all that it needs
// from the log.
//
// Machine is the state machine on the log, Coordinator the leader's side. Both are
// pure. fake.Rank specifies and implements the rank's side.
package rollout
