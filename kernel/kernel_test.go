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

// fakeDaemon records the calls of its methods. Drain returns once drained is closed.
type fakeDaemon struct {
	calls     []string
	startErr  error
	aborted   int
	reloadErr error
	drained   chan struct{}
}

func (d *fakeDaemon) Start(context.Context) error {
	d.calls = append(d.calls, "start")
	return d.startErr
}

func (d *fakeDaemon) Drain(ctx context.Context) error {
	d.calls = append(d.calls, "drain")
	select {
	case <-d.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (d *fakeDaemon) Stop() int {
	d.calls = append(d.calls, "stop")
	return d.aborted
}

func (d *fakeDaemon) Reload() error {
	d.calls = append(d.calls, "reload")
	return d.reloadErr
}

func TestFailedReloadDoesNotStopAndSIGTERMDrains(t *testing.T) {
	d := &fakeDaemon{drained: make(chan struct{}), reloadErr: errors.New("broken file")}
	close(d.drained)
	signals := make(chan os.Signal, 3)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	assert.NilError(t, kernel.Serve(d, signals, time.Hour, log.NewNopLogger()))
	assert.DeepEqual(t, d.calls, []string{"start", "reload", "drain", "stop"})
}

// A request that never finishes must not keep the process alive after a second signal.
func TestSecondSignalAbortsRequestsAndLogsTheirNumber(t *testing.T) {
	d := &fakeDaemon{drained: make(chan struct{}), aborted: 3}
	signals := make(chan os.Signal, 2)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	var buf bytes.Buffer
	assert.NilError(t, kernel.Serve(d, signals, time.Hour, kernel.NewLog(&buf, "info")))
	assert.Assert(t, bytes.Contains(buf.Bytes(), []byte("requests_cut=3")), buf.String())
}

func TestFailedStartStopsDaemon(t *testing.T) {
	d := &fakeDaemon{startErr: errors.New("port in use")}
	assert.ErrorContains(t, kernel.Serve(d, nil, time.Hour, log.NewNopLogger()), "port in use")
	assert.DeepEqual(t, d.calls, []string{"start", "stop"})
}

type testPlugin struct {
	Size    int `toml:"size"`
	cleaned *bool
}

func (p *testPlugin) Validate() error {
	if p.Size < 1 {
		return errors.New(`key "size": must be at least 1`)
	}
	return nil
}

func (p *testPlugin) Cleanup() error {
	*p.cleaned = true
	return nil
}

// unprovisionable is a plug-in that opens a resource before its Provision fails.
type unprovisionable struct{ testPlugin }

func (*unprovisionable) Provision() error { return errors.New("no such folder") }

// A plug-in that can't be provisioned may hold resources already, which must be released.
func TestLoadCleansUpAfterFailedProvision(t *testing.T) {
	cleaned := false
	kernel.Register(kernel.Module{ID: "test.unprovisionable", New: func() any {
		return &unprovisionable{testPlugin{Size: 1, cleaned: &cleaned}}
	}})
	_, err := kernel.Load("test.unprovisionable", nil)
	assert.ErrorContains(t, err, "no such folder")
	assert.Assert(t, cleaned)
}

func TestLoadValidatesAndCleansUp(t *testing.T) {
	cleaned := false
	kernel.Register(kernel.Module{ID: "test.sized", New: func() any { return &testPlugin{Size: 7, cleaned: &cleaned} }})
	v, err := kernel.Load("test.sized", nil)
	assert.NilError(t, err)
	assert.Equal(t, v.(*testPlugin).Size, 7)
	_, err = kernel.Load("test.sized", map[string]any{"sise": 1})
	assert.ErrorContains(t, err, `unknown key "sise"`)
	_, err = kernel.Load("test.sized", map[string]any{"size": 0})
	assert.ErrorContains(t, err, `key "size"`)
	assert.Assert(t, cleaned, "a plug-in that fails validation is cleaned up")
	_, err = kernel.Load("test.other", nil)
	assert.ErrorIs(t, err, kernel.ErrUnknownModule)
	assert.ErrorContains(t, err, "test.sized")
}

func TestMainExitCodesAndOutput(t *testing.T) {
	valid := filepath.Join(t.TempDir(), "a.toml")
	assert.NilError(t, os.WriteFile(valid, []byte("size = 3\n"), 0o600))
	p := kernel.Program{
		Name:        "snipereach-test",
		NewSettings: func() any { return &testPlugin{} },
		Build: func(v any, _ log.Logger) (kernel.Daemon, time.Duration, error) {
			return &fakeDaemon{}, time.Second, v.(*testPlugin).Validate()
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
