package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/proof"
	"github.com/primrosemoor/primrosemoor/standin/soak"
)

type proofCommand struct {
	Results string `help:"File of results." default:".run/results.jsonl"`
	Output  string `help:"Page to write." default:"docs/PROOF.md"`
}

// Run implements kong's command interface.
func (c *proofCommand) Run(context.Context) error {
	results, err := proof.ReadResults(c.Results)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return err
	}
	defer file.Close()
	return proof.Write(file, results)
}

type daysCommand struct {
	Journal string    `help:"Folder of the journal." type:"existingdir" default:"journal"`
	Since   time.Time `help:"Leave out what was played before."`
	Output  string    `help:"Page to write." default:"docs/DAYS.md"`
}

// Run implements kong's command interface.
func (c *daysCommand) Run(context.Context) error {
	days, err := proof.ReadDays(c.Journal, c.Since)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Output)
	if err != nil {
		return err
	}
	defer file.Close()
	return proof.WriteDays(file, days, c.Since)
}

type soakCommand struct {
	scenarioFlags
	For time.Duration `help:"Time after which no further scenario begins." default:"10m"`
}

// Run implements kong's command interface. The files of failed scenarios are kept
// in the log folder.
func (c *soakCommand) Run(ctx context.Context) error {
	deadline := time.Now().Add(c.For)
	failed := 0
	for seed := c.Seed; time.Now().Before(deadline); seed++ {
		file := filepath.Join(c.Directory, fmt.Sprintf("soak-%d.txtar", seed))
		if err := os.MkdirAll(c.Directory, 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(file, []byte(soak.Script(seed)), 0o644); err != nil {
			return err
		}
		flags := c.scenarioFlags
		flags.Seed = seed
		passed, err := flags.runFile(ctx, file)
		if err != nil {
			return err
		}
		if passed {
			os.Remove(file)
			continue
		}
		failed++
	}
	if failed > 0 {
		return fmt.Errorf("%d scenarios failed; their files are kept in %s", failed, c.Directory)
	}
	return nil
}
