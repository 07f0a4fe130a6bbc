package register

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/objects"
)

// maxWatchRetry bounds the time without a watch once the store is back.
const maxWatchRetry = time.Second

// setWatch starts or ends the watch of the store as the node's role asks.
func (l *loop) setWatch() {
	on := l.m.watcher.Load()
	if !on && l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
	if on && l.stopWatch == nil {
		ctx, cancel := context.WithCancel(l.ctx)
		l.stopWatch = cancel
		l.readers.Go(func() { l.watch(ctx) })
	}
}

// watch reports each change of the head to Run until the context ends.
func (l *loop) watch(ctx context.Context) {
	wait := objects.NewBackOff()
	wait.MaxInterval = maxWatchRetry
	var cursor uint64
	for ctx.Err() == nil {
		changes, err := l.m.options.Store.Watch(ctx, HeadKey, cursor, l.m.options.WatchTimeout)
		if err != nil {
			delay.Sleep(ctx, wait.NextBackOff())
			continue
		}
		wait.Reset()
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
		case l.changed <- head:
		case <-ctx.Done():
		}
	}
}
