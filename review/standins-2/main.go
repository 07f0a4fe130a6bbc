// Command standins2 runs the cases of the second review: small stand-ins for the platform's
// store, its workers and its requesters, against processes of primrosemoor.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var cases = map[string]func(folder string, trouble bool) (broken bool, err error){
	"versions": runVersions,
	"bodies":   runBodies,
	"helper":   runHelper,
	"takeup":   runTakeUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins2 CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	broken, err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}
