package deployment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

// nodeStatus is the part of the output of primrosectl status that is used here.
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

var errMembersMissing = errors.New("list of members is incomplete")

// WaitMembers waits until every running node lists all running nodes as members,
// as an operator does after starting them.
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
		case <-time.After(membersPollInterval):
		}
	}
}

// membersPollInterval is the polling interval for the lists of members.
const membersPollInterval = 200 * time.Millisecond

// checkMembers returns an error unless every running node lists as many members
// as there are running nodes.
func (d *Deployment) checkMembers(ctx context.Context) error {
	nodes := d.RunningNodes()
	var addresses []string
	for _, n := range nodes {
		addresses = append(addresses, n.PeerAdvertise)
	}
	output, err := d.runPrimrosectl(ctx, "status", "--output", "json", "--cluster", cluster,
		"--peer", strings.Join(addresses, ","))
	if err != nil {
		return err
	}
	var statuses []nodeStatus
	if err := json.Unmarshal(output, &statuses); err != nil {
		return fmt.Errorf("read status: %w", err)
	}
	if len(statuses) != len(nodes) {
		return errMembersMissing
	}
	for _, status := range statuses {
		if len(status.Status.Members) != len(nodes) {
			return fmt.Errorf("%s lists %d nodes: %w", status.Status.Node, len(status.Status.Members), errMembersMissing)
		}
	}
	return nil
}
