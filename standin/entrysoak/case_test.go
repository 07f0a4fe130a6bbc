package entrysoak

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRegressionsCanBeRead(t *testing.T) {
	is := is.New(t)
	_, err := Regressions()
	is.NoErr(err)
}

func TestCaseIsReadAsItIsWritten(t *testing.T) {
	is := is.New(t)
	want := Case{Seed: 7, Nodes: 40, Length: 15 * time.Second, Faults: FaultNames()}
	loaded := want
	loaded.Load = Load{Share: 0.25, Callers: 200, Events: 60}
	got, err := parseCases("# comment\n\n" + want.String() + " | the cause\n" + loaded.String() + " | the cause\n")
	is.NoErr(err)
	is.Equal(got, []Case{want, loaded})
}

func TestUnusableCaseIsReported(t *testing.T) {
	for _, line := range []string{"7 4 15s kill", "x 4 15s kill | c", "7 x 15s kill | c", "7 4 x kill | c", "7 4 15s none | c", "7 4 kill | c", "7 4 15s kill share=x | c"} {
		is := is.New(t)
		_, err := parseCases(line)
		is.True(err != nil)
	}
}
