package table

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/wire"
)

// A row's history and the replies to edits sent again are the same after a restart from a snapshot.
func TestSnapshotKeepsHistoryAndReplies(t *testing.T) {
	m := NewMachine()
	var edits []*wire.TableEdit
	for i := range uint64(30) {
		e := edit(fmt.Sprint("e", i), row(KindPool, fmt.Sprint("p", i%3), i/3, fmt.Sprintf("slots=%d", i+1)))
		assert.Equal(t, m.Apply(i+1, e).Status, accepted)
		edits = append(edits, e)
	}
	data, err := proto.Marshal(m.Snapshot())
	assert.NilError(t, err)
	s := &wire.TableSnapshot{}
	assert.NilError(t, proto.Unmarshal(data, s))
	next := NewMachine()
	next.Restore(s)
	for _, key := range []string{"p0", "p1", "p2"} {
		before, after := m.History(KindPool, key, 0), next.History(KindPool, key, 0)
		assert.Equal(t, len(after), 10)
		for i := range before {
			assert.Assert(t, proto.Equal(before[i], after[i]))
		}
	}
	for i, e := range edits {
		reply := next.StoredReply(e)
		assert.Assert(t, proto.Equal(reply, m.StoredReply(e)))
		assert.Equal(t, reply.Revision, uint64(i+1))
		assert.Equal(t, reply.Rows[0].Columns["slots"], fmt.Sprint(i+1))
	}
	other := edit("e3", row(KindPool, "p0", 0))
	assert.Equal(t, next.StoredReply(other).Status, wire.EditStatus_EDIT_STATUS_INVALID)
}
