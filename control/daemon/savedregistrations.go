package daemon

import (
	"context"
	"encoding/binary"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/kernel"
	"github.com/snipereach/snipereach/wire"
)

const (
	// savedName is the file in the data folder.
	savedName = "registrations"
	// saveInterval is how often registrations are saved.
	saveInterval = 2 * time.Second
	// maxSavedAge is the age from which saved registrations say nothing about the upstreams that are
	// up now. It covers a restart, not a host that was down for long.
	maxSavedAge = 8 * time.Second
	// checksumBytes is the length of the checksum at the beginning of the file.
	checksumBytes = 8
)

// ErrSaved is returned for a file of registrations that is damaged or too old.
var ErrSaved = merry.Sentinel("saved registrations can't be used")

// registrationStore keeps the registrations of upstreams in a file of the data folder.
//
// The file is not synced: it matters after the loss of all processes, which leaves written files as they
// were. After a power loss it may be missing, old or torn, and then it isn't used.
type registrationStore struct {
	folder string
	// wallClock tells the age of a file across restarts.
	wallClock func() time.Time
}

func (r registrationStore) path() string { return filepath.Join(r.folder, savedName) }

// save replaces the file.
func (r registrationStore) save(list []*wire.Announcement) error {
	data, err := proto.Marshal(&wire.SavedRegistrations{SavedAtMs: r.wallClock().UnixMilli(), Announcements: list})
	if err != nil {
		return err
	}
	file := binary.BigEndian.AppendUint64(make([]byte, 0, checksumBytes+len(data)), xxhash.Sum64(data))
	next := r.path() + ".next"
	if err := os.WriteFile(next, append(file, data...), 0o600); err != nil {
		return err
	}
	return os.Rename(next, r.path())
}

// load returns the saved registrations. It returns ErrSaved if they can't be used, and none if there is
// no file.
func (r registrationStore) load() ([]*wire.Announcement, error) {
	file, err := os.ReadFile(r.path())
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, merry.Prepend(ErrSaved, err.Error())
	}
	if len(file) < checksumBytes || binary.BigEndian.Uint64(file) != xxhash.Sum64(file[checksumBytes:]) {
		return nil, merry.Prepend(ErrSaved, "wrong checksum")
	}
	saved := &wire.SavedRegistrations{}
	if err := proto.Unmarshal(file[checksumBytes:], saved); err != nil {
		return nil, merry.Prepend(ErrSaved, err.Error())
	}
	if age := r.wallClock().Sub(time.UnixMilli(saved.SavedAtMs)); age < 0 || age > maxSavedAge {
		return nil, merry.Prependf(ErrSaved, "saved %s ago", age)
	}
	return saved.Announcements, nil
}

// keep saves the registrations at intervals until ctx is done.
func (r registrationStore) keep(ctx context.Context, l log.Logger, registrations func() []*wire.Announcement) {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	failing := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		list := registrations()
		if len(list) == 0 {
			// A replica that knows none yet must not replace what may still be restored.
			continue
		}
		err := r.save(list)
		if err != nil && !failing {
			kernel.Warn(l, "Registrations can't be saved.", "err", err)
		}
		failing = err != nil
	}
}
