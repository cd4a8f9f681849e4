package table

import (
	"crypto/sha256"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/wire"
)

// historyRow is an earlier version of a row. It is kept encoded: decoded messages with maps take
// several times the memory, and would have to be built at each start.
type historyRow struct {
	id      rowID
	encoded []byte
}

func newHistoryRow(id rowID, r *wire.Row) historyRow {
	b, _ := proto.Marshal(r)
	return historyRow{id, b}
}

func (h historyRow) decode() *wire.Row {
	r := &wire.Row{}
	_ = proto.Unmarshal(h.encoded, r)
	return r
}

// Field numbers of wire.Row.
const (
	rowKindField = 1
	rowKeyField  = 2
)

// decodeRowID decodes only the kind and key of an encoded row. Equal IDs share their text through
// known.
func decodeRowID(b []byte, known map[rowID]rowID) rowID {
	var id rowID
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			break
		}
		b = b[n:]
		size := protowire.ConsumeFieldValue(num, typ, b)
		if size < 0 {
			break
		}
		if typ == protowire.BytesType && num <= rowKeyField {
			text, _ := protowire.ConsumeBytes(b)
			if num == rowKindField {
				id.kind = string(text)
			} else {
				id.key = string(text)
			}
		}
		b = b[size:]
	}
	if old, ok := known[id]; ok {
		return old
	}
	known[id] = id
	return id
}

// editDigest distinguishes edits with the same ID.
type editDigest [16]byte

// storedEdit is the encoded reply to an accepted edit, kept for when the edit is sent again.
type storedEdit struct {
	digest editDigest
	reply  []byte
}

func newStoredEdit(e *wire.TableEdit, reply *wire.EditReply) storedEdit {
	b, _ := proto.Marshal(reply)
	return storedEdit{digestOf(e), b}
}

func (s storedEdit) decode() *wire.EditReply {
	r := &wire.EditReply{}
	_ = proto.Unmarshal(s.reply, r)
	return r
}

func digestOf(e *wire.TableEdit) editDigest {
	c := proto.Clone(e).(*wire.TableEdit)
	c.AtMs = 0
	b, _ := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	d := sha256.Sum256(b)
	return editDigest(d[:len(editDigest{})])
}
