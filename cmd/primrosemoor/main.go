// Command primrosemoor runs one node of the request scheduler.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/entry"
	"github.com/primrosemoor/primrosemoor/node"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
)

// Exit codes.
const (
	exitFailed      = 1
	exitBadSettings = 2
)

// heapBytesPerMebibyte is the Go memory limit in bytes per mebibyte of the
// node's memory: three quarters. Above the limit the runtime collects garbage
// more often. The rest is left for socket buffers.
const heapBytesPerMebibyte = 3 << 18

type cli struct {
	Run           runCommand   `cmd:"" help:"Run a node."`
	Entry         entryCommand `cmd:"" help:"Run an entry node on a platform that has a store and a balancer."`
	CheckSettings checkCommand `cmd:"" help:"Check a settings file and exit with 2 if it has faults."`
}

type runCommand struct {
	Settings string `type:"path" help:"Settings file (TOML)." xor:"source" required:""`
	Dev      bool   `help:"Run one node with objects in memory and an echo engine." xor:"source" required:""`
}

type entryCommand struct {
	Settings string `type:"path" env:"${settings_variable}" help:"Settings file (TOML)." required:""`
}

type checkCommand struct {
	File string `arg:"" type:"path" help:"Settings file (TOML)."`
	For  string `enum:"run,entry" default:"run" help:"The command that the file is for (run or entry)."`
}

// settingsError marks an error for which the process exits with exitBadSettings.
type settingsError struct{ error }

func main() {
	var c cli
	parser := kong.Parse(&c, kong.Name("primrosemoor"), kong.Vars{"settings_variable": platform.SettingsVariable},
		kong.Description("Request scheduler for unlike engines: one node."))
	err := parser.Run()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	var settingsErr settingsError
	if errors.As(err, &settingsErr) {
		os.Exit(exitBadSettings)
	}
	os.Exit(exitFailed)
}

// Run starts the node and blocks until it has stopped.
func (r *runCommand) Run() error {
	if r.Dev {
		return runDev()
	}
	s, err := settings.Load(r.Settings)
	if err != nil {
		return settingsError{err}
	}
	return runNode(s, node.Options{})
}

// Run starts the entry node and blocks until it has stopped.
func (r *entryCommand) Run() error {
	load := func() (*schema.GatewaySettings, error) { return settings.LoadGateway(r.Settings) }
	reload := entry.ReloadOnSIGHUP(load)
	s, err := load()
	if err != nil {
		return settingsError{err}
	}
	debug.SetMemoryLimit(int64(s.GetResources().GetMemoryMebibytes() * heapBytesPerMebibyte))
	app := entry.New(s, fx.Supply(reload))
	if err := app.Err(); err != nil {
		return err
	}
	app.Run()
	return nil
}

// Run validates the settings file.
func (c *checkCommand) Run() error {
	if err := c.check(); err != nil {
		return settingsError{err}
	}
	fmt.Println(c.File + ": ok")
	return nil
}

func (c *checkCommand) check() error {
	if c.For == "entry" {
		_, err := settings.LoadGateway(c.File)
		return err
	}
	_, err := settings.Load(c.File)
	return err
}

func runNode(s *schema.Settings, options node.Options) error {
	app := node.New(s, options)
	if err := app.Err(); err != nil {
		return err
	}
	exitOnSecondSignal(s.GetShutdown().GetSecondSignalExits())
	app.Run()
	return nil
}

// exitOnSecondSignal exits the process on SIGQUIT and, if enabled, on a second
// SIGTERM or interrupt. The first one starts the graceful shutdown.
func exitOnSecondSignal(enabled bool) {
	quit := make(chan os.Signal, 1)
	signal.Notify(quit, syscall.SIGQUIT)
	term := make(chan os.Signal, 2)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	go func() {
		terminations := 0
		for {
			select {
			case <-quit:
				os.Exit(exitFailed)
			case <-term:
				terminations++
			}
			if enabled && terminations > 1 {
				os.Exit(exitFailed)
			}
		}
	}()
}
