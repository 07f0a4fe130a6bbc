// Package logging builds the logger of a node, which writes one line of key=value
// pairs for each event. The field "event" names the event; the message is empty.
package logging

import (
	"fmt"
	"io"
	stdlog "log"
	"os"
	"strings"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// asyncQueueCapacity is the number of lines that may wait for the writer. A
	// full queue blocks the caller, so that no line is lost.
	asyncQueueCapacity = 8192
	timeField          = "time"
	timeFormat         = "2006-01-02T15:04:05.000Z07:00"
	fileMode           = 0o640
)

// New returns a logger that writes to the file in the settings, or to standard
// error if none is set. It returns a bad-request error for an unknown level, and
// the cause if the file cannot be opened. One goroutine formats and writes the
// lines; Close writes those that are still queued.
func New(settings *schema.LogSettings) (*log.Logger, error) {
	level, err := parseLevel(settings.GetLevel())
	if err != nil {
		return nil, err
	}
	out, err := openOutput(settings.GetFile())
	if err != nil {
		return nil, err
	}
	return newLogger(level, out), nil
}

// Close flushes and closes the writer of a logger.
func Close(logger *log.Logger) error {
	closer, ok := logger.Writer.(io.Closer)
	if !ok {
		return nil
	}
	return closer.Close()
}

// maxErrorBytes bounds the text of one line of a standard logger, which may hold the stack of
// a panic.
const maxErrorBytes = 2 << 10

// NewStandardLogger returns a logger of the standard library that logs each message as the
// error of an event.
func NewStandardLogger(logger *log.Logger, event string) *stdlog.Logger {
	return stdlog.New(standardLog{logger, event}, "", 0)
}

// standardLog writes messages of the standard library's logger.
type standardLog struct {
	logger *log.Logger
	event  string
}

// Write implements io.Writer.
func (s standardLog) Write(p []byte) (int, error) {
	text := strings.TrimSpace(string(p[:min(len(p), maxErrorBytes)]))
	s.logger.Error().Str("event", s.event).Str("error", text).Msg("")
	return len(p), nil
}

// Discard returns a logger that discards all lines.
func Discard() *log.Logger {
	return &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: io.Discard}}
}

func newLogger(level log.Level, out io.Writer) *log.Logger {
	return &log.Logger{
		Level:      level,
		TimeField:  timeField,
		TimeFormat: timeFormat,
		Writer: &log.AsyncWriter{
			ChannelSize: asyncQueueCapacity,
			Writer: &log.ConsoleWriter{
				Formatter: formatLine,
				Writer:    out,
			},
		},
	}
}

func parseLevel(name string) (log.Level, error) {
	switch name {
	case "debug":
		return log.DebugLevel, nil
	case "", "info":
		return log.InfoLevel, nil
	case "warn":
		return log.WarnLevel, nil
	case "error":
		return log.ErrorLevel, nil
	default:
		return 0, fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
			fmt.Sprintf("unknown log.level %q", name), "set it to debug, info, warn or error")
	}
}

// standardError writes to standard error. It has no Close method, so that closing
// the logger leaves standard error open.
type standardError struct{}

// Write implements io.Writer.
func (standardError) Write(p []byte) (int, error) { return os.Stderr.Write(p) }

// StandardOutput writes to the standard output of the process. It has no Close
// method, so that closing the logger leaves standard output open.
type StandardOutput struct{}

// Write implements io.Writer.
func (StandardOutput) Write(p []byte) (int, error) { return os.Stdout.Write(p) }

// openOutput opens the log file for appending, or returns standard error if file is
// empty.
func openOutput(file string) (io.Writer, error) {
	if file == "" {
		return standardError{}, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open log.file: %w", err)
	}
	return f, nil
}
