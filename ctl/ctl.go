// Package ctl implements the operators' command-line tool, with one file for each
// group of commands. Results are written to standard output as tables or JSON,
// errors to standard error, and the exit code gives the kind of error.
package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed is any failure that has no code of its own.
	ExitFailed = 1
	// ExitBadInput means that the command line, a file or a name is invalid.
	ExitBadInput = 2
	// ExitConflict means that another operator's edit was accepted first.
	ExitConflict = 3
	// ExitUnavailable means that the platform or a node could not be reached;
	// nothing was changed.
	ExitUnavailable = 4
	// ExitUnknown means that a change may or may not have been made.
	ExitUnknown = 5
)

const description = `Operate a primrosemoor cluster.

Exit codes: 0 done, 1 failed, 2 bad input, 3 conflict with another edit,
4 platform or node not reached (nothing changed), 5 effect unknown.`

// Environment holds the process resources that the tool uses.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	// OpenStore connects to the object API.
	OpenStore func(*schema.PlatformSettings) (objects.Store, error)
}

// commands defines the command line for kong.
type commands struct {
	Output string `help:"Format of results." enum:"table,json" default:"table" env:"PRIMROSEMOOR_OUTPUT"`

	Check    checkCommand    `cmd:"" help:"Check register and rule files without a cluster."`
	Apply    applyCommand    `cmd:"" help:"Make files the accepted configuration."`
	Get      getCommand      `cmd:"" help:"Print the accepted configuration as TOML or JSON."`
	Register registerCommand `cmd:"" help:"List or edit the register of VMs."`
	Status   statusCommand   `cmd:"" help:"Show the nodes, the revision in force at each, and their targets."`
	Explain  explainCommand  `cmd:"" help:"Show the recorded decisions for a request."`
	Where    whereCommand    `cmd:"" help:"Show where a request would go now, and why, without sending it."`
	Drain    drainCommand    `cmd:"" help:"Begin a node's graceful shutdown."`
	Release  releaseCommand  `cmd:"" help:"Release a quarantined request fingerprint."`
	Load     loadCommand     `cmd:"" help:"Send a generated load to nodes on this VM."`
	Replay   replayCommand   `cmd:"" help:"Send a recorded trace and judge its stated outcomes."`
	Trace    traceCommand    `cmd:"" help:"Write an example trace to standard output."`
	HashKey  hashKeyCommand  `cmd:"" help:"Print the hash of a bearer key for the rules."`
}

// app holds the state that all commands share.
type app struct {
	Environment
	ctx  context.Context
	json bool
}

// exitPanic carries the exit code when kong exits by itself, for instance after
// --help. Run recovers it.
type exitPanic int

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, environment Environment) (code int) {
	defer func() {
		if exit, ok := recover().(exitPanic); ok {
			code = int(exit)
		}
	}()
	var c commands
	parser, err := kong.New(&c,
		kong.Name("primrosectl"),
		kong.Description(description),
		kong.Writers(environment.Stdout, environment.Stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
	)
	if err != nil {
		return printError(environment.Stderr, err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(environment.Stderr, "primrosectl: %v (see primrosectl --help)\n", err)
		return ExitBadInput
	}
	a := &app{Environment: environment, ctx: ctx, json: c.Output == "json"}
	return printError(environment.Stderr, command.Run(a))
}

// printError prints the error, if any, and returns the exit code.
func printError(stderr io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var problems tomlproto.Problems
	if errors.As(err, &problems) {
		e := fault.From(err)
		fmt.Fprintf(stderr, "primrosectl: %s (%s):\n%v\n", e.Message, e.Remedy, problems)
	} else {
		fmt.Fprintf(stderr, "primrosectl: %v\n", err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_BAD_REQUEST, schema.ErrorKind_ERROR_KIND_NOT_FOUND:
		return ExitBadInput
	case schema.ErrorKind_ERROR_KIND_CONFLICT:
		return ExitConflict
	case schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, schema.ErrorKind_ERROR_KIND_UNREACHABLE,
		schema.ErrorKind_ERROR_KIND_THROTTLED:
		return ExitUnavailable
	case schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT:
		return ExitUnknown
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return ExitUnavailable
	}
	return ExitFailed
}

// platformFlags configure access to the object API.
type platformFlags struct {
	Platform  string        `help:"URL of the object API." required:"" env:"PRIMROSEMOOR_PLATFORM"`
	TokenFile string        `help:"File that holds the object API's token." env:"PRIMROSEMOOR_TOKEN_FILE"`
	Timeout   time.Duration `help:"Time to keep trying while the object API is down." default:"30s"`
}

// open returns a client of the object API and a context that expires after the
// timeout.
func (f platformFlags) open(a *app) (context.Context, context.CancelFunc, objects.Store, error) {
	store, err := a.OpenStore(&schema.PlatformSettings{Url: f.Platform, TokenFile: f.TokenFile})
	if err != nil {
		return nil, nil, nil, err
	}
	ctx, cancel := context.WithTimeout(a.ctx, f.Timeout)
	return ctx, cancel, store, nil
}

func badInput(message, remedy string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, message, remedy)
}
