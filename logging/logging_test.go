package logging_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestEventIsWrittenAsOneKeyValueLine(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	logger, err := logging.New(&schema.LogSettings{Level: "info", File: file})
	is.NoErr(err)
	logger.Debug().Str("event", "hidden").Msg("")
	logger.Info().Str("event", "request").Str("target", "a b\n=c").Int("tokens", 7).Bool("stream", true).Msg("")
	logger.Info().Str("event", "second").Msg("")
	is.NoErr(logging.Close(logger))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	lines := strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.HasPrefix(lines[0], "time="))
	is.True(strings.Contains(lines[0], ` event=request target="a b\n=c" tokens=7 stream=true`))
	is.True(strings.Contains(lines[1], " event=second"))
}

func TestUnknownLevelIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := logging.New(&schema.LogSettings{Level: "loud"})
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_BAD_REQUEST)
}

func TestStandardLoggerWritesMessagesAsErrorsOfAnEvent(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "log")
	logger, err := logging.New(&schema.LogSettings{File: file})
	is.NoErr(err)
	logging.NewStandardLogger(logger, "server_error").Printf("http: panic serving: %s", strings.Repeat("x", 10_000))
	is.NoErr(logging.Close(logger))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(text), ` level=error event=server_error error="http: panic serving: xxx`))
	is.True(len(text) < 3_000)
}
