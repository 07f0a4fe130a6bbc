// Package process starts and signals the programs of a test run, each with a log file.
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

// ErrNotRunning means that a process has not been started or has already exited.
var ErrNotRunning = errors.New("process: not running")

// Process runs one program, which can be started repeatedly. Its methods are safe for
// concurrent use.
type Process struct {
	name    string
	args    []string
	logPath string

	mu          sync.Mutex
	path        string
	environment []string
	cmd         *exec.Cmd
	exited      chan struct{}
	frozen      bool
}

// New returns a process that has not been started. Its log file is NAME.log in the
// directory.
func New(directory, name, path string, args ...string) *Process {
	return &Process{name: name, path: path, args: args, logPath: filepath.Join(directory, name+".log")}
}

// SetProgram sets the path of the program that the next Start starts.
func (p *Process) SetProgram(path string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = path
}

// SetEnvironment sets variables, as KEY=VALUE, that the next Start adds to those of this
// process.
func (p *Process) SetEnvironment(variables ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.environment = variables
}

// PID returns the id of the latest started process, or 0 if there is none.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return 0
	}
	return p.cmd.Process.Pid
}

// Start starts the program and appends its output to its log. The kernel kills the
// program when the thread that started it exits, at the latest with this process.
func (p *Process) Start() error {
	logFile, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer logFile.Close()
	p.mu.Lock()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.environment...)
	p.mu.Unlock()
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.frozen = cmd, exited, false
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // Whoever ends the process checks how it exits.
		close(exited)
	}()
	return nil
}

// Running reports whether the process has been started and has not exited.
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

// Suspended reports whether the process was sent SIGSTOP, and no SIGCONT since.
func (p *Process) Suspended() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.frozen
}

// Signal sends a signal. It returns ErrNotRunning if the process is not running.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.running() {
		return fmt.Errorf("%s: %w", p.name, ErrNotRunning)
	}
	p.frozen = s == syscall.SIGSTOP || (p.frozen && s != syscall.SIGCONT)
	return p.cmd.Process.Signal(s)
}

// Pause makes the process stand still for a while, and Resume lets it go on. Neither changes
// a process that SIGSTOP has suspended, or one that is not running.
func (p *Process) Pause() { p.signalUnlessFrozen(syscall.SIGSTOP) }

// Resume ends a Pause.
func (p *Process) Resume() { p.signalUnlessFrozen(syscall.SIGCONT) }

func (p *Process) signalUnlessFrozen(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() && !p.frozen {
		_ = p.cmd.Process.Signal(s) // It may have ended meanwhile.
	}
}

// Exited returns a channel that is closed when the latest started process has exited.
func (p *Process) Exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// Wait waits for the process to exit.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.Exited():
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v", p.name, timeout)
	}
}

// Kill sends SIGKILL to the process if it is running, and waits for it to exit.
func (p *Process) Kill() {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return // The process has exited.
	}
	<-p.Exited()
}
