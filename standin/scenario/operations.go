package scenario

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/standin/deployment"
	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/objectapi"
)

// setPlatform implements "platform STATE [NUMBERS] ...". One command may combine
// several states: down, up, slow MILLIS, lose FRACTION, throttle WRITES READS.
func setPlatform(s *session, args []string) error {
	faults := objectapi.Faults{Seed: s.seed}
	for len(args) > 0 {
		consumed, err := parseState(&faults, args)
		if err != nil {
			return err
		}
		args = args[consumed:]
	}
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	return d.SetPlatform(faults)
}

// parseState parses the first state of the arguments into the faults and returns
// the number of arguments it consumed.
func parseState(faults *objectapi.Faults, args []string) (int, error) {
	switch args[0] {
	case "up":
		return 1, nil
	case "down":
		faults.Down = true
		return 1, nil
	case "slow":
		millis, err := parseNumber(args, 1)
		faults.DelayMillis = int(millis)
		return 2, err
	case "lose":
		fraction, err := parseNumber(args, 1)
		faults.LoseAnswers = fraction
		return 2, err
	case "throttle":
		writes, err := parseNumber(args, 1)
		if err != nil {
			return 0, err
		}
		faults.WritesPerSecond = writes
		faults.ReadsPerSecond, err = parseNumber(args, 2)
		return 3, err
	}
	return 0, fmt.Errorf("platform state %q: want up, down, slow, lose or throttle", args[0])
}

func parseNumber(args []string, i int) (float64, error) {
	if i >= len(args) {
		return 0, errUsage
	}
	return strconv.ParseFloat(args[i], 64)
}

// listLeaving implements "list-leaving TARGET ...": it marks the targets' VMs as
// leaving in the platform's list of VMs, which lags behind. The targets count
// as leaving from the time at which the list shows the change.
func listLeaving(s *session, args []string) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	vms, err := targetVMs(d, args)
	if err != nil {
		return err
	}
	if err := d.ListLeaving(vms...); err != nil {
		return err
	}
	if !delay.Sleep(s.ctx, deployment.VMLag) {
		return s.ctx.Err()
	}
	return s.history.Write(history.Line{Kind: history.KindLeaving, Targets: args})
}

func targetVMs(d *deployment.Deployment, targets []string) ([]string, error) {
	var vms []string
	for _, name := range targets {
		t, err := d.FindTarget(name)
		if err != nil {
			return nil, err
		}
		vms = append(vms, t.VM)
	}
	return vms, nil
}

// pull implements "pull TARGET ...": it marks the targets' VMs as leaving in the
// register. The targets count as leaving from the time at which the edit is
// accepted.
func pull(s *session, args []string) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	vms, err := targetVMs(d, args)
	if err != nil {
		return err
	}
	err = d.Change(s.ctx, func(e *deployment.Edit) { e.Leaving = append(e.Leaving, vms...) })
	if err != nil {
		return err
	}
	return s.history.Write(history.Line{Kind: history.KindLeaving, Targets: args})
}

// apply implements "apply": it applies a new configuration revision that changes
// nothing but its number.
func apply(s *session, _ []string) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	return d.Change(s.ctx, func(*deployment.Edit) {})
}

// applyAtOnce implements "apply-at-once TARGET TARGET": two operators edit the
// register concurrently, both based on the current revision, and each pulls one
// of the targets. An edit may only be refused because of a conflict, and at
// least one must be accepted.
func applyAtOnce(s *session, args []string) error {
	d, err := s.activeDeployment()
	if err != nil {
		return err
	}
	if len(args) != 2 {
		return errUsage
	}
	errs := make(chan error, len(args))
	for _, target := range args {
		go func() { errs <- pull(s, []string{target}) }()
	}
	accepted := 0
	for range args {
		err := <-errs
		if err == nil {
			accepted++
		} else if !strings.Contains(err.Error(), "conflict") {
			return err
		}
	}
	if accepted == 0 {
		return fmt.Errorf("both edits of revision %d were refused", d.Revision())
	}
	return nil
}
