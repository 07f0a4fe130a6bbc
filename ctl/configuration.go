package ctl

import (
	"context"
	"fmt"
	"os/user"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

// checkCommand validates configuration files without a cluster.
type checkCommand struct {
	Files []string `arg:"" help:"Register and rule files; their lists are joined."`
}

// checkResult is the JSON result of check.
type checkResult struct {
	Zones    int      `json:"availability_zones"`
	Services int      `json:"services"`
	Teams    int      `json:"teams"`
	VMs      int      `json:"vms"`
	Warnings []string `json:"warnings"`
}

// Run implements the command.
func (c *checkCommand) Run(a *app) error {
	config, err := register.Load(c.Files...)
	if err != nil {
		return err
	}
	result := checkResult{
		Zones:    len(config.GetAvailabilityZones()),
		Services: len(config.GetServices()),
		Teams:    len(config.GetTeams()),
		VMs:      len(config.GetVms()),
		Warnings: []string{},
	}
	for _, warning := range register.Warnings(config) {
		result.Warnings = append(result.Warnings, warning.String())
		fmt.Fprintln(a.Stderr, "warning:", warning)
	}
	if a.json {
		return a.printJSON(result)
	}
	_, err = fmt.Fprintf(a.Stdout, "valid: %d availability zones, %d services, %d teams, %d VMs\n",
		result.Zones, result.Services, result.Teams, result.VMs)
	return err
}

// authorFlags identify the author of a change.
type authorFlags struct {
	Author string `help:"Name recorded with the revision; default: the user's." env:"PRIMROSEMOOR_AUTHOR"`
}

// authorName returns the author: the flag, or else the user's login name.
func (f authorFlags) authorName() string {
	if f.Author != "" {
		return f.Author
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// applyCommand updates the accepted configuration to match the files.
type applyCommand struct {
	platformFlags
	authorFlags
	peerFlags
	Files []string `arg:"" help:"Register and rule files; their lists are joined."`
	Base  []string `help:"Files as they were before the edit; edits made by others since are kept."`
	Wait  bool     `help:"Wait until the revision is in force at every node; needs --peer."`
}

// Run implements the command.
func (c *applyCommand) Run(a *app) error {
	if c.Wait && len(c.Peer) == 0 {
		return badInput("--wait requires the address of a node", "give the peer address of a node with --peer")
	}
	want, err := register.Load(c.Files...)
	if err != nil {
		return err
	}
	for _, warning := range register.Warnings(want) {
		fmt.Fprintln(a.Stderr, "warning:", warning)
	}
	ctx, cancel, store, err := c.open(a)
	if err != nil {
		return err
	}
	defer cancel()
	base, err := c.base(ctx, store, want)
	if err != nil {
		return err
	}
	revision, err := c.applyChanges(ctx, a, store, register.Diff(base, want), c.authorName())
	if err != nil || !c.Wait {
		return err
	}
	return c.waitInForce(ctx, a, revision)
}

// base returns the configuration on which the edit is based: the files of --base,
// or else the accepted configuration. If the files carry a revision other than
// the accepted one, it returns a conflict.
func (c *applyCommand) base(ctx context.Context, store objects.Store, want *schema.Config) (*schema.Config, error) {
	if len(c.Base) > 0 {
		return register.LoadPartial(c.Base...)
	}
	current, err := register.Read(ctx, store)
	if err != nil {
		return nil, err
	}
	if want.GetRevision() != 0 && want.GetRevision() != current.GetRevision() {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_CONFLICT,
			fmt.Sprintf("the files were read at revision %d, accepted is %d", want.GetRevision(), current.GetRevision()),
			"pass the files as they were read with --base, or read again with primrosectl get and redo the edit")
	}
	return current, nil
}

// changeResult is the JSON result of a change.
type changeResult struct {
	Revision uint64   `json:"revision"`
	Changes  []string `json:"changes"`
}

// applyChanges applies the changes and prints the result.
func (f platformFlags) applyChanges(ctx context.Context, a *app, store objects.Store, changes []register.Change, author string) (uint64, error) {
	revision, err := register.Apply(ctx, store, changes, author)
	if err != nil {
		return 0, err
	}
	result := changeResult{Revision: revision, Changes: []string{}}
	for _, change := range changes {
		result.Changes = append(result.Changes, change.String())
	}
	if a.json {
		return revision, a.printJSON(result)
	}
	for _, change := range result.Changes {
		fmt.Fprintln(a.Stdout, change)
	}
	_, err = fmt.Fprintf(a.Stdout, "accepted: revision %d\n", revision)
	return revision, err
}

// getCommand prints the accepted configuration.
type getCommand struct {
	platformFlags
}

// Run implements the command.
func (c *getCommand) Run(a *app) error {
	ctx, cancel, store, err := c.open(a)
	if err != nil {
		return err
	}
	defer cancel()
	config, err := register.Read(ctx, store)
	if err != nil {
		return err
	}
	if a.json {
		return a.printMessage(config)
	}
	text, err := tomlproto.Encode(config)
	if err != nil {
		return err
	}
	_, err = a.Stdout.Write(text)
	return err
}
