package main

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/record"
	"github.com/primrosemoor/primrosemoor/standin/service"
)

type serviceCommand struct {
	Listen      string        `help:"Address to listen on." default:"127.0.0.1:7200"`
	Name        string        `help:"Name of the target in records." default:"service"`
	Record      string        `help:"File to append run records to."`
	Delay       time.Duration `help:"Time that one run takes." default:"5ms"`
	Concurrency int           `help:"Runs at a time; 0 for no bound." default:"16"`
}

// Run implements kong's command interface.
func (c *serviceCommand) Run(ctx context.Context) error {
	recorder, err := record.NewRecorder(c.Name, c.Record)
	if err != nil {
		return err
	}
	handler := service.NewHandler(service.Options{
		Name:        c.Name,
		Delay:       c.Delay,
		Concurrency: c.Concurrency,
		Recorder:    recorder,
	})
	return serveHTTP(ctx, c.Listen, handler, func(context.Context) {})
}
