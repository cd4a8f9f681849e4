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

// explainTimeout bounds the look into the history: a refusal is explained
// without it too.
const explainTimeout = 2 * time.Second

func (e *Entry) serveRefusal(w http.ResponseWriter, r *http.Request) {
	ref, err := e.sealer.Open(mux.Vars(r)["token"])
	if err != nil {
		e.sealer.Write(w, e.refuse(wire.Reason_REASON_BAD_REQUEST, err.Error()))
		return
	}
	x := operators.Explanation{
		Problem: e.sealer.ProblemOf(ref), Team: ref.Team, Service: ref.Service,
		Entry: ref.Entry, AtUnixMS: ref.AtUnixMs,
	}
	for _, a := range ref.Attempts {
		x.Attempts = append(x.Attempts, operators.Attempt{
			Upstream: a.Upstream, Outcome: refusal.OutcomeWord(a.Outcome),
			Reason: refusal.ReasonWord(a.Reason), Detail: a.Detail,
		})
	}
	if ref.RowKind != "" {
		e.joinRow(r.Context(), ref, &x)
	}
	kernel.WriteJSON(w, http.StatusOK, x)
}

// joinRow adds the version of the row that decided, and the one in force now. The
// version is looked up by its number: a replica that lags behind the refusing
// entry would name an older one as that in force at the revision.
func (e *Entry) joinRow(ctx context.Context, ref *wire.Refusal, x *operators.Explanation) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var reply *wire.HistoryReply
	err := e.client.Call(ctx, func(ctx context.Context, c wire.DRPCControlClient) (err error) {
		reply, err = c.History(ctx, &wire.HistoryRequest{Kind: ref.RowKind, Key: ref.RowKey})
		return err
	})
	if err != nil {
		x.RowNote = "The row's history can't be read now."
		return
	}
	for _, row := range reply.Rows {
		if row.Version == ref.RowVersion {
			x.RowThen = shownRow(row)
		}
	}
	if x.RowThen == nil {
		x.RowNote = "The version that decided is not in the history that was read."
	}
	if len(reply.Rows) > 0 {
		x.RowNow = shownRow(reply.Rows[0])
	}
}

// shownRow is a row without digests of keys: whoever has a token may read it.
func shownRow(r *wire.Row) *operators.Row {
	row := operators.RowOf(r)
	row.Columns = maps.Clone(row.Columns)
	delete(row.Columns, table.ColumnKeySHA256)
	return &row
}
