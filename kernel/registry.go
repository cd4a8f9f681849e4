// Package kernel holds what all daemons share: the plug-in registry, the daemon
// life cycle, settings, logging, metrics and state dumps. It doesn't depend on any
// daemon.
package kernel

import (
	"bytes"
	"sort"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Errors returned by this package.
var (
	ErrUnknownModule = merry.Sentinel("no plug-in with this ID")
	ErrSettings      = merry.Sentinel("settings are invalid")
	ErrStopLimit     = merry.Sentinel("stop limit reached")
)

// Module describes a plug-in. Its ID is NAMESPACE.NAME, for example
// route.least-loaded.
type Module struct {
	ID  string
	Doc string
	// New returns a pointer to a new value with its defaults set. Load decodes the
	// settings into it.
	New func() any
}

// Provisioner is implemented by plug-ins that need setup after their settings have
// been decoded.
type Provisioner interface{ Provision() error }

// Validator is implemented by plug-ins that check their settings.
type Validator interface{ Validate() error }

// Cleaner is implemented by plug-ins that hold resources to be released.
type Cleaner interface{ Cleanup() error }

var (
	registryMu sync.RWMutex
	registry   = map[string]Module{}
)

// Register adds a plug-in. It is called from init functions and panics if the module
// is malformed or its ID is already registered.
func Register(m Module) {
	registryMu.Lock()
	defer registryMu.Unlock()
	if m.New == nil || !strings.Contains(m.ID, ".") {
		panic("kernel: malformed module " + m.ID)
	}
	if _, ok := registry[m.ID]; ok {
		panic("kernel: module registered twice: " + m.ID)
	}
	registry[m.ID] = m
}

// Modules returns the plug-ins of a namespace, or all if it is empty, sorted by ID.
func Modules(namespace string) []Module {
	registryMu.RLock()
	defer registryMu.RUnlock()
	var mods []Module
	for id, m := range registry {
		if namespace == "" || strings.HasPrefix(id, namespace+".") {
			mods = append(mods, m)
		}
	}
	sort.Slice(mods, func(i, j int) bool { return mods[i].ID < mods[j].ID })
	return mods
}

// Load creates a plug-in, decodes its settings, provisions and validates it. Unknown
// keys are errors; an empty map keeps the defaults. A plug-in that can't be provisioned
// or fails validation is cleaned up.
func Load(id string, settings map[string]any) (any, error) {
	registryMu.RLock()
	m, ok := registry[id]
	registryMu.RUnlock()
	if !ok {
		return nil, merry.Prependf(ErrUnknownModule, "%q (known: %s)", id, knownIDs(id))
	}
	v := m.New()
	if err := decodeInto(settings, v); err != nil {
		return nil, merry.Prependf(err, "plug-in %s", id)
	}
	if p, ok := v.(Provisioner); ok {
		if err := p.Provision(); err != nil {
			cleanup(v)
			return nil, merry.Prependf(err, "plug-in %s", id)
		}
	}
	if c, ok := v.(Validator); ok {
		if err := c.Validate(); err != nil {
			cleanup(v)
			return nil, merry.Prependf(err, "plug-in %s", id)
		}
	}
	return v, nil
}

func cleanup(v any) {
	if c, ok := v.(Cleaner); ok {
		_ = c.Cleanup()
	}
}

func knownIDs(id string) string {
	namespace, _, _ := strings.Cut(id, ".")
	var ids []string
	for _, m := range Modules(namespace) {
		ids = append(ids, m.ID)
	}
	return strings.Join(ids, ", ")
}

func decodeInto(settings map[string]any, v any) error {
	if len(settings) == 0 {
		return nil
	}
	text, err := toml.Marshal(settings)
	if err != nil {
		return merry.Prepend(ErrSettings, err.Error())
	}
	return decodeStrict(bytes.NewReader(text), v)
}
