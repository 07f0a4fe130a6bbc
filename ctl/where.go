package ctl

import (
	"fmt"
	"time"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

// whereCommand shows where a described request would go now, without sending it.
type whereCommand struct {
	peerFlags
	Host         string        `help:"Host of the request, with --path."`
	Path         string        `help:"Path of the request." default:"/"`
	Service      string        `help:"Service to ask for, without a route."`
	Tier         uint32        `help:"Tier of the request, with --service."`
	Team         string        `help:"Team that sends the request."`
	PromptTokens float64       `help:"Length of the prompt in tokens."`
	HintTokens   float64       `help:"Estimated length of the response in tokens."`
	Left         time.Duration `help:"Time that the caller waits; the route's time limit if it is not given."`
	Version      string        `help:"Software version that the target must have."`
}

// Run implements the command. The node that is asked names the owner of its zone, which
// chooses the targets, so that its answer is shown.
func (c *whereCommand) Run(a *app) error {
	if (c.Host == "") == (c.Service == "") {
		return badInput("the request is not described", "give either --host and --path, or --service and --tier")
	}
	pool, err := c.pool()
	if err != nil {
		return err
	}
	defer pool.Close()
	reply, err := c.ask(a, pool, c.Peer[0])
	if err != nil {
		return err
	}
	if reply.GetOwnerAddress() != "" && reply.GetOwner() != reply.GetNode() {
		if reply, err = c.ask(a, pool, reply.GetOwnerAddress()); err != nil {
			return err
		}
	}
	if a.json {
		return a.printMessage(reply)
	}
	return a.printWhere(reply)
}

func (c *whereCommand) ask(a *app, pool *peer.Pool, address string) (*schema.WhereReply, error) {
	request := &schema.WhereRequest{
		Host: c.Host, Path: c.Path, Service: c.Service, Tier: c.Tier, Team: c.Team, PromptTokens: c.PromptTokens,
		HintTokens: c.HintTokens, LeftMicros: c.Left.Microseconds(), Version: c.Version,
	}
	reply := &schema.WhereReply{}
	return reply, pool.Call(a.ctx, address, schema.Method_METHOD_WHERE, request, reply)
}

func (a *app) printWhere(r *schema.WhereReply) error {
	outcome := "it would wait until a target is free"
	switch {
	case r.GetRefusal() != "":
		outcome = "it would be refused: " + r.GetRefusal()
	case r.GetTarget() != "":
		outcome = "it would be sent to " + r.GetTarget()
	case r.GetAhead() > 0:
		outcome = fmt.Sprintf("it would wait behind %d requests", r.GetAhead())
	}
	fmt.Fprintf(a.Stdout, "decided by %s, route %q, service %s, tier %d: %s\n\n", r.GetNode(), r.GetRoute(), r.GetService(), r.GetTier(), outcome)
	t := table{header: []string{"TARGET", "ZONE", "STATE", "IN FLIGHT", "SLOTS", "PENDING TOKENS", "STEP", "PACE", "EXPECTED", "COST", "ON TIME"}}
	for _, x := range r.GetTargets() {
		state := "usable"
		if x.GetExcluded() != "" {
			state = "not used: " + x.GetExcluded()
		}
		t.add(x.GetId(), x.GetAvailabilityZone(), state, x.GetRequests(), x.GetSlots(), fmt.Sprintf("%.0f", x.GetPromptTokens()),
			micros(x.GetStepMicros()), fmt.Sprintf("%d%%", x.GetPacePercent()), micros(x.GetExpectedMicros()), micros(x.GetCostMicros()), x.GetOnTime())
	}
	return t.write(a.Stdout)
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
