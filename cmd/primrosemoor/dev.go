package main

import (
	"context"
	"fmt"

	"github.com/primrosemoor/primrosemoor/devmode"
	"github.com/primrosemoor/primrosemoor/node"
)

// runDev runs one node with an in-memory store and an echo engine in the same
// process.
func runDev() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, err := devmode.Start(ctx)
	if err != nil {
		return err
	}
	s := devmode.Settings()
	fmt.Printf("try: curl -s http://%s/v1/chat/completions -H 'Authorization: Bearer %s' "+
		"-d '{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"hello moor\"}]}'\n",
		s.GetHttp().GetListenAddress(), devmode.Key, devmode.Model)
	return runNode(s, node.Options{Store: store})
}
