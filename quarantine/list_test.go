package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/quarantine"
	"github.com/primrosemoor/primrosemoor/schema"
)

const crashing, harmless = 7, 8

var start = time.Unix(1_800_000_000, 0)

func TestSecondDeathQuarantinesIfItRanAlone(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	is.Equal(l.RecordDeath(start, crashing, "vm0", false), quarantine.Suspect)
	is.Equal(l.RecordDeath(start, harmless, "vm0", false), quarantine.Suspect)
	is.True(l.ClearSuspect(harmless))
	is.Equal(l.RecordDeath(start, crashing, "vm1", true), quarantine.Quarantined)
	is.Equal(l.State(start, harmless), quarantine.Clear)
}

func TestTwoDeathsAmongOtherRequestsDoNotQuarantine(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	l.RecordDeath(start, harmless, "vm0", false)
	is.Equal(l.RecordDeath(start, harmless, "vm1", false), quarantine.Suspect)
}

func TestStatesExpire(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	l.RecordDeath(start, crashing, "vm0", false)
	is.Equal(l.State(start.Add(quarantine.SuspectTTL), crashing), quarantine.Clear)
	l.MarkQuarantined(start, crashing)
	is.Equal(l.State(start.Add(quarantine.QuarantineTTL-time.Second), crashing), quarantine.Quarantined)
	is.Equal(l.State(start.Add(quarantine.QuarantineTTL), crashing), quarantine.Clear)
}

func TestRemovalFromTheStoredListReleasesAFingerprint(t *testing.T) {
	is := is.New(t)
	l := quarantine.NewList()
	l.MarkQuarantined(start, crashing)
	l.MergeStored(start, &schema.QuarantineList{})
	is.Equal(l.State(start, crashing), quarantine.Quarantined)
	l.MergeStored(start, &schema.QuarantineList{Entries: l.Unstored(start)})
	is.Equal(len(l.Unstored(start)), 0)
	l.MergeStored(start, &schema.QuarantineList{})
	is.Equal(l.State(start, crashing), quarantine.Clear)
}
