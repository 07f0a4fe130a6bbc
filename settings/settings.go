// Package settings reads a node's settings file, fills in the defaults and
// checks every value before the node starts. All problems of a file are
// reported together, each with its key, its line, what was found and the remedy.
package settings

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

// Default returns the default of each optional setting. The names and addresses
// of the node have no default.
func Default() *schema.Settings {
	return &schema.Settings{
		Node: &schema.NodeSettings{Cluster: "primrosemoor"},
		Http: &schema.HttpSettings{
			MaxBodyBytes:      4 * mebibyte,
			MaxHeaderBytes:    32 * kibibyte,
			ReadTimeout:       durationpb.New(30 * time.Second),
			IdleTimeout:       durationpb.New(2 * time.Minute),
			MaxStreamDuration: durationpb.New(15 * time.Minute),
			DefaultDeadline:   durationpb.New(30 * time.Second),
		},
		Peer: &schema.PeerSettings{
			DialTimeout: durationpb.New(2 * time.Second),
			CallTimeout: durationpb.New(5 * time.Second),
		},
		Platform: &schema.PlatformSettings{
			CallTimeout:    durationpb.New(3 * time.Second),
			WatchTimeout:   durationpb.New(30 * time.Second),
			CallsPerSecond: 50,
			BytesPerSecond: mebibyte,
		},
		Membership: &schema.MembershipSettings{
			HeartbeatInterval: durationpb.New(300 * time.Millisecond),
			SuspectAfter:      durationpb.New(time.Second),
			ReportInterval:    durationpb.New(500 * time.Millisecond),
			IsolatedAfter:     durationpb.New(15 * time.Second),
		},
		Ledger: &schema.LedgerSettings{
			Shards:                16,
			Retention:             durationpb.New(24 * time.Hour),
			MaxStoredOutcomeBytes: 64 * kibibyte,
			CommitInterval:        durationpb.New(100 * time.Millisecond),
		},
		Scheduling: &schema.SchedulingSettings{
			MaxQueueRequests: 10_000,
			PermitTimeout:    durationpb.New(10 * time.Second),
			FirstTokenGoal:   durationpb.New(810 * time.Millisecond),
			InterTokenGoal:   durationpb.New(27 * time.Millisecond),
			CrossRegionPrice: 0.05,
			MaxGroupTargets:  16,
		},
		Shutdown: &schema.ShutdownSettings{
			ReadinessDelay: durationpb.New(3 * time.Second),
			DrainTimeout:   durationpb.New(5 * time.Minute),
		},
		Log: &schema.LogSettings{Level: "info"},
	}
}

// Load reads a settings file, fills in the defaults and checks the result. The
// error is a *fault.Error of kind bad-request that wraps tomlproto.Problems.
func Load(path string) (*schema.Settings, error) {
	document, err := tomlproto.ReadFile(path)
	if err != nil {
		return nil, invalidSettings(path, err)
	}
	return decode(document)
}

// Parse does the same as Load for the content of a file.
func Parse(file string, content []byte) (*schema.Settings, error) {
	document, err := tomlproto.Parse(file, content)
	if err != nil {
		return nil, invalidSettings(file, err)
	}
	return decode(document)
}

func decode(document *tomlproto.Document) (*schema.Settings, error) {
	s := &schema.Settings{}
	if err := document.Decode(s); err != nil {
		return nil, invalidSettings(document.File, err)
	}
	document.FillDefaults(s, Default())
	if err := check(document, s).Err(); err != nil {
		return nil, invalidSettings(document.File, err)
	}
	return s, nil
}

func invalidSettings(path string, err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, err,
		fmt.Sprintf("settings file %s is refused", path),
		"correct each line named, then run primrosemoor check-settings")
}
