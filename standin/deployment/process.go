package deployment

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// exitTimeout bounds the wait for a process that was told to end.
const exitTimeout = 20 * time.Second

// ErrNotRunning says that a process has already ended.
var ErrNotRunning = errors.New("deployment: process is not running")

// process is one started program with its log file.
type process struct {
	name   string
	path   string
	args   []string
	log    string
	cmd    *exec.Cmd
	exited chan struct{}
	frozen bool
}

func newProcess(directory, name, path string, args ...string) *process {
	return &process{name: name, path: path, args: args, log: filepath.Join(directory, name+".log")}
}

// start runs the program; its output is appended to its log. The program is
// killed when this process dies.
func (p *process) start() error {
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
	p.cmd, p.exited, p.frozen = cmd, exited, false
	go func() {
		cmd.Wait()
		close(exited)
	}()
	return nil
}

func (p *process) running() bool {
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

func (p *process) signal(s syscall.Signal) error {
	if !p.running() {
		return fmt.Errorf("%s: %w", p.name, ErrNotRunning)
	}
	p.frozen = s == syscall.SIGSTOP || (p.frozen && s != syscall.SIGCONT)
	return p.cmd.Process.Signal(s)
}

// wait waits for the process to exit by itself.
func (p *process) wait(timeout time.Duration) error {
	select {
	case <-p.exited:
		return nil
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v", p.name, timeout)
	}
}

// end kills the process if it still runs.
func (p *process) end() {
	if !p.running() {
		return
	}
	p.cmd.Process.Kill()
	<-p.exited
}
