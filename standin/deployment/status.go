package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// nodeStatus is the part of primrosectl's status output that is read.
type nodeStatus struct {
	Status memberView `json:"status"`
}

type memberView struct {
	Node    string   `json:"node"`
	Members []member `json:"members"`
}

type member struct {
	Node string `json:"node"`
}

var errNoView = errors.New("members are not all known yet")

// WaitMembers waits until every running node lists all running nodes, as an
// operator does after starting them.
func (d *Deployment) WaitMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		err := d.checkMembers(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for members: %w", err)
		case <-time.After(statusInterval):
		}
	}
}

// statusInterval is the time between looks at the members.
const statusInterval = 200 * time.Millisecond

func (d *Deployment) checkMembers(ctx context.Context) error {
	nodes := d.RunningNodes()
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.PeerAdvertise)
	}
	output, err := d.control(ctx, "status", "--output", "json", "--cluster", cluster,
		"--peer", strings.Join(addresses, ","))
	if err != nil {
		return err
	}
	var views []nodeStatus
	if err := json.Unmarshal(output, &views); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	if len(views) != len(nodes) {
		return errNoView
	}
	for _, v := range views {
		if len(v.Status.Members) != len(nodes) {
			return fmt.Errorf("%s lists %d nodes: %w", v.Status.Node, len(v.Status.Members), errNoView)
		}
	}
	return nil
}
