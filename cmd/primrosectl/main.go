// Command primrosectl is the command-line tool for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/primrosemoor/primrosemoor/ctl"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(ctl.Run(ctx, os.Args[1:], ctl.Environment{
		Stdin:     os.Stdin,
		Stdout:    os.Stdout,
		Stderr:    os.Stderr,
		OpenStore: openStore,
	}))
}

func openStore(s *schema.PlatformSettings) (objects.Store, error) {
	return objects.NewHTTP(s, "")
}
