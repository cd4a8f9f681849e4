package gateway

import (
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/platform"
	"github.com/snipereach/snipereach/wire"
)

// Operators can turn the order by priority off. Guards against a gateway that ranks requests all the
// same.
func TestPrioritiesCanBeTurnedOff(t *testing.T) {
	config := &wire.RoutingConfig{
		Version:  1,
		Services: []*wire.RoutedService{{Name: "pool", Engine: &wire.EngineProfile{}}},
		Routes: []*wire.Route{
			{Name: "a", Host: "a", PathPrefix: "/", Split: []*wire.WeightedService{{Service: "pool", Weight: 1}}},
			{Name: "b", Host: "b", PathPrefix: "/", Priority: 2, Split: []*wire.WeightedService{{Service: "pool", Weight: 1}}},
		},
	}
	for _, on := range []bool{true, false} {
		s := DefaultSettings()
		s.ID, s.FailureDomain, s.ClusterSecret, s.Dialect = "a", "x", "a secret of this test", platform.Name
		s.Replicas = []string{"127.0.0.1:1"}
		s.Admission.Priorities = on
		g, err := New(s, log.NewNopLogger())
		assert.NilError(t, err)
		g.applyRouting(config, "test")
		assert.Equal(t, g.services.ranks["pool"], map[bool]int{true: 2}[on])
	}
}
