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

// Role is the kind of a process in a deployment.
type Role string

// Roles of processes.
const (
	Platform Role = "platform"
	Fabric   Role = "fabric"
	Balancer Role = "balancer"
	Agent    Role = "agent"
	Backend  Role = "backend"
)

// killTimeout bounds the wait for a killed process to end.
const killTimeout = 5 * time.Second

// Process is one process of a deployment. It can be restarted after it has ended.
type Process struct {
	// Name identifies the process in reports.
	Name string
	// Role is the kind of the process.
	Role Role
	// DataCentre is the name of its data centre.
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

// start runs the process and appends its output to its log file. It does nothing
// if the process runs already.
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
	// Kills the child when the lab tool itself is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errkind.Wrap(err, errkind.Unavailable, "cannot start "+p.Name, "check the path of the binary")
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go func(done chan struct{}) {
		_ = cmd.Wait() // the result stays in cmd.ProcessState
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

// Signal sends a signal to the process by its process ID.
func (p *Process) Signal(sig syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return errkind.New(errkind.NotFound, p.Name+" is not running", "read its log: "+filepath.Base(p.log))
	}
	return p.cmd.Process.Signal(sig)
}

// Wait waits until the process has ended and returns its exit code, or -1 if a
// signal ended it. It returns 0 for a process that was never started.
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
		return 0, fmt.Errorf("%s is still running: %w", p.Name, ctx.Err())
	}
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (p *Process) Kill() error {
	if !p.Running() {
		return nil
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), killTimeout)
	defer cancel()
	_, err := p.Wait(ctx)
	return err
}

// Freeze suspends a process until Resume.
func Freeze(p *Process) error { return p.Signal(syscall.SIGSTOP) }

// Resume continues a process that Freeze suspended.
func Resume(p *Process) error { return p.Signal(syscall.SIGCONT) }
