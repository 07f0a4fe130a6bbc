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

// command is one command of the language.
type command func(s *session, args []string) error

// commands are the commands besides those of testscript.
var commands = map[string]command{
	"deploy":        deploy,
	"send":          (*session).send,
	"traffic":       (*session).traffic,
	"overload":      (*session).overload,
	"settle":        (*session).settle,
	"wait-for":      wait,
	"expect":        (*session).expect,
	"expect-target": (*session).expectTarget,
	"pause":         pause,
	"covers":        covers,
	"judged":        judged,
	"kill-process":  each((*deployment.Deployment).Kill),
	"freeze":        each((*deployment.Deployment).Freeze),
	"thaw":          each((*deployment.Deployment).Thaw),
	"restart":       each((*deployment.Deployment).Restart),
	"isolate":       each((*deployment.Deployment).Isolate),
	"cut-region":    each((*deployment.Deployment).CutRegion),
	"leaving":       each((*deployment.Deployment).SignalLeaving),
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
	for name, run := range commands {
		script[name] = func(ts *testscript.TestScript, neg bool, args []string) {
			err := run(s, args)
			if err != nil && !neg {
				ts.Fatalf("%s: %v", name, err)
			}
			if err == nil && neg {
				ts.Fatalf("%s succeeded, a failure was expected", name)
			}
		}
	}
	return script
}

// each returns a command that applies an action to each name given.
func each(action func(*deployment.Deployment, string) error) command {
	return func(s *session, args []string) error {
		d, err := s.running()
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

// deploy reads "deploy SIZE [engine:FLAG ...] [service:FLAG ...]".
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

func wait(s *session, args []string) error {
	for _, name := range args {
		if err := s.wait(name); err != nil {
			return err
		}
	}
	return nil
}

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

// covers names the failures that the scenario brings about.
func covers(s *session, args []string) error {
	for _, a := range args {
		f, err := parseFailure(a)
		if err != nil {
			return err
		}
		s.covers[f] = true
	}
	return nil
}

// judged names promises to which the run has to have applied; "all" stands for
// every promise.
func judged(s *session, args []string) error {
	for _, a := range args {
		p := checker.Promise(a)
		switch {
		case a == "all":
			s.required = append(s.required, checker.Promises...)
		case slices.Contains(checker.Promises, p):
			s.required = append(s.required, p)
		default:
			return fmt.Errorf("promise %q is not known; known are %v", a, checker.Promises)
		}
	}
	return nil
}

func stop(s *session, args []string) error {
	return each(func(d *deployment.Deployment, name string) error {
		return d.Stop(name, stopTimeout)
	})(s, args)
}

func ready(s *session, args []string) error {
	return each(func(d *deployment.Deployment, name string) error {
		return d.WaitReady(s.ctx, name)
	})(s, args)
}

// members waits until the running nodes know each other.
func members(s *session, _ []string) error {
	d, err := s.running()
	if err != nil {
		return err
	}
	return d.WaitMembers(s.ctx)
}

// cut reads "cut FROM TO [in|out|both]".
func cut(s *session, args []string) error {
	l, err := parseLink(args)
	if err != nil {
		return err
	}
	d, err := s.running()
	if err != nil {
		return err
	}
	for _, to := range d.Expand(l.To) {
		l.To = to
		if err := d.Cut(l); err != nil {
			return err
		}
	}
	return nil
}

// heal reads "heal [FROM TO]".
func heal(s *session, args []string) error {
	d, err := s.running()
	if err != nil {
		return err
	}
	if len(args) == 0 {
		return d.Heal(deployment.Link{})
	}
	l, err := parseLink(args)
	if err != nil {
		return err
	}
	return d.Heal(l)
}

func parseLink(args []string) (deployment.Link, error) {
	if len(args) < 2 || len(args) > 3 {
		return deployment.Link{}, errUsage
	}
	l := deployment.Link{From: args[0], To: args[1]}
	if len(args) == 3 {
		l.Direction = relay.Direction(args[2])
	}
	return l, nil
}

// setSpeed reads "speed TARGET FACTOR".
func setSpeed(s *session, args []string) error {
	if len(args) != 2 {
		return errUsage
	}
	speed, err := strconv.ParseFloat(args[1], 64)
	if err != nil {
		return err
	}
	d, err := s.running()
	if err != nil {
		return err
	}
	return d.SetSpeed(args[0], speed)
}

func observe(s *session, _ []string) error {
	return s.observe()
}

// inForce reads "in-force DURATION".
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
