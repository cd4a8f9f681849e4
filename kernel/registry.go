// Package kernel is the small core of every process: the registry of
// plug-ins, the life cycle of a daemon, its settings, log, metrics and state
// dump. It knows nothing of what the daemons do.
package kernel

import (
	"bytes"
	"sort"
	"strings"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Errors of this layer.
var (
	ErrUnknownModule = merry.Sentinel("no plug-in with this ID")
	ErrSettings      = merry.Sentinel("settings are invalid")
	ErrStopLimit     = merry.Sentinel("stop limit reached")
)

// Module describes a plug-in. Its ID is dotted: the namespace, then the name
// (route.least-loaded).
type Module struct {
	ID  string
	Doc string
	// New returns a pointer to a fresh value with defaults set; settings are
	// decoded into it.
	New func() any
}

// Provisioner is a plug-in that prepares itself once its settings are known.
type Provisioner interface{ Provision() error }

// Validator is a plug-in that checks its settings.
type Validator interface{ Validate() error }

// CleanerUp is a plug-in that releases what it holds.
type CleanerUp interface{ Cleanup() error }

var (
	registryMu sync.RWMutex
	registry   = map[string]Module{}
)

// Register adds a plug-in; it is called from init functions. It panics on a
// second plug-in with the same ID, which is a fault of the build.
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

// Modules lists the plug-ins of a namespace, sorted by ID; all if it is empty.
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

// Load makes a plug-in, decodes its settings strictly, provisions it and
// validates it. A nil map keeps the defaults.
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
	if c, ok := v.(CleanerUp); ok {
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
