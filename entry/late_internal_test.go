package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLateProcessIsReportedOnceASecond(t *testing.T) {
	is := is.New(t)
	start := time.Unix(0, 0)
	l := lateness{interval: 100 * time.Millisecond, checked: start}
	at := func(ms int) (time.Duration, bool) {
		return l.observe(start.Add(time.Duration(ms) * time.Millisecond))
	}
	_, report := at(150)
	is.True(!report)
	delay, report := at(500)
	is.True(report)
	is.Equal(delay, 250*time.Millisecond)
	_, report = at(1100)
	is.True(!report)
	delay, report = at(1550) // The longest delay since the last report.
	is.True(report)
	is.Equal(delay, 500*time.Millisecond)
	_, report = at(2700)
	is.True(report)
}
