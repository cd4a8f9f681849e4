//go:build review

package harness

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 500 * time.Millisecond

// EnforceMemory is the part of the platform that kills a process that uses more than memoryMb, and starts it
// again. onKill is called with the memory in use, before the kill. It returns when stop is closed.
func (p *Process) EnforceMemory(memoryMb int, stop <-chan struct{}, onKill func(usedMb int)) {
	peak := 0
	for {
		select {
		case <-stop:
			p.system.Record.Add("process %s used %d MB at most", p.Name, peak)
			return
		case <-time.After(10 * time.Millisecond):
		}
		used := residentMb(p.PID())
		peak = max(peak, used)
		if used <= memoryMb {
			continue
		}
		p.system.Record.Add("process %s uses %d MB, more than memoryMb = %d", p.Name, used, memoryMb)
		onKill(used)
		p.Signal(syscall.SIGKILL)
		<-p.Ended()
		time.Sleep(restartDelay)
		if err := p.Start(); err != nil {
			p.system.Record.Add("process %s can't be started: %v", p.Name, err)
			return
		}
	}
}

// residentMb returns the resident memory of a process.
func residentMb(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int
	_, _ = fmt.Sscan(string(text), &size, &resident)
	return resident * os.Getpagesize() >> 20
}
