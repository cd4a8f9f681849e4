package kernel

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/pelletier/go-toml/v2"
)

// Duration is a time.Duration that settings files write as text ("250ms", "5s").
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Defaulter is implemented by settings with optional sections. SetDefaults is called
// after the file has been read and fills in the keys missing from the sections present.
type Defaulter interface{ SetDefaults() }

// ReadSettings decodes a TOML file into v. Unknown keys are errors. A decoding error
// names the file, the line and the key.
func ReadSettings(path string, v any) error {
	f, err := os.Open(path)
	if err != nil {
		return merry.Prepend(ErrSettings, err.Error())
	}
	defer f.Close()
	if err := decodeStrict(f, v); err != nil {
		return merry.Prepend(err, path)
	}
	if d, ok := v.(Defaulter); ok {
		d.SetDefaults()
	}
	return nil
}

// decodeStrict returns an error for unknown keys: a misspelt key would otherwise
// silently keep the default.
func decodeStrict(r io.Reader, v any) error {
	err := toml.NewDecoder(r).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) && len(strictErr.Errors) > 0 {
		firstUnknown := strictErr.Errors[0]
		line, _ := firstUnknown.Position()
		return merry.Prepend(ErrSettings, fmt.Sprintf("line %d: unknown key %q", line, strings.Join(firstUnknown.Key(), ".")))
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return merry.Prepend(ErrSettings, fmt.Sprintf("line %d: key %q: %s", line, strings.Join(decodeErr.Key(), "."), decodeErr.Error()))
	}
	return merry.Prepend(ErrSettings, err.Error())
}
