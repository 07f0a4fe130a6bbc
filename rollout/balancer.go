package rollout

import (
	"context"
	"errors"
	"time"

	"github.com/primrosemoor/primrosemoor/balance"
)

// tryWait is how long a request that is to go to a version under trial waits for a target of
// it. After that it goes to another version: callers do not wait for a trial.
const tryWait = 50 * time.Millisecond

// noVersionRetryAfter is the time after which a service may have got targets of the version
// that a request needs.
const noVersionRetryAfter = time.Second

// Acquirer chooses targets.
type Acquirer interface {
	Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error)
}

// Balancer keeps the requests of this node to the versions that they may go to. The choice
// among these is that of Next.
type Balancer struct {
	Manager *Manager
	Next    Acquirer
}

var (
	errTryOver      = errors.New("rollout: no target of the version under trial in time")
	errPhaseChanged = errors.New("rollout: the phase has changed")
)

// Acquire waits for a target. The error is a *balance.Refusal, or the cause of ctx.
func (b *Balancer) Acquire(ctx context.Context, w *balance.Work) (*balance.Grant, error) {
	mayTry, anyVersion := true, false
	for {
		a := b.Manager.access(w, mayTry, anyVersion)
		if a.refused {
			return nil, &balance.Refusal{Reason: balance.ReasonNoVersion, RetryAfter: noVersionRetryAfter}
		}
		grant, err := b.acquire(ctx, w, a)
		if err != nil && a.try != "" {
			b.Manager.giveBack(w.Service, a.try, w.Route)
		}
		var refusal *balance.Refusal
		switch {
		case err == nil:
			r, ok := b.Manager.begin(w, grant.Target.Version, a.try != "", anyVersion)
			if ok && r == nil {
				return grant, nil
			}
			if ok && a.try != "" {
				b.Manager.options.Logger.Info().Str("event", "rollout_tried").Str("request", w.ID).Str("service", w.Service).
					Str("route", w.Route).Str("version", a.try).Str("target", grant.Target.ID).Msg("")
			}
			if ok {
				return balance.NewGrant(grant.Target, grant.Prediction, &observer{
					Reporter: grant.Reporter(), manager: b.Manager, rollout: r, work: w, target: grant.Target, sentAt: b.Manager.options.Now(),
				}), nil
			}
			grant.Done(balance.Unsent)
			if w.Only != "" {
				return nil, &balance.Refusal{Reason: balance.ReasonNoVersion, RetryAfter: noVersionRetryAfter}
			}
		case ctx.Err() != nil:
			return nil, err
		case errors.Is(err, errPhaseChanged):
		case a.try != "":
			mayTry = false
		case errors.As(err, &refusal) && refusal.Reason == balance.ReasonNoVersion && len(a.barred) > 0 && !anyVersion:
			anyVersion = true
		default:
			return nil, err
		}
	}
}

// acquire waits for a target of the versions that a request may go to, until the phase
// changes.
func (b *Balancer) acquire(ctx context.Context, w *balance.Work, a access) (*balance.Grant, error) {
	if !a.tracked {
		return b.Next.Acquire(ctx, w)
	}
	narrowed := *w
	narrowed.Barred = a.barred
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if a.try != "" {
		narrowed.Version = a.try
		defer time.AfterFunc(tryWait, func() { cancel(errTryOver) }).Stop()
	}
	if a.recheck > 0 {
		defer time.AfterFunc(a.recheck, func() { cancel(errPhaseChanged) }).Stop()
	}
	if a.changed != nil {
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-a.changed:
				cancel(errPhaseChanged)
			case <-done:
			}
		}()
	}
	grant, err := b.Next.Acquire(ctx, &narrowed)
	if err != nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return grant, err
}
