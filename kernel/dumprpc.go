package kernel

import (
	"context"
	"encoding/json"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"github.com/snipereach/snipereach/wire"
)

// ErrDump is returned if the state can't be encoded as JSON.
var ErrDump = merry.Sentinel("state can't be dumped")

// Register registers the Process service, which serves the dumps to other processes of
// the cluster. The server that owns mux authenticates the callers.
func (d *Dumps) Register(mux drpc.Mux) error {
	return wire.DRPCRegisterProcess(mux, dumpService{d})
}

type dumpService struct{ dumps *Dumps }

// Dump implements the Process service.
func (s dumpService) Dump(context.Context, *wire.DumpRequest) (*wire.DumpReply, error) {
	state, err := json.Marshal(s.dumps.State())
	if err != nil {
		return nil, merry.Prepend(ErrDump, err.Error())
	}
	return &wire.DumpReply{State: state}, nil
}
