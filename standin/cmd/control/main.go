// Command control measures the cost of the ledger and of membership, and writes
// the results to a JSON file.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/primrosemoor/primrosemoor/standin/control"
)

type commands struct {
	Ledger     ledgerCommand     `cmd:"" help:"Measure claims against writes of the object API."`
	Membership membershipCommand `cmd:"" help:"Measure the cost of membership against the number of nodes."`
}

type ledgerCommand struct {
	Shards   []uint32      `help:"Numbers of shards." default:"1,4,16,64"`
	Rates    []int         `help:"Claims offered each second." default:"100,1000,6100"`
	Interval time.Duration `help:"Commit interval." default:"250ms"`
	Duration time.Duration `help:"Duration of each case." default:"5s"`
	Out      string        `help:"Result file." required:""`
}

// Run measures every combination of number of shards and rate.
func (c *ledgerCommand) Run() error {
	var results []control.LedgerResult
	for _, shards := range c.Shards {
		for _, rate := range c.Rates {
			r := control.MeasureLedger(context.Background(), control.LedgerCase{
				Shards: shards, OfferedPerSecond: rate, CommitInterval: c.Interval, Duration: c.Duration,
			})
			fmt.Fprintf(os.Stderr, "%+v\n", r)
			results = append(results, r)
		}
	}
	return writeResults(c.Out, results)
}

type membershipCommand struct {
	PerZone   []int         `help:"Nodes in each zone." default:"4,8,16,32"`
	Zones     []int         `help:"Numbers of zones." default:"1,2"`
	Heartbeat time.Duration `help:"Heartbeat interval." default:"300ms"`
	Suspect   time.Duration `help:"Time after which a node is suspected." default:"1s"`
	Report    time.Duration `help:"Report interval." default:"500ms"`
	Revision  time.Duration `help:"Time between two configuration revisions; 0 means none." default:"0s"`
	Duration  time.Duration `help:"Duration of each case." default:"5s"`
	Out       string        `help:"Result file." required:""`
}

// Run measures every combination of numbers of zones and of nodes per zone.
func (c *membershipCommand) Run() error {
	var results []control.MembershipResult
	for _, zones := range c.Zones {
		for _, perZone := range c.PerZone {
			r := control.MeasureMembership(context.Background(), control.MembershipCase{
				Zones: zones, PerZone: perZone, RevisionEvery: c.Revision, Duration: c.Duration,
				Settings: control.Intervals(c.Heartbeat, c.Suspect, c.Report),
			})
			fmt.Fprintf(os.Stderr, "%+v\n", r)
			results = append(results, r)
		}
	}
	return writeResults(c.Out, results)
}

func writeResults(file string, results any) error {
	raw, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(file, append(raw, '\n'), 0o644)
}

func main() {
	var c commands
	kongCtx := kong.Parse(&c, kong.Name("control"), kong.UsageOnError())
	kongCtx.FatalIfErrorf(kongCtx.Run())
}
