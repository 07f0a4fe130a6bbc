package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/entrysoak"
)

type entrySoakCommand struct {
	Binaries  string        `help:"Folder of the programs." type:"existingdir" default:".bin"`
	Directory string        `help:"Folder for settings and logs." default:".run/entry-soak"`
	Seed      uint64        `help:"First seed." default:"1"`
	Seeds     int           `help:"Number of seeds." default:"1"`
	Length    time.Duration `help:"Time in which disturbances begin." default:"20s"`
}

// Run implements kong's command interface. It runs one seed after the other and
// returns an error if a promise was violated under any of them.
func (c *entrySoakCommand) Run(ctx context.Context) error {
	failed := 0
	for seed := c.Seed; seed < c.Seed+uint64(c.Seeds); seed++ {
		directory := filepath.Join(c.Directory, fmt.Sprint(seed))
		// Remove the logs of an earlier run of the same seed, so that they are not
		// mistaken for those of this run.
		if err := os.RemoveAll(directory); err != nil {
			return err
		}
		if err := os.MkdirAll(directory, 0o755); err != nil {
			return err
		}
		report, err := entrysoak.Run(ctx, entrysoak.Options{
			Program: filepath.Join(c.Binaries, "primrosemoor"), Directory: directory, Seed: seed, Length: c.Length,
		})
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Printf("seed %d: %d requests, %d answered, %d refused, %d failed, %d disturbances, %d violations\n",
			seed, report.Requests, report.Answered, report.Refused, report.Failed, len(report.Troubles), len(report.Violations))
		for _, v := range report.Violations {
			fmt.Println("  " + v)
		}
		if len(report.Violations) > 0 {
			failed++
			fmt.Println("  disturbances:", report.Troubles, "logs:", directory)
		}
	}
	if failed > 0 {
		return fmt.Errorf("promises were violated with %d of %d seeds", failed, c.Seeds)
	}
	return nil
}
