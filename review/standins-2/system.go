//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// machine is one machine of the deployment, with an address and ports of its own.
type machine struct {
	name, class, zone, ip string
	dir                   string
	cmd                   *exec.Cmd
	exited                chan struct{}
	log                   *os.File
	// started is when its process was last started or continued.
	started   time.Time
	bootstrap bool
}

// system is a small deployment: control machines, gateways, and the ports that are the same on all
// machines.
type system struct {
	rec         *recorder
	root, tmp   string
	prefix      string
	ports       ports
	controls    []*machine
	gateways    []*machine
	zones       []string
	heartbeatMS int
	// seedNodes, if set, is what the settings of machines that start from now on name.
	seedNodes []string
}

// ports are free ports that hold on each machine.
type ports struct{ internal, internal2, control, directory, frontend, ready int }

// newSystem picks addresses 127.X.Y.* that no other run uses, and free ports.
func newSystem(rec *recorder, root string) (*system, error) {
	tmp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &system{rec: rec, root: root, tmp: tmp, prefix: fmt.Sprintf("127.%d.%d", 20+pid/250%200, pid%250), zones: []string{"hall-a", "hall-b", "hall-c"}, heartbeatMS: 1200}
	var free []int
	for range 6 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		free = append(free, l.Addr().(*net.TCPAddr).Port)
	}
	s.ports = ports{free[0], free[1], free[2], free[3], free[4], free[5]}
	return s, nil
}

func (s *system) address(host int) string { return fmt.Sprintf("%s.%d", s.prefix, host) }

func (s *system) addControls(n int) {
	for i := range n {
		s.controls = append(s.controls, s.newMachine("core", i, 10+i, s.zones[i%3], true))
	}
}

func (s *system) addGateways(n int) {
	for i := range n {
		s.gateways = append(s.gateways, s.newMachine("frontend", i, 40+i, s.zones[i%3], true))
	}
}

func (s *system) newMachine(class string, i, host int, zone string, bootstrap bool) *machine {
	m := &machine{name: fmt.Sprintf("%s-%s-%d", class, zone, i+1), class: class, zone: zone, ip: s.address(host), bootstrap: bootstrap}
	m.dir = filepath.Join(s.tmp, m.name)
	_ = os.MkdirAll(filepath.Join(m.dir, "data"), 0o700)
	return m
}

func (s *system) seeds() []string {
	if s.seedNodes != nil {
		return s.seedNodes
	}
	var list []string
	for _, m := range s.controls[:min(3, len(s.controls))] {
		list = append(list, fmt.Sprintf("%s:%d", m.ip, s.ports.control))
	}
	return list
}

// fields are the fields of a machine's settings as the platform tells them.
func (s *system) fields(m *machine) map[string]any {
	listen := map[string]any{"frontend": fmt.Sprintf("%s:%d", m.ip, s.ports.frontend), "ready": fmt.Sprintf("%s:%d", m.ip, s.ports.ready)}
	if m.class == "core" {
		listen = map[string]any{"controlPlane": fmt.Sprintf("%s:%d", m.ip, s.ports.control), "directory": fmt.Sprintf("%s:%d", m.ip, s.ports.directory)}
	}
	return map[string]any{
		"nodeName": m.name, "zone": m.zone, "ipAddress": m.ip, "internalPortRange": []any{s.ports.internal, s.ports.internal2},
		"seedNodes": s.seeds(), "bootstrap": m.bootstrap, "dataDirectory": filepath.Join(m.dir, "data"), "listenAddresses": listen,
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"gracePeriodS": 8, "configurationApplyMs": 2000, "retryBudgetRatio": 0.2, "retryBudgetSlack": 90, "budgetWindowS": 10,
		},
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// fill fills in a template of the deploy file.
func fill(text string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(text, func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		var v any = fields
		for _, part := range strings.Split(m[1], ".") {
			switch x := v.(type) {
			case map[string]any:
				v = x[part]
			case []any:
				var i int
				fmt.Sscan(part, &i)
				v = x[i]
			}
		}
		if m[2] != "" {
			data, _ := json.Marshal(v)
			return string(data)
		}
		return fmt.Sprint(v)
	})
}

var roles = map[string]string{"core": "control", "frontend": "gateway"}

// start starts a machine's process with the command of the deploy file.
func (s *system) start(m *machine) error {
	role := roles[m.class]
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", role+".toml"))
	if err != nil {
		return err
	}
	settings := filepath.Join(m.dir, "local.toml")
	if err := os.WriteFile(settings, []byte(fill(string(template), s.fields(m))), 0o600); err != nil {
		return err
	}
	if m.log, err = os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(s.root, "target", "snipereach-"+role), "--config", settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = s.root, m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.exited, m.started = cmd, make(chan struct{}), time.Now()
	go func(cmd *exec.Cmd, exited chan struct{}, l *os.File) {
		err := cmd.Wait()
		s.rec.log("process of %s ended: %v", m.name, err)
		_ = l.Close()
		close(exited)
	}(cmd, m.exited, m.log)
	s.rec.log("process of %s started at %s", m.name, m.ip)
	return nil
}

func (s *system) startAll() error {
	for _, list := range [][]*machine{s.controls, s.gateways} {
		for _, m := range list {
			if err := s.start(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// kill kills processes at the same moment and waits until they have ended.
func (s *system) kill(list ...*machine) {
	for _, m := range list {
		s.rec.log("SIGKILL to %s", m.name)
		_ = m.cmd.Process.Kill()
	}
	for _, m := range list {
		<-m.exited
	}
}

func (s *system) signal(m *machine, sig syscall.Signal) {
	s.rec.log("%v to %s", sig, m.name)
	_ = m.cmd.Process.Signal(sig)
}

// wipe empties the disk of a machine whose process has ended. It starts again without bootstrap.
func (s *system) wipe(m *machine) {
	s.rec.log("disk of %s is lost", m.name)
	_ = os.RemoveAll(filepath.Join(m.dir, "data"))
	_ = os.MkdirAll(filepath.Join(m.dir, "data"), 0o700)
	m.bootstrap = false
}

// stop ends all processes and removes the temporary folder, or keeps it if KEEP is set.
func (s *system) stop() {
	for _, list := range [][]*machine{s.controls, s.gateways} {
		for _, m := range list {
			if m.cmd != nil {
				_ = m.cmd.Process.Kill()
				_ = m.cmd.Process.Signal(syscall.SIGCONT)
				<-m.exited
			}
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.tmp)
	} else {
		fmt.Println("kept", s.tmp)
	}
}
