package soak_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/soak"
)

func TestScriptIsDeterministicAndEndsEveryFailure(t *testing.T) {
	is := is.New(t)
	is.Equal(soak.Script(7), soak.Script(7))
	is.True(soak.Script(7) != soak.Script(8))
	for seed := range uint64(200) {
		script := soak.Script(seed)
		is.Equal(strings.Count(script, "freeze "), strings.Count(script, "thaw "))
		is.True(strings.Count(script, "restart ") >= strings.Count(script, "kill-process "))
	}
}
