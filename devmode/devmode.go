// Package devmode runs a node without any other process. It provides an echo
// engine, an in-memory store, and a configuration that refers to the engine.
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
// with a configuration that refers to it. The engine stops when ctx is done.
func Start(ctx context.Context) (*objects.Memory, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the echo engine: %w", err)
	}
	server := &http.Server{Handler: newEchoHandler()}
	context.AfterFunc(ctx, func() { server.Close() })
	go func() { _ = server.Serve(listener) }()
	store := objects.NewMemory()
	changes := register.Diff(&schema.Config{}, config(listener.Addr().String()))
	if _, err := register.Apply(ctx, store, changes, "dev"); err != nil {
		return nil, fmt.Errorf("apply the development configuration: %w", err)
	}
	return store, nil
}
