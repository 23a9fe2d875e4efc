package deploy

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/almondledge/almondledge/internal/errkind"
)

// Role is what a process does in a deployment.
type Role string

// Roles of processes.
const (
	Platform Role = "platform"
	Fabric   Role = "fabric"
	Balancer Role = "balancer"
	Agent    Role = "agent"
	Backend  Role = "backend"
)

// killWait bounds the wait for a killed process.
const killWait = 5 * time.Second

// Process is one process of a deployment. It can be started again after its end.
type Process struct {
	// Name names the process in reports.
	Name string
	// Role is what it does.
	Role Role
	// DataCentre is where it runs.
	DataCentre string
	// Service is the service of an agent or a backend server.
	Service string

	path string
	args []string
	log  string

	mu   sync.Mutex // guards the fields below
	cmd  *exec.Cmd
	done chan struct{}
}

// start runs the process; its output is appended to its log file.
func (p *Process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return nil
	}
	file, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = file
	cmd.Stderr = file
	// The children must not outlive a lab tool that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "cannot start "+p.Name, "check the path of the binary")
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait() // the state is kept in cmd
		close(done)
	}(p.done)
	return nil
}

// running reports whether the process runs; the caller holds p.mu.
func (p *Process) running() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Running reports whether the process runs.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

// Signal sends a signal to the process, by its ID.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return errkind.New(errkind.NotFound, p.Name+" does not run", "read its log: "+filepath.Base(p.log))
	}
	return p.cmd.Process.Signal(sig)
}

// Wait waits for the end of the process and returns its exit code, or -1 when a
// signal ended it.
func (p *Process) Wait(ctx context.Context) (int, error) {
	p.mu.Lock()
	done, cmd := p.done, p.cmd
	p.mu.Unlock()
	if done == nil {
		return 0, nil
	}
	select {
	case <-done:
		return cmd.ProcessState.ExitCode(), nil
	case <-ctx.Done():
		return 0, fmt.Errorf("%s still runs: %w", p.Name, ctx.Err())
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), killWait)
	defer cancel()
	_, err := p.Wait(ctx)
	return err
}

// Freeze stops a process until Thaw.
func Freeze(p *Process) error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a process that Freeze stopped.
func Resume(p *Process) error { return p.Signal(syscall.SIGCONT) }
