package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/entrysoak"
)

// maxPrintedViolations bounds what a run prints; one cause can violate many promises.
const maxPrintedViolations = 40

type entrySoakCommand struct {
	Binaries    string        `help:"Folder of the programs." type:"existingdir" default:".bin"`
	Directory   string        `help:"Folder for settings and logs." default:".run/entry-soak"`
	Seed        uint64        `help:"First seed." default:"1"`
	Seeds       int           `help:"Number of seeds." default:"1"`
	Length      time.Duration `help:"Time in which disturbances begin." default:"20s"`
	Nodes       int           `help:"Number of entry nodes." default:"4"`
	Faults      []string      `help:"Kinds of disturbances to choose from; all if empty."`
	Share       float64       `help:"Share of a processor core that each node gets; 0 is no limit."`
	Callers     int           `help:"Number of further callers, who send one request right after the other."`
	Events      int           `help:"Number of events of a stream; 0 is the usual one."`
	Old         string        `help:"Another build of the program, which the nodes run at first; they are replaced one after the other." type:"existingfile"`
	Regressions bool          `help:"Run the runs that once violated a promise instead."`
}

// Run implements kong's command interface. It runs one case after the other and
// returns an error if a promise was violated under any of them.
func (c *entrySoakCommand) Run(ctx context.Context) error {
	cases, err := c.cases()
	if err != nil {
		return err
	}
	failed := 0
	for _, soakCase := range cases {
		kept, err := c.runCase(ctx, soakCase)
		if err != nil {
			return fmt.Errorf("seed %d: %w", soakCase.Seed, err)
		}
		if !kept {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("promises were violated in %d of %d runs", failed, len(cases))
	}
	return nil
}

func (c *entrySoakCommand) cases() ([]entrysoak.Case, error) {
	if c.Regressions {
		return entrysoak.Regressions()
	}
	faults := c.Faults
	if len(faults) == 0 {
		faults = entrysoak.FaultNames()
	}
	var cases []entrysoak.Case
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		cases = append(cases, entrysoak.Case{Seed: seed, Nodes: c.Nodes, Length: c.Length, Faults: faults, Load: entrysoak.Load{Share: c.Share, Callers: c.Callers, Events: c.Events}})
	}
	return cases, nil
}

// runCase runs one case, prints its results and reports whether all promises were kept.
func (c *entrySoakCommand) runCase(ctx context.Context, soakCase entrysoak.Case) (bool, error) {
	directory := filepath.Join(c.Directory, fmt.Sprintf("%d-%d", soakCase.Seed, soakCase.Nodes))
	// Remove the logs of an earlier run of the same seed, so that they are not
	// mistaken for those of this run.
	if err := os.RemoveAll(directory); err != nil {
		return false, err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return false, err
	}
	report, err := entrysoak.Run(ctx, entrysoak.Options{
		Program: filepath.Join(c.Binaries, "primrosemoor"), OldProgram: c.Old, Directory: directory, Case: soakCase,
	})
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d nodes, %d requests, %d answered, %d refused, %d failed, %d disturbances, %d violations\n",
		soakCase.Seed, soakCase.Nodes, report.Requests, report.Answered, report.Refused, report.Failed, len(report.Disturbances), len(report.Violations))
	for _, v := range report.Violations[:min(len(report.Violations), maxPrintedViolations)] {
		fmt.Println("  " + v)
	}
	if len(report.Violations) > 0 {
		fmt.Println("  disturbances:", report.Disturbances, "logs:", directory)
		fmt.Println("  case:", soakCase)
	}
	return len(report.Violations) == 0, nil
}
