package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	peerTimeout  = 3 * time.Second
	waitInterval = 200 * time.Millisecond
)

// peerFlags configure access to the nodes.
type peerFlags struct {
	Peer    []string `help:"Peer addresses (IP:port) of nodes; the others are found through them." env:"PRIMROSEMOOR_PEERS"`
	Cluster string   `help:"Cluster name of the nodes' settings." default:"primrosemoor" env:"PRIMROSEMOOR_CLUSTER"`
}

func (f peerFlags) pool() (*peer.Pool, error) {
	if len(f.Peer) == 0 {
		return nil, badInput("no node address is given", "give the peer address of a node with --peer")
	}
	return peer.NewPool(peer.PoolOptions{
		Identity:    peer.Identity{Cluster: f.Cluster, Node: "primrosectl"},
		Meter:       peer.NopMeter{},
		DialTimeout: peerTimeout,
		CallTimeout: peerTimeout,
	}), nil
}

// nodeStatus is one node's status reply, or the error of the call.
type nodeStatus struct {
	address string
	reply   *schema.StatusReply
	err     error
}

// queryStatuses queries the configured nodes and, transitively, all members that
// they report.
func (f peerFlags) queryStatuses(ctx context.Context, pool *peer.Pool) []nodeStatus {
	queue := slices.Clone(f.Peer)
	queried := make(map[string]bool)
	var all []nodeStatus
	for len(queue) > 0 {
		address := queue[0]
		queue = queue[1:]
		if queried[address] {
			continue
		}
		queried[address] = true
		s := nodeStatus{address: address, reply: &schema.StatusReply{}}
		s.err = pool.Call(ctx, address, schema.Method_METHOD_STATUS, &schema.StatusRequest{}, s.reply)
		all = append(all, s)
		for _, m := range s.reply.GetMembers() {
			queue = append(queue, m.GetAddress())
		}
	}
	slices.SortFunc(all, func(a, b nodeStatus) int { return strings.Compare(a.reply.GetNode(), b.reply.GetNode()) })
	return all
}

// checkAnyReachable returns an error if no node answered.
func checkAnyReachable(all []nodeStatus) error {
	var errs []error
	for _, s := range all {
		if s.err == nil {
			return nil
		}
		errs = append(errs, s.err)
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNREACHABLE, errors.Join(errs...),
		"no node answered", "check the addresses and --cluster")
}

// statusCommand shows the status of the nodes and their targets.
type statusCommand struct {
	peerFlags
}

// statusResult is one node in the JSON result of status.
type statusResult struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Status  json.RawMessage `json:"status,omitempty"`
}

// Run implements the command.
func (c *statusCommand) Run(a *app) error {
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	all := c.queryStatuses(a.ctx, pool)
	if a.json {
		err = a.printStatusJSON(all)
	} else {
		err = a.printStatusTables(all)
	}
	return errors.Join(err, checkAnyReachable(all))
}

func (a *app) printStatusJSON(all []nodeStatus) error {
	results := make([]statusResult, 0, len(all))
	for _, s := range all {
		r := statusResult{Address: s.address}
		if s.err != nil {
			r.Error = s.err.Error()
		} else if text, err := rawMessage(s.reply); err == nil {
			r.Status = text
		}
		results = append(results, r)
	}
	return a.printJSON(results)
}

func (a *app) printStatusTables(all []nodeStatus) error {
	nodes := table{header: []string{"NODE", "ZONE", "ADDRESS", "REVISION", "STATE", "STORE", "IN FLIGHT", "GROUPS"}}
	targets := table{header: []string{"GROUP", "OWNER", "TARGET", "STATE", "IN FLIGHT", "TOKENS", "LIMIT", "QUEUED", "FLOOR"}}
	for _, s := range all {
		r := s.reply
		if s.err != nil {
			nodes.add("?", "?", s.address, "?", "unreachable", "?", "?", "?")
			continue
		}
		nodes.add(r.GetNode(), r.GetAvailabilityZone(), s.address, r.GetConfigRevision(), nodeState(r),
			reachability(r.GetStoreReachable()), r.GetInFlight(), len(r.GetGroups()))
		for _, g := range r.GetGroups() {
			addTargetRows(&targets, r.GetNode(), g)
		}
	}
	if err := nodes.write(a.Stdout); err != nil {
		return err
	}
	fmt.Fprintln(a.Stdout)
	return targets.write(a.Stdout)
}

