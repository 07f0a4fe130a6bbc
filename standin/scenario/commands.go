package scenario

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/standin/checker"
	"github.com/primrosemoor/primrosemoor/standin/deployment"
	"github.com/primrosemoor/primrosemoor/standin/relay"
)

// command implements one command of the scenario language.
type command func(s *session, args []string) error

// commands maps the names of the commands that extend testscript to their
// implementations.
var commands = map[string]command{
	"deploy":        deploy,
	"send":          (*session).send,
	"traffic":       (*session).traffic,
	"overload":      (*session).overload,
	"settle":        (*session).settle,
	"wait-for":      waitForGroups,
	"expect":        (*session).expect,
	"expect-target": (*session).expectTarget,
	"pause":         pause,
	"covers":        covers,
	"judged":        requirePromises,
	"kill-process":  forEach((*deployment.Deployment).Kill),
	"freeze":        forEach((*deployment.Deployment).Freeze),
	"thaw":          forEach((*deployment.Deployment).Thaw),
	"restart":       forEach((*deployment.Deployment).Restart),
	"isolate":       forEach((*deployment.Deployment).Isolate),
	"cut-region":    forEach((*deployment.Deployment).CutRegion),
	"leaving":       forEach((*deployment.Deployment).SignalLeaving),
	"stop-node":     stop,
	"ready":         ready,
	"cut":           cut,
	"heal":          heal,
	"members":       members,
	"platform":      setPlatform,
	"speed":         setSpeed,
	"list-leaving":  listLeaving,
	"pull":          pull,
	"apply":         apply,
	"apply-at-once": applyAtOnce,
	"observe":       observe,
	"in-force":      inForce,
}

// stopTimeout bounds a graceful shutdown in a scenario.
const stopTimeout = 40 * time.Second

var errUsage = errors.New("wrong arguments; see docs/SCENARIOS.md")

func (s *session) scriptCommands() map[string]func(*testscript.TestScript, bool, []string) {
	script := make(map[string]func(*testscript.TestScript, bool, []string))
	for name, execute := range commands {
		script[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := execute(s, args)
			if err != nil && !neg {
				ts.Fatalf("%s: %v", name, err)
			}
			if err == nil && neg {
				ts.Fatalf("%s succeeded unexpectedly", name)
			}
		}
	}
	return script
}

// forEach returns a command that applies an action to each of its arguments,
// after expanding them to process names.
func forEach(action func(*deployment.Deployment, string) error) command {
	return func(s *session, args []string) error {
		d, err := s.activeDeployment()
		if err != nil {
			return err
		}
		if len(args) == 0 {
			return errUsage
		}
		for _, arg := range args {
			for _, name := range d.Expand(arg) {
				if err := action(d, name); err != nil {
					return err
				}
			}
		}
		return nil
	}
}

// deploy implements "deploy SIZE [engine:FLAG ...] [service:FLAG ...]".
func deploy(s *session, args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	var engineArgs, serviceArgs []string
	for _, a := range args[1:] {
		if flag, ok := strings.CutPrefix(a, "engine:"); ok {
			engineArgs = append(engineArgs, flag)
		} else if flag, ok := strings.CutPrefix(a, "service:"); ok {
			serviceArgs = append(serviceArgs, flag)
		} else {
			return errUsage
		}
	}
	return s.deploy(args[0], engineArgs, serviceArgs)
}

// waitForGroups implements "wait-for GROUP ...".
func waitForGroups(s *session, args []string) error {
	for _, name := range args {
		if err := s.waitForGroup(name); err != nil {
			return err
		}
	}
	return nil
}

// pause implements "pause DURATION".
func pause(s *session, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	d, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	if !delay.Sleep(s.ctx, d) {
		return s.ctx.Err()
	}
	return nil
}

// covers implements "covers FAILURE ...", which declares the failures that the
// scenario injects.
func covers(s *session, args []string) error {
	for _, a := range args {
		failure, err := parseFailure(a)
		if err != nil {
			return err
		}
		s.coveredFailures[failure] = true
	}
	return nil
}

// requirePromises implements "judged PROMISE ...". The scenario fails if the
// checker finds nothing in the run to check one of these promises against;
// "all" selects every promise.
func requirePromises(s *session, args []string) error {
	for _, a := range args {
		promise := checker.Promise(a)
		switch {
		case a == "all":
			s.requiredPromises = append(s.requiredPromises, checker.Promises...)
		case slices.Contains(checker.Promises, promise):
			s.requiredPromises = append(s.requiredPromises, promise)
		default:
			return fmt.Errorf("unknown promise %q; known promises are %v", a, checker.Promises)
		}
	}
	return nil
}

// stop implements "stop-node NODE ...", a graceful shutdown.
func stop(s *session, args []string) error {
	return forEach(func(d *deployment.Deployment, name string) error {
		return d.Stop(name, stopTimeout)
	})(s, args)
}

// ready implements "ready NODE ...", which waits until the nodes are ready.
func ready(s *session, args []string) error {
	return forEach(func(d *deployment.Deployment, name string) error {
		return d.WaitReady(s.ctx, name)
	})(s, args)
}

// members waits until every running node lists all running nodes as members.
func members(s *session, _ []string) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	return d.WaitMembers(s.ctx)
}

// cut implements "cut FROM TO [in|out|both]".
func cut(s *session, args []string) error {
	link, err := parseLink(args)
	if err != nil {
		return err
	}
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	for _, to := range d.Expand(link.To) {
		link.To = to
		if err := d.Cut(link); err != nil {
			return err
		}
	}
	return nil
}

// heal implements "heal [FROM TO]"; without arguments it restores all links.
func heal(s *session, args []string) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return d.Heal(deployment.Link{})
	}
	link, err := parseLink(args)
	if err != nil {
		return err
	}
	return d.Heal(link)
}

func parseLink(args []string) (deployment.Link, error) {
	if len(args) < 2 || len(args) > 3 {
		return deployment.Link{}, errUsage
	}
	link := deployment.Link{From: args[0], To: args[1]}
	if len(args) == 3 {
		link.Direction = relay.Direction(args[2])
	}
	return link, nil
}

// setSpeed implements "speed TARGET FACTOR".
func setSpeed(s *session, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	speed, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	return d.SetSpeed(args[0], speed)
}

func observe(s *session, _ []string) error {
	return s.observe()
}

// inForce implements "in-force DURATION": every running node must show the
// last accepted revision within that time.
func inForce(s *session, args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	limit, err := time.ParseDuration(args[0])
	if err != nil {
		return fmt.Errorf("in-force: %w", err)
	}
	return s.waitRevision(limit)
}
