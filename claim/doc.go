// Package claim makes a request with an idempotency key run at most once,
// whichever entries it is sent to and whichever entries fail.
//
// Each key has RegistersPerKey registers, one on each of several entry hosts, in
// different failure domains if there are enough of them. A request may run only
// while it holds a majority of the key's registers. Register (the records of one
// host), Round and Acquisition (one request's attempts to acquire its key) do no
// I/O: they take the time and messages, and return messages and decisions.
//
// At most one request runs because any two majorities share a register, and a
// register passes from one request to another only after the first was settled as
// not run, or after the register's record of it has expired. The time to live of a
// record is more than twice the longest time that a request may run.
//
// A register without a data folder loses its records in a restart. It grants
// nothing until it has copied the records of the key's other registers, or until
// the longest time to live has passed. A request may still combine a grant from
// before the restart with a grant that a peer gave after it was copied from; that
// majority would be unknown to the restarted register. A peer therefore names in
// its replies the incarnations that have copied from it, and a grant of an earlier
// incarnation isn't counted.
//
// A register with a data folder syncs each record before the grant leaves (Node,
// store). After a restart it keeps its incarnation, its records, the set of peers
// that it copied from and the incarnations that copied from it. Before it grants,
// its peers report the latest grant that they have seen from it; a folder that
// lacks such a grant is an older copy. With an older copy, an empty folder or a
// damaged one, the register starts a new incarnation without records.
//
// A request may be reported as "not run" only by a request that holds a majority
// of the key's registers and won't run, because no other request can be running
// then. Otherwise the outcome is "unknown": a register that is held or doesn't
// reply may hold the claim of an earlier sending of the same request that ran.
package claim
