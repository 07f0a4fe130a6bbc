package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/checker"
	"github.com/primrosemoor/primrosemoor/standin/scenario"
)

// scenarioFlags are the common flags of the commands that run scenarios.
type scenarioFlags struct {
	Binaries  string        `help:"Folder of the built programs." default:".bin" type:"existingdir"`
	Directory string        `help:"Folder for logs." default:".run" type:"path"`
	Results   string        `help:"File to append results to, one JSON line each."`
	Seed      uint64        `help:"Seed of every random choice." default:"1"`
	Size      string        `help:"Deployment size in place of the one that a scenario names."`
	Limit     time.Duration `help:"Bound on one scenario's time." default:"120s"`
	Keep      bool          `help:"Keep the logs of runs that passed."`
}

// runFile runs one scenario, appends its result to the results file, and reports
// whether it passed.
func (f *scenarioFlags) runFile(ctx context.Context, file string) (bool, error) {
	result := scenario.Run(ctx, file, scenario.Options{
		Binaries:  f.Binaries,
		Directory: f.Directory,
		Seed:      f.Seed,
		Size:      f.Size,
		Limit:     f.Limit,
		Output:    os.Stdout,
		Keep:      f.Keep,
	})
	if err := appendResult(f.Results, result); err != nil {
		return false, err
	}
	if ctx.Err() != nil {
		return false, fmt.Errorf("interrupted: %w", ctx.Err())
	}
	return result.Passed, nil
}

type scenarioCommand struct {
	scenarioFlags
	Files []string `arg:"" type:"existingfile" help:"Scenario files."`
}

// Run implements kong's command interface.
func (c *scenarioCommand) Run(ctx context.Context) error {
	failed := 0
	for _, file := range c.Files {
		passed, err := c.runFile(ctx, file)
		if err != nil {
			return err
		}
		if !passed {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d scenarios failed", failed, len(c.Files))
	}
	return nil
}

// appendResult appends a result as one JSON line; an empty path discards it.
func appendResult(path string, result scenario.Result) error {
	if path == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer file.Close()
	return json.NewEncoder(file).Encode(result)
}

type checkCommand struct {
	Directory string `arg:"" type:"existingdir" help:"Folder of a run."`
}

// Run implements kong's command interface.
func (c *checkCommand) Run(context.Context) error {
	report, err := checker.JudgeDirectory(c.Directory)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(report); err != nil {
		return err
	}
	if report.Failed() {
		return fmt.Errorf("promises were violated")
	}
	return nil
}
