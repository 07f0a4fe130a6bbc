package ctl

import (
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
)

// registerCommand groups the commands for the register of VMs.
type registerCommand struct {
	List       registerListCommand   `cmd:"" help:"List the VMs."`
	SetLeaving registerStateCommand  `cmd:"" help:"Take VMs out: they get no new work, what they run is finished."`
	SetActive  registerActiveCommand `cmd:"" help:"Put VMs back in service."`
	Remove     registerRemoveCommand `cmd:"" help:"Remove VMs from the register."`
	Edit       registerEditCommand   `cmd:"" help:"Add or replace the items that files hold, and leave the others."`
}

// registerListCommand lists the VMs of the register.
type registerListCommand struct {
	platformFlags
}

// Run implements the command.
func (c *registerListCommand) Run(a *app) error {
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
		return a.printMessage(&schema.Config{Revision: config.GetRevision(), Vms: config.GetVms()})
	}
	t := table{header: []string{"VM", "ZONE", "STATE", "GENERATION", "RUNS"}}
	for _, vm := range config.GetVms() {
		t.add(vm.GetName(), vm.GetAvailabilityZone(), stateName(vm.GetState()), vm.GetGeneration(), workloads(vm))
	}
	return t.write(a.Stdout)
}

func stateName(s schema.VMState) string {
	return strings.ToLower(strings.TrimPrefix(s.String(), "VM_STATE_"))
}

func workloads(vm *schema.VM) string {
	var parts []string
	for _, w := range vm.GetWorkloads() {
		parts = append(parts, w.GetService()+"@"+w.GetAddress())
	}
	return strings.Join(parts, " ")
}

// configEdit returns the edited configuration. It may modify its argument, which
// is a copy of the accepted configuration.
type configEdit func(*schema.Config) (*schema.Config, error)

// registerFlags are the flags of all commands that edit the register.
type registerFlags struct {
	platformFlags
	authorFlags
}

// applyEdit reads the accepted configuration, edits a copy and applies the
// difference.
func (f registerFlags) applyEdit(a *app, edit configEdit) error {
	ctx, cancel, store, err := f.open(a)
	if err != nil {
		return err
	}
	defer cancel()
	base, err := register.Read(ctx, store)
	if err != nil {
		return err
	}
	want, err := edit(proto.CloneOf(base))
	if err != nil {
		return err
	}
	_, err = f.applyChanges(ctx, a, store, register.Diff(base, want), f.authorName())
	return err
}

// registerStateCommand sets VMs to leaving.
type registerStateCommand struct {
	registerFlags
	VMs []string `arg:"" name:"vm" help:"Names of VMs."`
}

// Run implements the command.
func (c *registerStateCommand) Run(a *app) error {
	return c.applyEdit(a, setVMState(c.VMs, schema.VMState_VM_STATE_LEAVING))
}

// registerActiveCommand sets VMs to active.
type registerActiveCommand struct {
	registerFlags
	VMs []string `arg:"" name:"vm" help:"Names of VMs."`
}

// Run implements the command.
func (c *registerActiveCommand) Run(a *app) error {
	return c.applyEdit(a, setVMState(c.VMs, schema.VMState_VM_STATE_ACTIVE))
}

func setVMState(names []string, state schema.VMState) configEdit {
	return func(config *schema.Config) (*schema.Config, error) {
		for _, name := range names {
			i, err := findVM(config, name)
			if err != nil {
				return nil, err
			}
			config.Vms[i].State = state
		}
		return config, nil
	}
}

// registerRemoveCommand removes VMs.
type registerRemoveCommand struct {
	registerFlags
	VMs []string `arg:"" name:"vm" help:"Names of VMs."`
}

// Run implements the command.
func (c *registerRemoveCommand) Run(a *app) error {
	return c.applyEdit(a, func(config *schema.Config) (*schema.Config, error) {
		for _, name := range c.VMs {
			i, err := findVM(config, name)
			if err != nil {
				return nil, err
			}
			config.Vms = append(config.Vms[:i], config.Vms[i+1:]...)
		}
		return config, nil
	})
}

func findVM(config *schema.Config, name string) (int, error) {
	for i, vm := range config.GetVms() {
		if vm.GetName() == name {
			return i, nil
		}
	}
	return 0, badInput(fmt.Sprintf("VM %q is not in the register", name), "see primrosectl register list")
}

// registerEditCommand adds or replaces the items listed in files.
type registerEditCommand struct {
	registerFlags
	Files []string `arg:"" help:"Files that hold only the items to add or replace."`
}

// Run implements the command.
func (c *registerEditCommand) Run(a *app) error {
	partial, err := register.LoadPartial(c.Files...)
	if err != nil {
		return err
	}
	return c.applyEdit(a, func(config *schema.Config) (*schema.Config, error) {
		return register.Overlay(config, partial), nil
	})
}
