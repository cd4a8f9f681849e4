// Package consensus is a replicated log of the Raft family (Ongaro and
// Ousterhout: In Search of an Understandable Consensus Algorithm, 2014; Ongaro's
// thesis for pre-vote, leases and single-server membership change).
//
// Node is a pure step function: time, messages and proposals go in; records to
// make durable, messages to send and entries to apply come out (Ready). It has
// no goroutine, socket, file or clock, and several may live in one process.
//
// Invariants, and what breaks without them:
//
//   - Records are synced before the messages that depend on them leave. A vote
//     or an acknowledgement that a crash can undo gives two leaders in a term, or
//     loses an accepted entry.
//   - A replica's identity is name/incarnation, and an incarnation belongs to
//     one data folder. A replica that lost its folder and voted again under its
//     old identity would vote twice in a term.
//   - A replica that started takes part only after a majority of the voters has
//     told it what they saw of it. If they saw more than its folder holds, the
//     folder is an older copy, and the replica stops.
//   - A follower grants no vote within the election timeout after it heard a
//     leader, or after its own start. A leader's lease is shorter than that by
//     the bound on clock rates, so it ends before another leader can be elected.
//   - A leader that hands over gives up its lease before its target may campaign,
//     and has none again in that term. Voters that grant the target's votes within
//     the election timeout would otherwise leave two replicas that answer reads.
package consensus
