package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/settings"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

const minimalGateway = `[node]
name = "edge-1"
availability_zone = "munster-1"
[listen]
callers = "10.1.0.25:8221"
readiness = "10.1.0.25:8224"
peers = "10.1.0.25:7600"
[store]
address = "10.200.1.7:8225"
`

func TestMinimalGatewaySettingsGetTheDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.ParseGateway("s.toml", []byte(minimalGateway+"[bounds]\nrevocation = \"5s\"\n"))
	is.NoErr(err)
	is.Equal(s.GetNode().GetName(), "edge-1")
	is.Equal(s.GetBounds().GetRevocation().AsDuration(), 5*time.Second)
	is.Equal(s.GetBounds().GetRetryWindow().AsDuration(), settings.DefaultGateway().GetBounds().GetRetryWindow().AsDuration())
	is.Equal(s.GetLog().GetLevel(), "info")
}

func TestEachFaultOfGatewaySettingsNamesItsKey(t *testing.T) {
	for key, extra := range map[string]string{
		"log.level":                  "[log]\nlevel = \"loud\"\n",
		"bounds.grace":               "[bounds]\ngrace = \"0s\"\n",
		"bounds.retry_window":        "[bounds]\nretry_window = \"-1s\"\n",
		"bounds.revocation":          "[bounds]\nrevocation = \"-5s\"\n",
		"bounds.exposure_share":      "[bounds]\nexposure_share = 1.5\n",
		"bounds.rollback":            "[bounds]\nrollback = \"-5s\"\n",
		"bounds":                     "[bounds]\nlimit_slack = -1.0\n",
		"hedging.max_share":          "[hedging]\nmax_share = 1.5\n",
		"resources.file_descriptors": "[resources]\nfile_descriptors = 10\n",
		"colour":                     "[colour]\nhue = 1\n",
	} {
		t.Run(key, func(t *testing.T) {
			is := is.New(t)
			_, err := settings.ParseGateway("s.toml", []byte(minimalGateway+extra))
			var problems tomlproto.Problems
			is.True(errors.As(err, &problems))
			is.Equal(len(problems), 1)
			is.Equal(problems[0].Key, key)
			var f *fault.Error
			is.True(errors.As(err, &f))
		})
	}
}

func TestMissingGatewaySettingsAreAllNamed(t *testing.T) {
	is := is.New(t)
	_, err := settings.ParseGateway("s.toml", nil)
	var problems tomlproto.Problems
	is.True(errors.As(err, &problems))
	missing := make(map[string]bool)
	for _, p := range problems {
		missing[p.Key] = true
	}
	for _, key := range []string{"node.name", "node.availability_zone", "listen.callers", "listen.readiness", "listen.peers", "store.address"} {
		is.True(missing[key])
	}
}
