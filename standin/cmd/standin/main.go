// Command standin runs a simulation of an external system: the platform's object
// API, a model engine, a plain service, or a TCP relay whose links can be cut. It
// also runs scenarios against these, checks their histories, and renders their
// results.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/phuslu/log"
)

// stopTimeout is the time limit of a graceful shutdown.
const stopTimeout = 60 * time.Second

type commands struct {
	Platform  platformCommand  `cmd:"" help:"Run the platform's object API."`
	Engine    engineCommand    `cmd:"" help:"Run a model engine."`
	Service   serviceCommand   `cmd:"" help:"Run a plain service."`
	Relay     relayCommand     `cmd:"" help:"Run TCP relays whose links can be cut."`
	Scenario  scenarioCommand  `cmd:"" help:"Run scenario files over the real binaries."`
	Soak      soakCommand      `cmd:"" help:"Run scenarios with random failures."`
	Proof     proofCommand     `cmd:"" help:"Write the table of promises and failures from results."`
	EntrySoak entrySoakCommand `cmd:"" help:"Disturb processes of entry nodes at random, and check their promises."`
	Days      daysCommand      `cmd:"" help:"Write the table of days that the users' bench played."`
	Check     checkCommand     `cmd:"" help:"Judge the history of a run."`
}

func main() {
	log.DefaultLogger.Writer = &log.ConsoleWriter{Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter}
	var c commands
	kongCtx := kong.Parse(&c, kong.Name("standin"), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	kongCtx.BindTo(ctx, (*context.Context)(nil))
	kongCtx.FatalIfErrorf(kongCtx.Run())
}

// serveHTTP serves until the context ends, then calls drain, which waits for work
// in progress, and shuts the server down, all within stopTimeout.
func serveHTTP(ctx context.Context, address string, handler http.Handler, drain func(context.Context)) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	log.Info().Str("event", "serving").Str("address", listener.Addr().String()).Msg("")
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	drain(shutdownCtx)
	if err := server.Shutdown(shutdownCtx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut down: %w", err)
	}
	return nil
}
