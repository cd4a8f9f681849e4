package control

import (
	"context"
	"strconv"

	"github.com/snipereach/snipereach/directory"
	"github.com/snipereach/snipereach/table"
	"github.com/snipereach/snipereach/wire"
)

// poolSettings is the queue settings by pool; it is replaced and never changed.
type poolSettings map[string]*wire.PoolSettings

// with returns the settings after a pool row has changed.
func (p poolSettings) with(row *wire.Row) poolSettings {
	next := poolSettings{}
	for key, s := range p {
		next[key] = s
	}
	delete(next, row.Key)
	if !row.Deleted {
		next[row.Key] = &wire.PoolSettings{
			Pool: row.Key, Revision: row.Revision,
			Slots:         uint32(cell(row, "slots")),
			MaxQueue:      uint32(cell(row, "max_queue")),
			UrgentPercent: uint32(cell(row, "urgent_percent")),
		}
	}
	return next
}

// cell returns the number in a checked row's column, or the column's default.
func cell(row *wire.Row, name string) int {
	text := row.Columns[name]
	for _, col := range table.Schema[row.Kind] {
		if col.Name == name && text == "" {
			text = col.Default
		}
	}
	n, _ := strconv.Atoi(text)
	return n
}

// DirectoryService answers announcements with the queue settings of the pools
// that they name, so that an agent needs no watch of the table.
type DirectoryService struct {
	*directory.Node
	control *Control
}

// NewDirectoryService joins a directory node with the replica beside it.
func NewDirectoryService(n *directory.Node, c *Control) DirectoryService {
	return DirectoryService{n, c}
}

// Announce implements the Directory service.
func (d DirectoryService) Announce(ctx context.Context, a *wire.Announcement) (*wire.AnnounceReply, error) {
	reply, err := d.Node.Announce(ctx, a)
	if err != nil {
		return nil, err
	}
	r := d.control.current()
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
