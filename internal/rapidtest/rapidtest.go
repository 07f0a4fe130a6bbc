// Package rapidtest makes property tests give the same verdict every time: it
// fixes the seed and the number of histories unless flags set them.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests; it is called by TestMain.
func Main(m *testing.M, seed, checks string) {
	flag.Parse()
	setDefault("rapid.seed", seed)
	setDefault("rapid.checks", checks)
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line did.
func setDefault(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
