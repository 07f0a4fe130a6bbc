package logging

import (
	"github.com/phuslu/log"
	"go.uber.org/fx/fxevent"
)

// NewFxLogger returns an fx event logger that logs the failures of an fx
// application and drops its other events.
func NewFxLogger(logger *log.Logger) fxevent.Logger { return &fxLogger{logger} }

type fxLogger struct {
	logger *log.Logger
}

// LogEvent implements fxevent.Logger.
func (l *fxLogger) LogEvent(event fxevent.Event) {
	switch e := event.(type) {
	case *fxevent.OnStartExecuted:
		l.logFailure("start_failed", e.Err)
	case *fxevent.OnStopExecuted:
		l.logFailure("stop_failed", e.Err)
	case *fxevent.Invoked:
		l.logFailure("build_failed", e.Err)
	case *fxevent.Started:
		l.logFailure("start_failed", e.Err)
	}
}

func (l *fxLogger) logFailure(name string, err error) {
	if err != nil {
		l.logger.Error().Str("event", name).Err(err).Msg("")
	}
}
