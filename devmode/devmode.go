// Package devmode supplies what one node needs to answer requests without any
// other process: an echo engine, a store in memory, and a configuration that
// names them.
package devmode

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
)

const (
	// Key is the bearer key that the development configuration accepts.
	Key = "dev"
	// Model is the model that the echo engine serves.
	Model = "echo"

	httpAddress = "127.0.0.1:8080"
	peerAddress = "127.0.0.1:8090"
	zone        = "dev"
	ticketKey   = "ZGV2ZWxvcG1lbnQtb25seS1rZXktMzItYnl0ZXMhIQ=="
	shards      = 1
)

// Settings returns the settings of the development node.
func Settings() *schema.Settings {
	s := settings.Default()
	s.Node = &schema.NodeSettings{Name: "dev", Cluster: "dev", AvailabilityZone: zone, Region: zone}
	s.Http.ListenAddress = httpAddress
	s.Peer.ListenAddress = peerAddress
	s.Peer.TicketKey = ticketKey
	s.Ledger.Shards = shards
	return s
}

// Start serves the echo engine on a free loopback port and returns a store
// that holds a configuration naming it. The engine ends with ctx.
func Start(ctx context.Context) (*objects.Memory, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the echo engine: %w", err)
	}
	server := &http.Server{Handler: newEcho()}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	store := objects.NewMemory()
	changes := register.Diff(&schema.Config{}, config(listener.Addr().String()))
	if _, err := register.Apply(ctx, store, changes, "dev"); err != nil {
		return nil, fmt.Errorf("apply the development configuration: %w", err)
	}
	return store, nil
}
