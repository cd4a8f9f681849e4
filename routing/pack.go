package routing

import (
	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"github.com/snipereach/snipereach/internal/deflate"
	"github.com/snipereach/snipereach/wire"
)

// ErrPacked is returned by Unpack for data that can't be decoded.
var ErrPacked = merry.Sentinel("packed configuration can't be decoded")

// maxUnpackedBytes bounds the size of a decompressed configuration.
const maxUnpackedBytes = 16 << 20

// Pack encodes and compresses a configuration, without its Source, for entries.
func Pack(c *wire.RoutingConfig) (*wire.PackedRouting, error) {
	data, err := proto.Marshal(&wire.RoutingConfig{
		Version: c.GetVersion(), Routes: c.GetRoutes(), Services: c.GetServices(), Limits: c.GetLimits(), Teams: c.GetTeams(),
	})
	if err != nil {
		return nil, err
	}
	packed, err := deflate.Compress(data)
	if err != nil {
		return nil, err
	}
	return &wire.PackedRouting{Version: c.GetVersion(), Deflated: packed}, nil
}

// Unpack decodes a configuration encoded by Pack.
func Unpack(p *wire.PackedRouting) (*wire.RoutingConfig, error) {
	data, err := deflate.Decompress(p.GetDeflated(), maxUnpackedBytes)
	if err != nil {
		return nil, merry.Prepend(ErrPacked, err.Error())
	}
	c := &wire.RoutingConfig{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, merry.Prepend(ErrPacked, err.Error())
	}
	return c, nil
}
