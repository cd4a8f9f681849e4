package entry

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

const (
	// confirmRowsTimeout bounds the questions for the table's revision, and the wait for the watch to bring
	// it. A request waits for it.
	confirmRowsTimeout = 600 * time.Millisecond
	// confirmReplicaTimeout bounds the question to one replica, which may forward it to the leader.
	confirmReplicaTimeout = 250 * time.Millisecond
	// rowsPollInterval is how often a request looks whether the watch has brought a revision.
	rowsPollInterval = 10 * time.Millisecond
	// noRow is a key that no row has. A read of it tells the revision without any rows.
	noRow = "\x00"
)

// errNoReplica is returned if the entry knows no control replica.
var errNoReplica = merry.Sentinel("no control replica is known")

// errRowsBehind is returned if the watch hasn't brought the table's revision in time.
var errRowsBehind = merry.Sentinel("rows in force are behind the table")

// finalByRows reports whether a refusal for a reason is final for the caller and true only while the
// rows that it derives from are in force.
func finalByRows(reason wire.Reason) bool {
	switch reason {
	case wire.Reason_REASON_UNAUTHENTICATED, wire.Reason_REASON_FORBIDDEN, wire.Reason_REASON_UNKNOWN_SERVICE, wire.Reason_REASON_BODY_TOO_LARGE:
		return true
	}
	return false
}

// confirmRefusal returns the refusal itself if the rows by which it was decided are known to be current, and
// one that may be retried otherwise.
func (e *Entry) confirmRefusal(ctx context.Context, ref *wire.Refusal) *wire.Refusal {
	if !finalByRows(ref.Reason) || e.freshness.Confirm(ctx) && e.Revision() == ref.Revision {
		return ref
	}
	kernel.Info(e.log, "Refusal can't be confirmed.", "reason", ref.Reason, "detail", ref.Detail, "revision", ref.Revision, "in_force", e.Revision(), "err", e.freshness.LastError())
	return e.refuse(wire.Reason_REASON_CONFIG_UNCONFIRMED, "by rows that may have been replaced: "+ref.Detail)
}

// askRevision asks the leader for the table's revision and waits until it is in force here. It implements
// freshness.AskFunc.
func (e *Entry) askRevision(ctx context.Context) (asOf time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, confirmRowsTimeout)
	defer cancel()
	askedAt := e.settings.Now()
	var reply *wire.ReadReply
	e.controlClient.ForEachReplica(ctx, confirmReplicaTimeout, func(ctx context.Context, c wire.DRPCControlClient) bool {
		reply, err = c.Read(ctx, &wire.ReadRequest{Kind: table.KindPool, Key: noRow, Linearizable: true})
		return err == nil
	})
	if err != nil {
		return time.Time{}, err
	}
	if reply == nil {
		return time.Time{}, errNoReplica
	}
	for e.Revision() < reply.Revision {
		select {
		case <-ctx.Done():
			return time.Time{}, errRowsBehind
		case <-time.After(rowsPollInterval):
		}
	}
	return askedAt, nil
}
