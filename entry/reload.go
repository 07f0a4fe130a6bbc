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

// Reload configures how a running node reloads its settings: Load is called for
// each signal on Requests. With the zero value, settings are read at startup only.
type Reload struct {
	Requests <-chan os.Signal
	Load     func() (*schema.GatewaySettings, error)
}

// ReloadOnSIGHUP returns a Reload that loads the settings again at each SIGHUP.
// From this call on, the signal no longer ends the process.
func ReloadOnSIGHUP(load func() (*schema.GatewaySettings, error)) Reload {
	requests := make(chan os.Signal, 1)
	signal.Notify(requests, syscall.SIGHUP)
	return Reload{Requests: requests, Load: load}
}

// reload reloads the settings at each request, until ctx ends.
func (l *lifecycle) reload(ctx context.Context) {
	for {
		select {
		case <-l.Reload.Requests:
			l.reloadSettings()
		case <-ctx.Done():
			return
		}
	}
}

// reloadSettings loads the settings and applies them. If they are invalid, it logs
// the error and keeps the current ones.
func (l *lifecycle) reloadSettings() {
	s, err := l.Reload.Load()
	if err != nil {
		l.Logger.Error().Str("event", "reload_refused").Err(err).Msg("")
		return
	}
	l.applySettings(s)
	l.Logger.Info().Str("event", "reloaded").Bool("needs_restart", needsRestart(l.Settings, s)).Msg("")
}

// applySettings applies those of the validated settings that take effect without a
// restart: the seeds, the limit of second copies, and the bounds of key revocation, limits and retries.
func (l *lifecycle) applySettings(s *schema.GatewaySettings) {
	b := s.GetBounds()
	l.Datastore.SetRevocation(b.GetRevocation().AsDuration())
	l.Allowance.SetSlack(limitSlack(b))
	l.Retries.ApplyLimits(retryLimits(b))
	l.Hedges.SetMaxShare(s.GetHedging().GetMaxShare())
	l.seeds.Store(&s.Seeds)
}

// needsRestart reports whether updated differs from current in a setting that
// takes effect only after a restart.
func needsRestart(current, updated *schema.GatewaySettings) bool {
	restartOnly := func(s *schema.GatewaySettings) *schema.GatewaySettings {
		c := proto.CloneOf(s)
		c.Seeds, c.Hedging = nil, nil
		b := s.GetBounds()
		c.Bounds = &schema.GatewayBounds{
			Grace: b.GetGrace(), Drain: b.GetDrain(), ExposureShare: b.GetExposureShare(), ExposureSlack: b.GetExposureSlack(), Rollback: b.GetRollback(),
		}
		return c
	}
	return !proto.Equal(restartOnly(current), restartOnly(updated))
}

func limitSlack(b *schema.GatewayBounds) quota.Slack {
	return quota.Slack{Window: b.GetLimitWindow().AsDuration(), Overshoot: b.GetLimitOvershoot(), Fixed: b.GetLimitSlack()}
}

func retryLimits(b *schema.GatewayBounds) quota.RetryLimits {
	return quota.RetryLimits{
		Ratio: b.GetRetryRatio(), Extra: b.GetRetryExtra(), Window: b.GetRetryWindow().AsDuration(),
	}
}
