//go:build review

package harness

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// System is a small deployment: three control replicas, some gateways, and a sidecar beside each rank.
type System struct {
	Record *Record

	dir      string
	internal [2]int
	api      int
	seeds    []string

	mu        sync.Mutex
	processes []*Process
}

// Process is one program of the deploy file on a machine of its own.
type Process struct {
	Name string
	// Address is what clients, servers or the operator call; empty for a sidecar.
	Address string
	// Ready is the address of the readiness check of a gateway.
	Ready string

	system *System
	args   []string
	mu     sync.Mutex
	cmd    *exec.Cmd
	ended  chan struct{}
}

// controlReplicas is the number of control replicas: half of five core machines in three zones, rounded up
// in each zone.
const controlReplicas = 3

// New prepares a deployment. Its files are in a temporary folder.
func New(r *Record) (*System, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &System{Record: r, dir: dir}
	ports, err := freePorts(3)
	if err != nil {
		return nil, err
	}
	s.internal, s.api = [2]int{ports[0], ports[1]}, ports[2]
	for i := range controlReplicas {
		s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", controlIP(i), s.api))
	}
	return s, nil
}

// freePorts returns ports that are free on all loopback addresses.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "0.0.0.0:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

func controlIP(i int) string { return fmt.Sprintf("127.83.%d.40", i+1) }

// RankIP returns the address of the machine of a rank.
func RankIP(i int) string { return fmt.Sprintf("127.83.%d.%d", i%3+1, 100+i) }

func zoneOf(i int) string { return [...]string{"hall-north", "hall-south", "hall-grain"}[i%3] }

// ControlPlane returns the addresses at which the operator and servers reach the control replicas.
func (s *System) ControlPlane() []string { return s.seeds }

// StartControl starts the control replicas.
func (s *System) StartControl() error {
	for i := range controlReplicas {
		name, ip := fmt.Sprintf("core-%s-1", zoneOf(i)), controlIP(i)
		data := filepath.Join(s.dir, "data-"+name)
		if err := os.Mkdir(data, 0o700); err != nil {
			return err
		}
		v := commonValues(name, zoneOf(i), ip, s.internal)
		v["dataDirectory"], v["seedNodes|json"] = data, jsonText(s.seeds)
		v["listenAddresses.controlPlane"], v["listenAddresses.directory"] = s.seeds[i], s.seeds[i]
		if err := s.start(&Process{Name: name, Address: s.seeds[i]}, "target/snipereach-control", "deploy/control.toml", v); err != nil {
			return err
		}
	}
	return nil
}

// StartGateways starts n gateways.
func (s *System) StartGateways(n int) ([]*Process, error) {
	ports, err := freePorts(2)
	if err != nil {
		return nil, err
	}
	var list []*Process
	for i := range n {
		name, ip := fmt.Sprintf("frontend-%s-%d", zoneOf(i), i/3+1), fmt.Sprintf("127.83.%d.%d", i%3+1, 20+i)
		v := commonValues(name, zoneOf(i), ip, s.internal)
		p := &Process{Name: name, Address: fmt.Sprintf("%s:%d", ip, ports[0]), Ready: fmt.Sprintf("%s:%d", ip, ports[1])}
		v["listenAddresses.frontend"], v["listenAddresses.ready"], v["seedNodes|json"] = p.Address, p.Ready, jsonText(s.seeds)
		if err := s.start(p, "target/snipereach-gateway", "deploy/gateway.toml", v); err != nil {
			return nil, err
		}
		list = append(list, p)
	}
	return list, nil
}

// StartSidecar starts the sidecar beside a rank that listens at app.
func (s *System) StartSidecar(rank int, app string) error {
	name, ip := fmt.Sprintf("side-%s-%d", zoneOf(rank), rank/3+1), RankIP(rank)
	v := commonValues(name, zoneOf(rank), ip, s.internal)
	v["app"] = app
	return s.start(&Process{Name: name}, "target/snipereach-sidecar", "deploy/sidecar.toml", v)
}

func (s *System) start(p *Process, program, template string, v Values) error {
	text, err := renderTemplate(template, v)
	if err != nil {
		return err
	}
	config := filepath.Join(s.dir, p.Name+".toml")
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	p.system, p.args = s, []string{program, "--config", config}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	return p.Start()
}

// Start starts the process, for the first time or again.
func (p *Process) Start() error {
	out, err := os.OpenFile(filepath.Join(p.system.dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(p.args[0], p.args[1:]...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPEREACH_BOOT=" + p.args[2]}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.mu.Unlock()
	p.system.Record.Add("process %s started: pid %d", p.Name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		p.system.Record.Add("process %s ended: pid %d, %v", p.Name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// PID returns the ID of the running process.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.system.Record.Add("process %s gets %v", p.Name, sig)
	_ = p.cmd.Process.Signal(sig)
}

// Ended is closed when the running process has ended.
func (p *Process) Ended() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// Close ends all processes and removes the temporary folder. With REVIEW_LOGS set, the folder with the
// logs of the processes is kept.
func (s *System) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.mu.Lock()
		cmd, ended := p.cmd, p.ended
		p.mu.Unlock()
		if cmd == nil {
			continue
		}
		_ = cmd.Process.Kill()
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("REVIEW_LOGS") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}

// FreePort returns a port that is free on all loopback addresses.
func FreePort() (int, error) {
	ports, err := freePorts(1)
	if err != nil {
		return 0, err
	}
	return ports[0], nil
}

// KillAll kills all processes at the same moment and waits until they have ended.
func (s *System) KillAll() error {
	s.mu.Lock()
	list := append([]*Process(nil), s.processes...)
	s.mu.Unlock()
	for _, p := range list {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range list {
		select {
		case <-p.Ended():
		case <-time.After(5 * time.Second):
			return fmt.Errorf("%s doesn't end", p.Name)
		}
	}
	return nil
}

// RestartAll starts all processes again, with the settings of a machine that isn't new.
func (s *System) RestartAll() error {
	s.mu.Lock()
	list := append([]*Process(nil), s.processes...)
	s.mu.Unlock()
	for _, p := range list {
		text, err := os.ReadFile(p.args[2])
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.args[2], bytes.ReplaceAll(text, []byte("form_cluster = true"), []byte("form_cluster = false")), 0o600); err != nil {
			return err
		}
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}