func addTargetRows(t *table, owner string, g *schema.GroupStatus) {
	for _, target := range g.GetTargets() {
		state := "active"
		if target.GetLeaving() {
			state = "leaving"
		}
		t.add(g.GetId(), owner, target.GetName(), state, target.GetInFlight(),
			fmt.Sprintf("%.0f", target.GetOutstandingTokens()), fmt.Sprintf("%.0f", target.GetLimitTokens()),
			fmt.Sprint(g.GetQueued()), g.GetShedFloor())
	}
}

func nodeState(r *schema.StatusReply) string {
	switch {
	case r.GetIsolated():
		return "isolated"
	case r.GetDraining():
		return "draining"
	default:
		return "active"
	}
}

func reachability(ok bool) string {
	if ok {
		return "reachable"
	}
	return "down"
}

// waitInForce waits until the revision is in force on every known node or ctx is
// done.
func (f peerFlags) waitInForce(ctx context.Context, a *app, revision uint64) error {
	pool, err := f.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	start := time.Now()
	for {
		all := f.queryStatuses(ctx, pool)
		behind := addressesBehind(all, revision)
		if len(behind) == 0 {
			fmt.Fprintf(a.Stderr, "in force at %d nodes after %v\n", len(all), time.Since(start).Round(time.Millisecond))
			return nil
		}
		select {
		case <-ctx.Done():
			return notInForceError(revision, behind)
		case <-time.After(waitInterval):
		}
	}
}

// addressesBehind returns the addresses of the nodes that did not answer or have
// an older revision.
func addressesBehind(all []nodeStatus, revision uint64) []string {
	var behind []string
	for _, s := range all {
		if s.err != nil || s.reply.GetConfigRevision() < revision {
			behind = append(behind, s.address)
		}
	}
	return behind
}

func notInForceError(revision uint64, behind []string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_TIMEOUT,
		fmt.Sprintf("revision %d is accepted, but not yet in force at %s", revision, strings.Join(behind, ", ")),
		"it comes into force there once the node is reached; see primrosectl status")
}

// explainCommand shows the recorded scheduling decisions for a request.
type explainCommand struct {
	peerFlags
	RequestID string `arg:"" help:"The request's id (its Idempotency-Key)."`
}

// explainResult is the JSON result of explain.
type explainResult struct {
	Node  string   `json:"node"`
	Lines []string `json:"lines"`
}

// Run implements the command.
func (c *explainCommand) Run(a *app) error {
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	all := c.queryStatuses(a.ctx, pool)
	if err := checkAnyReachable(all); err != nil {
		return err
	}
	results := []explainResult{}
	for _, s := range all {
		reply := &schema.ExplainReply{}
		request := &schema.ExplainRequest{RequestId: c.RequestID}
		err := pool.Call(a.ctx, s.address, schema.Method_METHOD_EXPLAIN, request, reply)
		if err == nil && len(reply.GetLines()) > 0 {
			results = append(results, explainResult{s.reply.GetNode(), reply.GetLines()})
		}
	}
	if len(results) == 0 {
		return fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND, "no node recorded request "+c.RequestID,
			"only recent requests are kept; search the nodes' logs for the id")
	}
	return a.printExplanation(results)
}

func (a *app) printExplanation(results []explainResult) error {
	if a.json {
		return a.printJSON(results)
	}
	for _, r := range results {
		for _, line := range r.Lines {
			fmt.Fprintf(a.Stdout, "node=%s %s\n", r.Node, line)
		}
	}
	return nil
}

// drainCommand starts a node's graceful shutdown.
type drainCommand struct {
	peerFlags
	Node string `arg:"" help:"Name of the node."`
}

// Run implements the command.
func (c *drainCommand) Run(a *app) error {
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	all := c.queryStatuses(a.ctx, pool)
	if err := checkAnyReachable(all); err != nil {
		return err
	}
	for _, s := range all {
		if s.reply.GetNode() != c.Node {
			continue
		}
		if err := pool.Call(a.ctx, s.address, schema.Method_METHOD_DRAIN, &schema.DrainRequest{}, &schema.DrainReply{}); err != nil {
			return err
		}
		_, err := fmt.Fprintf(a.Stdout, "%s is draining\n", c.Node)
		return err
	}
	return badInput(fmt.Sprintf("no node %q answered", c.Node), "see primrosectl status")
}
