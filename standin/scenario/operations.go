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

// setPlatform reads "platform STATE [NUMBERS]", with several states joined in
// one command: down, up, slow MILLIS, lose FRACTION, throttle WRITES READS.
func setPlatform(s *session, args []string) error {
	f := objectapi.Faults{Seed: s.seed}
	for len(args) > 0 {
		used, err := applyState(&f, args)
		if err != nil {
			return err
		}
		args = args[used:]
	}
	d, err := s.running()
	if err != nil {
		return err
	}
	return d.SetPlatform(f)
}

// applyState reads one state and returns the number of arguments it used.
func applyState(f *objectapi.Faults, args []string) (int, error) {
	switch args[0] {
	case "up":
		return 1, nil
	case "down":
		f.Down = true
		return 1, nil
	case "slow":
		millis, err := number(args, 1)
		f.DelayMillis = int(millis)
		return 2, err
	case "lose":
		fraction, err := number(args, 1)
		f.LoseAnswers = fraction
		return 2, err
	case "throttle":
		writes, err := number(args, 1)
		if err != nil {
			return 0, err
		}
		f.WritesPerSecond = writes
		f.ReadsPerSecond, err = number(args, 2)
		return 3, err
	}
	return 0, fmt.Errorf("platform state %q: want up, down, slow, lose or throttle", args[0])
}

func number(args []string, i int) (float64, error) {
	if i >= len(args) {
		return 0, errUsage
	}
	return strconv.ParseFloat(args[i], 64)
}

// listLeaving marks the VMs of targets in the platform's lagging list. They
// count as leaving from the time that the list shows them.
func listLeaving(s *session, args []string) error {
	d, err := s.running()
	if err != nil {
		return err
	}
	vms, err := vmsOf(d, args)
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

func vmsOf(d *deployment.Deployment, targets []string) ([]string, error) {
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

// pull marks the VMs of targets as leaving in the register. The targets count
// as leaving from the time that the edit is accepted.
func pull(s *session, args []string) error {
	d, err := s.running()
	if err != nil {
		return err
	}
	vms, err := vmsOf(d, args)
	if err != nil {
		return err
	}
	err = d.Change(s.ctx, func(e *deployment.Edit) { e.Leaving = append(e.Leaving, vms...) })
	if err != nil {
		return err
	}
	return s.history.Write(history.Line{Kind: history.KindLeaving, Targets: args})
}

// apply accepts a new revision without further change.
func apply(s *session, _ []string) error {
	d, err := s.running()
	if err != nil {
		return err
	}
	return d.Change(s.ctx, func(*deployment.Edit) {})
}

// applyAtOnce lets two operators edit the register at the same moment, both
// from the revision in force: each pulls one of the two targets named. An edit
// that is refused must be refused as a conflict.
func applyAtOnce(s *session, args []string) error {
	d, err := s.running()
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
