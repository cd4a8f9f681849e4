package routing

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/internal/deflate"
	"github.com/snipereach/snipereach/wire"
)

// ErrPacked is returned for a packed configuration that can't be read.
var ErrPacked = merry.Sentinel("packed configuration can't be read")

// mostUnpacked bounds a configuration that entries fetch: tens of thousands of routes.
const mostUnpacked = 16 << 20

// Pack makes what entries fetch: a configuration without its source.
func Pack(c *wire.RoutingConfig) (*wire.PackedRouting, error) {
	data, err := proto.Marshal(&wire.RoutingConfig{
		Version: c.GetVersion(), Routes: c.GetRoutes(), Services: c.GetServices(), Limits: c.GetLimits(), Teams: c.GetTeams(),
	})
	if err != nil {
		return nil, err
	}
	packed, err := deflate.Pack(data)
	if err != nil {
		return nil, err
	}
	return &wire.PackedRouting{Version: c.GetVersion(), Deflated: packed}, nil
}

// Unpack reads what Pack made.
func Unpack(p *wire.PackedRouting) (*wire.RoutingConfig, error) {
	data, err := deflate.Unpack(p.GetDeflated(), mostUnpacked)
	if err != nil {
		return nil, merry.Prepend(ErrPacked, err.Error())
	}
	c := &wire.RoutingConfig{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, merry.Prepend(ErrPacked, err.Error())
	}
	return c, nil
}
