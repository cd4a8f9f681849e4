package kernel_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"github.com/snipereach/snipereach/kernel"
)

// daemon records its life; drained is closed to let Drain return.
type daemon struct {
	calls    []string
	startErr error
	cut      int
	reload   error
	drained  chan struct{}
}

func (d *daemon) Start(context.Context) error {
	d.calls = append(d.calls, "start")
	return d.startErr
}

func (d *daemon) Drain(ctx context.Context) error {
	d.calls = append(d.calls, "drain")
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *daemon) Stop() int {
	d.calls = append(d.calls, "stop")
	return d.cut
}

func (d *daemon) Reload() error {
	d.calls = append(d.calls, "reload")
	return d.reload
}

func TestFirstSignalDrainsAndReloadDoesNotStop(t *testing.T) {
	d := &daemon{drained: make(chan struct{}), reload: errors.New("broken file")}
	close(d.drained)
	signals := make(chan os.Signal, 3)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	assert.NilError(t, kernel.Serve(d, signals, time.Hour, log.NewNopLogger()))
	assert.DeepEqual(t, d.calls, []string{"start", "reload", "drain", "stop"})
}

// A request doesn't end. A second signal ends the wait, and the log counts what
// was cut.
func TestSecondSignalCutsAndTheLogCounts(t *testing.T) {
	d := &daemon{drained: make(chan struct{}), cut: 3}
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	var buf bytes.Buffer
	assert.NilError(t, kernel.Serve(d, signals, time.Hour, kernel.NewLog(&buf, "info")))
	assert.Assert(t, bytes.Contains(buf.Bytes(), []byte("requests_cut=3")), buf.String())
}

func TestFailedStartIsStopped(t *testing.T) {
	d := &daemon{startErr: errors.New("port in use")}
	assert.ErrorContains(t, kernel.Serve(d, nil, time.Hour, log.NewNopLogger()), "port in use")
	assert.DeepEqual(t, d.calls, []string{"start", "stop"})
}

type plugin struct {
	Size    int `toml:"size"`
	cleaned *bool
}

func (p *plugin) Validate() error {
	if p.Size < 1 {
		return errors.New(`key "size": must be at least 1`)
	}
	return nil
}

func (p *plugin) Cleanup() error {
	*p.cleaned = true
	return nil
}

func TestPlugInLifeCycle(t *testing.T) {
	cleaned := false
	kernel.Register(kernel.Module{ID: "test.sized", New: func() any { return &plugin{Size: 7, cleaned: &cleaned} }})
	v, err := kernel.Load("test.sized", nil)
	assert.NilError(t, err)
	assert.Equal(t, v.(*plugin).Size, 7)
	_, err = kernel.Load("test.sized", map[string]any{"sise": 1})
	assert.ErrorContains(t, err, `unknown key "sise"`)
	_, err = kernel.Load("test.sized", map[string]any{"size": 0})
	assert.ErrorContains(t, err, `key "size"`)
	assert.Assert(t, cleaned, "a plug-in that fails validation is cleaned up")
	_, err = kernel.Load("test.other", nil)
	assert.ErrorIs(t, err, kernel.ErrUnknownModule)
	assert.ErrorContains(t, err, "test.sized")
}

func TestCommandLine(t *testing.T) {
	valid := filepath.Join(t.TempDir(), "a.toml")
	assert.NilError(t, os.WriteFile(valid, []byte("size = 3\n"), 0o600))
	p := kernel.Program{
		Name:        "snipereach-test",
		NewSettings: func() any { return &plugin{} },
		Build: func(v any, _ log.Logger) (kernel.Daemon, time.Duration, error) {
			return &daemon{}, time.Second, v.(*plugin).Validate()
		},
	}
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"--version"}, kernel.ExitOK, "snipereach-test"},
		{[]string{"--help"}, kernel.ExitOK, "--check-config"},
		{[]string{}, kernel.ExitSettings, "--config"},
		{[]string{"--nonsense"}, kernel.ExitSettings, "nonsense"},
		{[]string{"--config", "/nowhere.toml"}, kernel.ExitSettings, "/nowhere.toml"},
		{[]string{"--check-config", "--config", valid}, kernel.ExitOK, "valid"},
		{[]string{"extra"}, kernel.ExitSettings, "extra"},
	} {
		var out bytes.Buffer
		assert.Equal(t, kernel.Main(p, c.args, &out, &out), c.code, "%v: %s", c.args, out.String())
		assert.Assert(t, bytes.Contains(out.Bytes(), []byte(c.out)), "%v: %s", c.args, out.String())
	}
}
