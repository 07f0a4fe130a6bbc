package scenario

import (
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
)

// trafficOptions holds the flags of the traffic command.
type trafficOptions struct {
	Rate     float64
	Duration time.Duration
	Entry    string
}

const (
	defaultTrafficRate     = 40.0
	defaultTrafficDuration = 8 * time.Second
	// trafficResends is enough for callers to keep resending until the failures
	// that scenarios inject are over.
	trafficResends = 40
)

// trafficClass is one kind of request within the traffic mix.
type trafficClass struct {
	name  string
	share float64
	flags []string
}

// trafficMix approximates the traffic of both deployments: mostly chats and
// lookups, some bookings, and reports on the lowest tier.
var trafficMix = []trafficClass{
	{"guests", 0.3, []string{"-team=guests", "-tokens=24"}},
	{"whole", 0.1, []string{"-team=office", "-kind=whole", "-tokens=12"}},
	{"reports", 0.1, []string{"-team=reports", "-tokens=60", "-prompt=2000"}},
	{"unkeyed", 0.1, []string{"-team=subscribers", "-no-key"}},
	{"bookings", 0.2, []string{"-team=guests", "-kind=book"}},
	{"charges", 0.1, []string{"-team=office", "-kind=charge"}},
	{"lookups", 0.1, []string{"-team=shed", "-kind=lookup"}},
}

// traffic implements "traffic NAME [flags]": it sends the traffic mix in the
// background, one group per class, named NAME-guests and so on.
func (s *session) traffic(args []string) error {
	if len(args) == 0 {
		return errUsage
	}
	var o trafficOptions
	flags := flag.NewFlagSet("traffic", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Float64Var(&o.Rate, "rate", defaultTrafficRate, "requests per second")
	flags.DurationVar(&o.Duration, "for", defaultTrafficDuration, "time over which requests are sent")
	flags.StringVar(&o.Entry, "entry", entryAny, "entry node")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	for _, class := range trafficMix {
		rate := o.Rate * class.share
		sendArgs := []string{
			fmt.Sprintf("%s-%s", args[0], class.name),
			"-background",
			"-entry=" + o.Entry,
			fmt.Sprintf("-rate=%g", rate),
			fmt.Sprintf("-count=%d", max(1, int(rate*o.Duration.Seconds()))),
			fmt.Sprintf("-resend=%d", trafficResends),
		}
		if err := s.send(append(sendArgs, class.flags...)); err != nil {
			return err
		}
	}
	return nil
}

// overload implements "overload NAME": it sends requests of every tier, lowest
// tier first, many more in total than the engines can start before the
// deadline.
func (s *session) overload(args []string) error {
	if len(args) != 1 {
		return errUsage
	}
	classes := []trafficClass{
		{"reports", 0, []string{"-team=reports"}},
		{"office", 0, []string{"-team=office"}},
		{"guests", 0, []string{"-team=guests"}},
	}
	for _, class := range classes {
		sendArgs := []string{
			args[0] + "-" + class.name, "-background", "-no-key",
			fmt.Sprintf("-count=%d", overloadCount), fmt.Sprintf("-parallel=%d", overloadCount),
			fmt.Sprintf("-tokens=%d", overloadTokens), fmt.Sprintf("-prompt=%d", overloadPrompt),
			"-deadline=" + overloadDeadline.String(),
		}
		if err := s.send(append(sendArgs, class.flags...)); err != nil {
			return err
		}
		if !delay.Sleep(s.ctx, overloadGap) {
			return s.ctx.Err()
		}
	}
	return nil
}

// Parameters of each tier's group in an overload.
const (
	overloadCount    = 150
	overloadTokens   = 40
	overloadPrompt   = 3000
	overloadDeadline = 4 * time.Second
	// overloadGap separates the groups by more than the checker's tolerance for
	// propagation delay.
	overloadGap = 300 * time.Millisecond
)

// settle implements "settle": it waits for every group.
func (s *session) settle(args []string) error {
	if len(args) > 0 {
		return errUsage
	}
	for name := range s.groups {
		if err := s.waitForGroup(name); err != nil {
			return err
		}
	}
	return nil
}
