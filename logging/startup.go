package logging

import (
	"github.com/phuslu/log"
	"go.uber.org/fx/fxevent"
)

// Startup writes the failures of an fx application as log lines; its other events
// are dropped.
func Startup(logger *log.Logger) fxevent.Logger { return &startup{logger} }

type startup struct {
	logger *log.Logger
}

// LogEvent implements fxevent.Logger.
func (l *startup) LogEvent(event fxevent.Event) {
	switch e := event.(type) {
	case *fxevent.OnStartExecuted:
		l.failed("start_failed", e.Err)
	case *fxevent.OnStopExecuted:
		l.failed("stop_failed", e.Err)
	case *fxevent.Invoked:
		l.failed("build_failed", e.Err)
	case *fxevent.Started:
		l.failed("start_failed", e.Err)
	}
}

func (l *startup) failed(name string, err error) {
	if err != nil {
		l.logger.Error().Str("event", name).Err(err).Msg("")
	}
}
