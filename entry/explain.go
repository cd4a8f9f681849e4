package entry

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/refusal"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// historyTimeout bounds the read of a row's history. If it fails, the refusal is
// explained without the row.
const historyTimeout = 2 * time.Second

func (e *Entry) serveRefusal(w http.ResponseWriter, r *http.Request) {
	ref, err := e.signer.Verify(mux.Vars(r)["token"])
	if err != nil {
		e.signer.Write(w, e.refuse(wire.Reason_REASON_BAD_REQUEST, err.Error()))
		return
	}
	x := operators.Explanation{
		Problem: e.signer.ProblemOf(ref), Team: ref.Team, Service: ref.Service,
		Entry: ref.Entry, AtUnixMS: ref.AtUnixMs,
	}
	for _, a := range ref.Attempts {
		x.Attempts = append(x.Attempts, operators.Attempt{
			Upstream: a.Upstream, Outcome: refusal.OutcomeName(a.Outcome),
			Reason: refusal.ReasonName(a.Reason), Detail: a.Detail,
		})
	}
	if ref.RowKind != "" {
		e.addRowVersions(r.Context(), ref, &x)
	}
	kernel.WriteJSON(w, http.StatusOK, x)
}

// addRowVersions adds to x the row version that caused the refusal and the latest one. The
// former is looked up by its version number, not by the table revision: a replica that
// lags behind the refusing entry would return an older version for the revision.
func (e *Entry) addRowVersions(ctx context.Context, ref *wire.Refusal, x *operators.Explanation) {
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	var reply *wire.HistoryReply
	err := e.controlClient.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.History(ctx, &wire.HistoryRequest{Kind: ref.RowKind, Key: ref.RowKey})
		return err
	})
	if err != nil {
		x.RowNote = "The row's history can't be read now."
		return
	}
	for _, row := range reply.Rows {
		if row.Version == ref.RowVersion {
			x.RowThen = publicRow(row)
		}
	}
	if x.RowThen == nil {
		x.RowNote = "The row version that caused the refusal is not in the history."
	}
	if len(reply.Rows) > 0 {
		x.RowNow = publicRow(reply.Rows[0])
	}
}

// publicRow returns the row without the digests of keys, because anyone who has the
// refusal's token may read it.
func publicRow(r *wire.Row) *operators.Row {
	row := operators.RowOf(r)
	row.Columns = maps.Clone(row.Columns)
	delete(row.Columns, table.ColumnKeySHA256)
	return &row
}
