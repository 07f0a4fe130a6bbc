package main

import (
	"context"
	"fmt"
	"net"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/standin/relay"
)

type relayCommand struct {
	Admin string   `help:"Address of the HTTP interface that cuts and heals links." default:"127.0.0.1:7300"`
	Route []string `arg:"" help:"Routes as LISTEN=FORWARD."`
}

// Run implements kong's command interface.
func (c *relayCommand) Run(ctx context.Context) error {
	r := relay.New()
	for _, text := range c.Route {
		route, err := relay.ParseRoute(text)
		if err != nil {
			return err
		}
		listener, err := net.Listen("tcp", route.Listen)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		go func() {
			if err := r.Serve(ctx, listener, route); err != nil {
				log.Error().Str("event", "relay_failed").Err(err).Msg("")
			}
		}()
	}
	return serveHTTP(ctx, c.Admin, r.AdminHandler(), func(context.Context) {})
}
