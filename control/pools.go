package control

import (
	"context"
	"strconv"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// poolSettings maps pool names to queue settings. It is immutable: a change makes a new map.
type poolSettings map[string]*wire.PoolSettings

// withRow returns a copy of the settings that includes a changed or deleted pool row.
func (p poolSettings) withRow(row *wire.Row) poolSettings {
	next := poolSettings{}
	for key, s := range p {
		next[key] = s
	}
	delete(next, row.Key)
	if !row.Deleted {
		next[row.Key] = &wire.PoolSettings{
			Pool: row.Key, Revision: row.Revision,
			Slots:         uint32(intCell(row, "slots")),
			MaxQueue:      uint32(intCell(row, "max_queue")),
			UrgentPercent: uint32(intCell(row, "urgent_percent")),
		}
	}
	return next
}

// intCell returns the number in a column of a validated row, or the column's default.
func intCell(row *wire.Row, name string) int {
	text := row.Columns[name]
	for _, col := range table.Schema[row.Kind] {
		if col.Name == name && text == "" {
			text = col.Default
		}
	}
	n, _ := strconv.Atoi(text)
	return n
}

// DirectoryService is a directory service that answers announcements with the queue settings
// of the announced pools, so that agents need not watch the table.
type DirectoryService struct {
	*directory.Node
	control *Control
}

// NewDirectoryService returns the directory service of a directory node and the control
// replica in the same process.
func NewDirectoryService(n *directory.Node, c *Control) DirectoryService {
	return DirectoryService{n, c}
}

// Announce implements the Directory service.
func (d DirectoryService) Announce(ctx context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	reply, err := d.Node.Announce(ctx, a)
	if err != nil {
		return nil, err
	}
	r := d.control.currentReplica()
	if r == nil {
		return reply, nil
	}
	pools := r.pools.Load()
	for _, name := range a.Pools {
		if pools == nil {
			break
		}
		if s := (*pools)[name]; s != nil {
			reply.Pools = append(reply.Pools, s)
		}
	}
	return reply, nil
}
