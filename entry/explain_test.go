package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/operators"
	"github.com/snipereach/snipereach/wire"
)

// Without a control replica, a refusal is explained from its token, with a note that the
// row isn't available.
func TestServeRefusalWithoutControlReplicas(t *testing.T) {
	s := validSettings()
	s.Operators = "127.0.0.1:0"
	e, err := New(s, log.NewNopLogger())
	assert.NilError(t, err)
	t.Cleanup(func() { e.Stop() })
	assert.NilError(t, e.Start(context.Background()))
	token := e.signer.Sign(&wire.Refusal{
		Reason: wire.Reason_REASON_RATE_LIMIT, Outcome: wire.Outcome_OUTCOME_NOT_RUN,
		RowKind: "limit", RowKey: "growers/clock-core", RowVersion: 2, Revision: 9, Entry: "entry-7",
	})
	resp, err := http.Get("http://" + e.OperatorAddress() + "/v1/refusals/" + token)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, 200)
	var x operators.Explanation
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&x))
	assert.Equal(t, x.Entry, "entry-7")
	assert.Equal(t, x.Row, "limit growers/clock-core")
	assert.Equal(t, x.Version, uint64(2))
	assert.Equal(t, x.RowNote, "The row's history can't be read now.")
	assert.Assert(t, x.RowThen == nil && x.RowNow == nil)
}
