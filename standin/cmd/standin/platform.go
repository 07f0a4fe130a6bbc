package main

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/objectapi"
)

type platformCommand struct {
	Listen          string        `help:"Address to listen on." default:"127.0.0.1:7000"`
	VMLag           time.Duration `name:"vm-lag" help:"Lag of the VM list." default:"2s"`
	WritesPerSecond float64       `help:"Accepted writes a second; 0 for no bound." default:"0"`
	ReadsPerSecond  float64       `help:"Accepted reads a second; 0 for no bound." default:"0"`
}

// Run implements kong's command interface.
func (c *platformCommand) Run(ctx context.Context) error {
	handler := objectapi.NewHandler(objectapi.Options{
		Faults: objectapi.Faults{WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond},
		VMLag:  c.VMLag,
	})
	// An outage ends pending watches, so that shutdown does not wait for them.
	drain := func(context.Context) { handler.SetFaults(objectapi.Faults{Down: true}) }
	return serveHTTP(ctx, c.Listen, handler, drain)
}
