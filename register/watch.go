package register

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/objects"
)

// maxWatchRetryInterval bounds the time without a watch after the store has
// recovered.
const maxWatchRetryInterval = time.Second

// updateWatch starts or stops the watch of the store according to the manager's
// watchesStore setting.
func (l *loop) updateWatch() {
	on := l.m.watchesStore.Load()
	if !on && l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
	if on && l.stopWatch == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		l.stopWatch = cancel
		l.reads.Go(func() { l.watch(ctx) })
	}
}

// watch passes each change of the head to Run until the context ends.
func (l *loop) watch(ctx context.Context) {
	backOff := objects.NewBackOff()
	backOff.MaxInterval = maxWatchRetryInterval
	var cursor uint64
	for ctx.Err() == nil {
		changes, err := l.m.options.Store.Watch(ctx, HeadKey, cursor, l.m.options.WatchTimeout)
		if err != nil {
			delay.Sleep(ctx, backOff.NextBackOff())
			continue
		}
		backOff.Reset()
		cursor = changes.Cursor
		l.reportChanges(ctx, changes.Objects)
	}
}

func (l *loop) reportChanges(ctx context.Context, objects []objects.Object) {
	for _, o := range objects {
		if o.Key != HeadKey || o.Version == 0 {
			continue
		}
		head, err := decodeHead(o.Value)
		if err != nil {
			l.m.logger.Error().Str("event", "config_head_damaged").Err(err).Msg("")
			continue
		}
		select {
		case l.headChanges <- head:
		case <-ctx.Done():
		}
	}
}
