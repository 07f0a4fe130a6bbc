package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPageMatchesLastMeasurement(t *testing.T) {
	is := is.New(t)
	result, err := ReadJSON("../../docs/results/capacity.json")
	is.NoErr(err)
	rendered, err := result.Render()
	is.NoErr(err)
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	is.NoErr(err)
	is.True(strings.Contains(string(page), beginMark+"\n"+rendered+endMark))
}
