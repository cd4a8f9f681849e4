// Package consensus implements a replicated log based on Raft (Ongaro and
// Ousterhout: In Search of an Understandable Consensus Algorithm, 2014), with the
// pre-vote, leader leases and single-server membership changes of Ongaro's thesis.
//
// Node is a pure step function: it takes the time, messages and proposals, and
// returns a Ready with records to make durable, messages to send and entries to
// apply. It uses no goroutine, socket, file or clock, so one process can run
// several nodes.
//
// Invariants:
//
//   - Records are synced before the messages that depend on them are sent. If a
//     crash could undo a vote or an acknowledgement, a term could have two leaders
//     or an accepted entry could be lost.
//   - A replica's identity is name/incarnation, and an incarnation belongs to one
//     data folder. A replica that lost its folder and voted again under its old
//     identity could vote twice in a term.
//   - A replica that restarts takes part only after a majority of the voters, itself
//     included, has reported the log position at which they observed it. If that is
//     beyond the end of its data folder, the folder is an older copy, and the replica
//     stops.
//   - A follower grants no vote within the election timeout after it heard from a
//     leader or started. A leader's lease is shorter than that by the bound on
//     clock rates, so it expires before another leader can be elected.
//   - A leader that transfers leadership releases its lease before the target may
//     campaign, and holds none again in that term. Voters grant the target's votes
//     within the election timeout, so two replicas could otherwise serve reads.
package consensus
