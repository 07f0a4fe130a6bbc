// Package rapidtest makes property tests reproducible: it fixes the seed and the
// number of checks unless flags set them.
package rapidtest

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with default values for -rapid.seed and
// -rapid.checks, and exits. It is called by TestMain.
func Main(m *testing.M, seed, checks string) {
	flag.Parse()
	setDefault("rapid.seed", seed)
	setDefault("rapid.checks", checks)
	os.Exit(m.Run())
}

// setDefault sets a flag unless it was set on the command line.
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
