//go:build review

package harness

import (
	"encoding/json"
	"fmt"
)

// Names of the configuration of the cases.
const (
	Host       = "ficu95.example"
	Tenant     = "hule930"
	Key        = "n2ctnfzs989anu6wsjnb"
	ModelName  = "huvo11a"
	PlainName  = "wuno96b"
	StreamPath = "/lohu930/"
	UnsafePath = "/puxa403/"
)

// DepotShape is the group of the site kles-depot.
func DepotShape() GroupShape { return depotShape }

var depotShape = GroupShape{Ranks: 16, Sets: 4, Experts: 64, Placements: 5, Spare: 2, Slots: 12, CopyTime: copyTime, PassTime: passTime}

// Configuration returns a configuration with a model service and a plain service. unsafeTimeoutMs is the
// timeoutMs of the route to the plain service.
func Configuration(version, unsafeTimeoutMs int) string {
	g := depotShape
	return fmt.Sprintf(`{"version":%d,"routes":[
{"name":"r-stream","host":%q,"pathPrefix":%q,"kind":"streaming","timeoutMs":8000,"targetLatencyMs":400,"priority":1,"service":%q,"maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true,"resumeStreams":true,"targetGapMs":120},
{"name":"r-unsafe","host":%q,"pathPrefix":%q,"kind":"unsafe","timeoutMs":%d,"targetLatencyMs":100,"priority":2,"service":%q,"maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"resumeStreams":false,"targetGapMs":0}],
"services":[{"name":%q,"healthCheckPath":"/health","maxConnections":248,"protocol":"h1","tls":false,"engine":{"slots":%d,"kvCacheTokens":494000,"kvTokenBytes":35136,"linkMbps":180000.0,"stride":6,"models":[{"name":"m"}],"step_ms":4.84,"per_seq_ms":0.362,"context_per_k":0.011,"read_per_s":74800.0,"pairs_per_m":0.232,"chunk":512,"report_lag_ms":200.0,"loadsPerS":0.0,"loads_at_once":8,"usual":{"prompt":835,"answer":159},"sets":%d,"experts":%d,"placements":%d,"spare":%d,"expertMb":2500.0,"expertShare":0.85,"form_ms":600.0}},
{"name":%q,"healthCheckPath":"/health","maxConnections":100,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":%q,"apiKeys":[%q],"priority":1}]}`,
		version, Host, StreamPath, ModelName, Host, UnsafePath, unsafeTimeoutMs, PlainName,
		ModelName, g.Slots, g.Sets, g.Experts, g.Placements, g.Spare, PlainName, Tenant, Key)
}

// PlainConfiguration is Configuration without an engine: the service of the streaming route has plain servers.
func PlainConfiguration(version, unsafeTimeoutMs int) string {
	var c map[string]any
	if err := json.Unmarshal([]byte(Configuration(version, unsafeTimeoutMs)), &c); err != nil {
		panic(err)
	}
	for _, s := range c["services"].([]any) {
		delete(s.(map[string]any), "engine")
	}
	return jsonText(c)
}
