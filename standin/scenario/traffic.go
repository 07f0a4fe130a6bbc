package scenario

import (
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
)

// trafficOptions are the flags of the traffic command.
type trafficOptions struct {
	Rate     float64
	Duration time.Duration
	Entry    string
}

const (
	defaultTrafficRate     = 40.0
	defaultTrafficDuration = 8 * time.Second
	// trafficResends lets callers outlast the failures that scenarios bring.
	trafficResends = 40
)

// trafficPart is one kind of request within the mix.
type trafficPart struct {
	name  string
	share float64
	flags []string
}

// mix is the traffic of both deployments: mostly chats and lookups, some
// bookings, and reports on the lowest tier.
var mix = []trafficPart{
	{"guests", 0.3, []string{"-team=guests", "-tokens=24"}},
	{"whole", 0.1, []string{"-team=office", "-kind=whole", "-tokens=12"}},
	{"reports", 0.1, []string{"-team=reports", "-tokens=60", "-prompt=2000"}},
	{"unkeyed", 0.1, []string{"-team=subscribers", "-no-key"}},
	{"bookings", 0.2, []string{"-team=guests", "-kind=book"}},
	{"charges", 0.1, []string{"-team=office", "-kind=charge"}},
	{"lookups", 0.1, []string{"-team=shed", "-kind=lookup"}},
}

// traffic reads "traffic NAME [flags]" and sends the mix in the background, in
// groups named NAME-guests and so on.
func (s *session) traffic(args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	var o trafficOptions
	flags := flag.NewFlagSet("traffic", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Float64Var(&o.Rate, "rate", defaultTrafficRate, "requests a second")
	flags.DurationVar(&o.Duration, "for", defaultTrafficDuration, "time over which requests are sent")
	flags.StringVar(&o.Entry, "entry", entryAny, "node that is asked")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	for _, part := range mix {
		rate := o.Rate * part.share
		group := []string{
			fmt.Sprintf("%s-%s", args[0], part.name),
			"-background",
			"-entry=" + o.Entry,
			fmt.Sprintf("-rate=%g", rate),
			fmt.Sprintf("-count=%d", max(1, int(rate*o.Duration.Seconds()))),
			fmt.Sprintf("-resend=%d", trafficResends),
		}
		if err := s.send(append(group, part.flags...)); err != nil {
			return err
		}
	}
	return nil
}

// overload reads "overload NAME": requests of every tier at once, many more
// than the engines can begin before their deadline, the lowest tier first.
func (s *session) overload(args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	waves := []trafficPart{
		{"reports", 0, []string{"-team=reports"}},
		{"office", 0, []string{"-team=office"}},
		{"guests", 0, []string{"-team=guests"}},
	}
	for _, w := range waves {
		group := []string{
			args[0] + "-" + w.name, "-background", "-no-key",
			fmt.Sprintf("-count=%d", overloadCount), fmt.Sprintf("-parallel=%d", overloadCount),
			fmt.Sprintf("-tokens=%d", overloadTokens), fmt.Sprintf("-prompt=%d", overloadPrompt),
			"-deadline=" + overloadDeadline.String(),
		}
		if err := s.send(append(group, w.flags...)); err != nil {
			return err
		}
		if !delay.Sleep(s.ctx, overloadGap) {
			return s.ctx.Err()
		}
	}
	return nil
}

// Sizes of an overload.
const (
	overloadCount    = 150
	overloadTokens   = 40
	overloadPrompt   = 3000
	overloadDeadline = 4 * time.Second
	// overloadGap separates the tiers by more than the checker's allowance.
	overloadGap = 300 * time.Millisecond
)

// settle waits for every group.
func (s *session) settle(args []string) error {
	if len(args) > 0 {
		return errUsage
	}
	for name := range s.groups {
		if err := s.wait(name); err != nil {
			return err
		}
	}
	return nil
}
