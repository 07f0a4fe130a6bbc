package ctl

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/load"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/trace"
)

// actionTimeout bounds one action of a trace.
const actionTimeout = 10 * time.Second

// errExpectationNotMet is returned if the replay did not meet an expectation of
// the trace, did not send all requests, or an action failed.
var errExpectationNotMet = errors.New("an expectation of the trace was not met")

// replayCommand replays a trace and checks its expectations.
type replayCommand struct {
	playFlags
	Trace    string `arg:"" help:"Trace file (docs/TRACES.md)."`
	Platform string `help:"URL of the object API, for traces that edit the register." env:"PRIMROSEMOOR_PLATFORM"`
	Faults   string `help:"URL that takes the platform stand-in's faults, such as http://127.0.0.2:9000/admin/faults."`
}

// replayResult is the JSON result of replay.
type replayResult struct {
	Trace    string          `json:"trace"`
	Report   *load.Report    `json:"report"`
	Verdicts []trace.Verdict `json:"verdicts"`
	Actions  []string        `json:"failed_actions"`
}

// Run implements the command.
func (c *replayCommand) Run(a *app) error {
	file, err := os.Open(c.Trace)
	if err != nil {
		return badInput(err.Error(), "give a readable trace file")
	}
	defer file.Close()
	t, err := trace.Read(c.Trace, file)
	if err != nil {
		return err
	}
	actions, err := c.newActionRunner(a, t)
	if err != nil {
		return err
	}
	player, err := c.player()
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	running.Go(func() { actions.run(a.ctx, t.Actions) })
	results := c.play(a.ctx, a, player, t.Requests)
	running.Wait()
	return c.evaluate(a, t, results, actions.failed)
}

func (c *replayCommand) evaluate(a *app, t *trace.Trace, results []trace.Result, failed []string) error {
	verdicts := trace.Evaluate(t.Expected, results)
	passed := len(results) == len(t.Requests) && len(failed) == 0 &&
		!slices.ContainsFunc(verdicts, func(v trace.Verdict) bool { return !v.Met })
	if a.json {
		result := replayResult{Trace: t.Header.Name, Report: load.Summarize(results), Verdicts: verdicts, Actions: append([]string{}, failed...)}
		if err := a.printJSON(result); err != nil {
			return err
		}
	} else if err := c.printVerdicts(a, results, verdicts, failed); err != nil {
		return err
	}
	if !passed {
		return errExpectationNotMet
	}
	return nil
}

func (c *replayCommand) printVerdicts(a *app, results []trace.Result, verdicts []trace.Verdict, failed []string) error {
	if err := c.report(a, results); err != nil {
		return err
	}
	t := table{header: []string{"EXPECTED", "TIER", "MET", "SEEN"}}
	for _, v := range verdicts {
		t.add(v.Expectation.Expect, v.Expectation.Tier, v.Met, v.Seen)
	}
	for _, text := range failed {
		t.add("action", "", false, text)
	}
	return t.write(a.Stdout)
}

// actionRunner performs the actions of a trace.
type actionRunner struct {
	store  objects.Store
	faults string
	// failed lists the failed actions. It must only be read after run has
	// returned.
	failed []string
}

func (c *replayCommand) newActionRunner(a *app, t *trace.Trace) (*actionRunner, error) {
	x := &actionRunner{faults: c.Faults}
	for _, action := range t.Actions {
		editsRegister := action.Do == trace.ActionSetLeaving || action.Do == trace.ActionSetActive
		if editsRegister && c.Platform == "" {
			return nil, badInput("the trace edits the register", "give the object API with --platform")
		}
		if !editsRegister && c.Faults == "" {
			return nil, badInput("the trace simulates an outage of the platform", "give the platform stand-in's fault URL with --faults")
		}
	}
	if c.Platform == "" {
		return x, nil
	}
	var err error
	x.store, err = a.OpenStore(&schema.PlatformSettings{Url: c.Platform})
	return x, err
}

func (x *actionRunner) run(ctx context.Context, actions []trace.Action) {
	start := time.Now()
	for _, action := range actions {
		timer := time.NewTimer(time.Until(start.Add(time.Duration(action.At) * time.Millisecond)))
		select {
		case <-ctx.Done():
			timer.Stop()
			x.failed = append(x.failed, "interrupted")
			return
		case <-timer.C:
		}
		if err := x.perform(ctx, action); err != nil {
			x.failed = append(x.failed, fmt.Sprintf("%s: %v", action.Do, err))
		}
	}
}

func (x *actionRunner) perform(ctx context.Context, action trace.Action) error {
	ctx, cancel := context.WithTimeout(ctx, actionTimeout)
	defer cancel()
	switch action.Do {
	case trace.ActionSetLeaving:
		return x.setVMState(ctx, action.VM, schema.VMState_VM_STATE_LEAVING)
	case trace.ActionSetActive:
		return x.setVMState(ctx, action.VM, schema.VMState_VM_STATE_ACTIVE)
	case trace.ActionStoreDown:
		return x.setFaults(ctx, `{"down":true}`)
	default:
		return x.setFaults(ctx, `{}`)
	}
}

func (x *actionRunner) setVMState(ctx context.Context, vm string, state schema.VMState) error {
	base, err := register.Read(ctx, x.store)
	if err != nil {
		return err
	}
	want, err := setVMState([]string{vm}, state)(proto.CloneOf(base))
	if err != nil {
		return err
	}
	_, err = register.Apply(ctx, x.store, register.Diff(base, want), "replay")
	return err
}

func (x *actionRunner) setFaults(ctx context.Context, faults string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, x.faults, bytes.NewReader([]byte(faults)))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("set faults: status %s", response.Status)
	}
	return nil
}

// traceCommand writes an example trace to standard output.
type traceCommand struct {
	Name string `arg:"" help:"Name of an example, such as drumlin-spring-weekend."`
}

// Run implements the command.
func (c *traceCommand) Run(a *app) error {
	var names []string
	for _, e := range trace.Examples() {
		if e.Name == c.Name {
			return trace.Write(a.Stdout, e.Trace)
		}
		names = append(names, e.Name)
	}
	return badInput(fmt.Sprintf("no example trace %q", c.Name), "name one of: "+strings.Join(names, ", "))
}
