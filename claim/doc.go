// Package claim makes a request with an idempotency key run at most once,
// whichever entries it is sent to and whatever dies.
//
// A key has three registers, on entry hosts in different failure domains where
// there are that many. A request may run only while a majority of them is held
// by it. Register (one host's records) and Claimant (one request's way through
// them) are pure: time and messages in, messages and decisions out.
//
// Why at most one request runs: two majorities share a register, and a register
// passes from one request to another only when the first was settled as not
// run, or when the register's memory of it has ended (its time to live, which is
// over twice the longest time that a request may run).
//
// A register that restarted has forgotten. It grants nothing until it has copied
// the records of both its peers, or a time to live has passed. A request that
// counted its grant from before the restart, with a grant that a peer gave after
// the copy, would have a majority that the copy doesn't know of; so a peer names
// the lives it has copied to, and a grant of an earlier life counts for nothing.
//
// A register with a data folder syncs each record before the grant leaves (Node,
// store), so that a restart is for it no more than a pause: its life goes on, with
// its records, the peers that it copied from and the lives that copied from it.
// Before it grants, its peers say how far they have seen it grant: a folder that
// holds less is an older copy. That one, an empty one and a damaged one begin a
// new life, which has forgotten.
//
// "Not run" may be said of a key only by a request that holds a majority and
// will not run, because nobody else can be running then. Everything less is
// "unknown": registers that are silent or held may belong to an earlier sending
// of the same request that ran.
package claim
