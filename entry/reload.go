package entry

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/schema"
)

// Reload says when and from where a running node reads its settings anew. The
// zero value reads them at the start only.
type Reload struct {
	Requests <-chan os.Signal
	Load     func() (*schema.GatewaySettings, error)
}

// ReloadAtHangup reads the settings anew at each SIGHUP from now on; the signal
// no longer ends the process.
func ReloadAtHangup(load func() (*schema.GatewaySettings, error)) Reload {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGHUP)
	return Reload{Requests: requests, Load: load}
}

// reload applies new settings until ctx ends.
func (l *lifecycle) reload(ctx context.Context) {
	for {
		select {
		case <-l.Reload.Requests:
			l.applyFile()
		case <-ctx.Done():
			return
		}
	}
}

// applyFile reads the settings and applies them, or keeps the present ones if
// the file has a fault.
func (l *lifecycle) applyFile() {
	s, err := l.Reload.Load()
	if err != nil {
		l.Logger.Error().Str("event", "reload_refused").Err(err).Msg("")
		return
	}
	l.ApplyConfig(s)
	l.Logger.Info().Str("event", "reloaded").Bool("needs_restart", needsRestart(l.Settings, s)).Msg("")
}

// ApplyConfig puts settings in force that have been checked: the seeds, and the
// bounds of keys, limits and retries. The others are in force after a restart.
func (l *lifecycle) ApplyConfig(s *schema.GatewaySettings) {
	b := s.GetBounds()
	l.Datastore.SetRevocation(b.GetRevocation().AsDuration())
	l.Allowance.SetSlack(limitSlack(b))
	l.Retries.ApplyLimits(retryLimits(b))
	l.seeds.Store(&s.Seeds)
}

// needsRestart reports whether settings differ in what a running node keeps.
func needsRestart(running, s *schema.GatewaySettings) bool {
	kept := func(s *schema.GatewaySettings) *schema.GatewaySettings {
		c := proto.CloneOf(s)
		c.Seeds = nil
		c.Bounds = &schema.GatewayBounds{Grace: s.GetBounds().GetGrace(), Drain: s.GetBounds().GetDrain()}
		return c
	}
	return !proto.Equal(kept(running), kept(s))
}

func limitSlack(b *schema.GatewayBounds) quota.Slack {
	return quota.Slack{Window: b.GetLimitWindow().AsDuration(), Overshoot: b.GetLimitOvershoot(), Fixed: b.GetLimitSlack()}
}

func retryLimits(b *schema.GatewayBounds) quota.RetryLimits {
	return quota.RetryLimits{
		Ratio: b.GetRetryRatio(), Extra: float64(b.GetRetryExtra()), Window: b.GetRetryWindow().AsDuration(),
	}
}
