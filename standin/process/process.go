// Package process starts and signals the programs of a run, each with a log file.
package process

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// ErrNotRunning says that a process has already ended.
var ErrNotRunning = errors.New("process: it is not running")

// Process is one program that may be started again and again. Its methods may be
// called by any goroutine.
type Process struct {
	name string
	path string
	args []string
	log  string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	frozen bool
}

// New returns a process that has not been started. Its log is in a directory,
// under its name.
func New(directory, name, path string, args ...string) *Process {
	return &Process{name: name, path: path, args: args, log: filepath.Join(directory, name+".log")}
}

// Start runs the program; its output is appended to its log. The program is
// killed when this process dies.
func (p *Process) Start() error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.frozen = cmd, exited, false
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // How a process ends is judged by who ended it.
		close(exited)
	}()
	return nil
}

// Running reports whether the process has been started and has not ended.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running()
}

func (p *Process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Frozen reports whether the process was stopped by SIGSTOP and not let go on.
func (p *Process) Frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// Signal sends a signal, or returns ErrNotRunning.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return fmt.Errorf("%s: %w", p.name, ErrNotRunning)
	}
	p.frozen = s == syscall.SIGSTOP || (p.frozen && s != syscall.SIGCONT)
	return p.cmd.Process.Signal(s)
}

// Exited returns a channel that is closed when the process that was started last
// has ended.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Wait waits for the process to end by itself.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.Exited():
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v", p.name, timeout)
	}
}

// End kills the process if it still runs.
func (p *Process) End() {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return // It has ended.
	}
	<-p.Exited()
}
