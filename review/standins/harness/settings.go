//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strings"
)

// Values are the values that the platform fills into a settings template, by the names in the template.
type Values map[string]string

var placeholder = regexp.MustCompile(`\{\{([^}]+)\}\}`)

// renderTemplate fills a template of the deploy folder. Placeholders without a value are an error.
func renderTemplate(path string, values Values) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	var missing []string
	out := placeholder.ReplaceAllStringFunc(string(text), func(s string) string {
		name := strings.TrimSpace(s[2 : len(s)-2])
		v, ok := values[name]
		if !ok {
			missing = append(missing, name)
		}
		return v
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("%s: no value for %v", path, missing)
	}
	return out, nil
}

// Bounds of the deployments in sites/, as they are named in the settings of a machine.
const (
	GracePeriodS         = 8
	configurationApplyMs = 2000
	retryBudgetRatio     = "0.2"
	retryBudgetSlack     = "90"
	budgetWindowS        = "10"
	// FrontendMemoryMb is the memory of a frontend machine.
	FrontendMemoryMb = 284
)

func commonValues(name, zone, ip string, internal [2]int) Values {
	return Values{
		"nodeName": name, "zone": zone, "ipAddress": ip,
		"internalPortRange.0": fmt.Sprint(internal[0]), "internalPortRange.1": fmt.Sprint(internal[1]),
		"bounds.gracePeriodS": fmt.Sprint(GracePeriodS), "bounds.configurationApplyMs": fmt.Sprint(configurationApplyMs),
		"bounds.retryBudgetRatio": retryBudgetRatio, "bounds.retryBudgetSlack": retryBudgetSlack, "bounds.budgetWindowS": budgetWindowS,
		"faultTolerance.machines": "1", "faultTolerance.zones": "0", "bootstrap": "true",
	}
}

func jsonText(v any) string {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(data)
}
