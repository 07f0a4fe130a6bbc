package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/loadreport"
)

func TestReportsSurviveTheMesh(t *testing.T) {
	is := is.New(t)
	r := loadreport.Report{Pace: 2.5, Extra: 3, At: time.Unix(1000, 0)}
	is.Equal(decodeTargetReport(encodeTargetReport(r, true)), r)
	wrong := loadreport.Report{Pace: 1e300, At: r.At}
	is.Equal(decodeTargetReport(encodeTargetReport(wrong, true)).Pace, loadreport.MaxPace)
}

// A member of a large zone that sends to a target by its own choice knows only its own
// requests there.
func TestOnlyTheOwnerOfAZoneReportsRequestsOfOthers(t *testing.T) {
	is := is.New(t)
	r := decodeTargetReport(encodeTargetReport(loadreport.Report{Pace: 2.5, Extra: 3, At: time.Unix(1000, 0)}, false))
	is.Equal(r.Extra, 0)
	is.Equal(r.Pace, 2.5)
}
