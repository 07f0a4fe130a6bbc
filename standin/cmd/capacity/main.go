// Command capacity measures how the cost of a node grows with the size of the
// deployment, and writes the tables of docs/CAPACITY.md.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/primrosemoor/primrosemoor/standin/capacity"
)

type cli struct {
	Page   string `default:"docs/CAPACITY.md" help:"Page whose tables are replaced."`
	JSON   string `default:"docs/results/capacity.json" help:"File for the measurement."`
	Plots  string `default:"docs/results" help:"Folder for the plots."`
	Render bool   `help:"Write the tables from the last measurement, without measuring."`
}

func main() {
	var c cli
	kong.Parse(&c, kong.Description("Measure the capacity of a node and project it to the target."))
	if err := c.run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func (c *cli) run() error {
	result, err := c.measureOrRead()
	if err != nil {
		return err
	}
	if err := result.WritePlots(c.Plots); err != nil {
		return err
	}
	return result.WritePage(c.Page)
}

// measureOrRead returns a new measurement, which it writes to the JSON file, or
// with --render the last one.
func (c *cli) measureOrRead() (*capacity.Result, error) {
	if c.Render {
		return capacity.ReadJSON(c.JSON)
	}
	result, err := capacity.Run(os.Stderr)
	if err != nil {
		return nil, err
	}
	return result, result.WriteJSON(c.JSON)
}
