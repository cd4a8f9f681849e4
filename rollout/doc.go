// Package rollout switches a group of ranks from one expert map to the next, so
// that in each step all ranks use one and the same map.
//
// A switch has four phases. The leader begins it on the replicated log and every
// rank stages the weights. The leader writes the first step S of the new map to
// the log and arms the ranks: an armed rank doesn't begin S until it knows the
// decision. Once all are armed the decision to switch is written to the log, and
// only then told to the ranks. When all use the map, the switch is confirmed.
// This is two-phase commit (Gray, 1978) whose coordinator's state is replicated
// (Gray and Lamport: Consensus on Transaction Commit, 2006): a leader that dies
// leaves nothing that the next one can't read from the log.
//
// Machine is the state machine on the log, Coordinator the leader's side. Both
// are pure. What a rank must do is written down, and run, as fake.Rank.
package rollout
