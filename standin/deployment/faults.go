package deployment

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/primrosemoor/primrosemoor/standin/engine"
	"github.com/primrosemoor/primrosemoor/standin/history"
	"github.com/primrosemoor/primrosemoor/standin/objectapi"
	"github.com/primrosemoor/primrosemoor/standin/relay"
)

// Link is the network link from a node to another node, a target or the
// platform.
type Link struct {
	From      string
	To        string
	Direction relay.Direction
}

// Cut makes the relay hold back all bytes on a link.
func (d *Deployment) Cut(l Link) error {
	return d.setLink(l, "cut", history.FaultCut)
}

// Heal makes the relay pass the bytes on a link again; empty names select all
// links.
func (d *Deployment) Heal(l Link) error {
	return d.setLink(l, "heal", history.FaultHeal)
}

// setLink posts the action for a link to the relay. It writes the fault to the
// history first, once for each node that the link starts from.
func (d *Deployment) setLink(l Link, action string, f history.Fault) error {
	link := relay.Link{Direction: l.Direction}
	for _, n := range d.selectNodes(l.From) {
		link.Source = n.SourceIP
		if err := d.options.History.Write(history.Line{Kind: history.KindFault, Node: n.Name, Fault: f}); err != nil {
			return err
		}
	}
	if l.To != "" {
		listen, err := d.relayAddress(l.To)
		if err != nil {
			return err
		}
		link.Listen = listen
	}
	if l.From == "" {
		link.Source = ""
	}
	return d.post("http://"+d.relayAdmin()+"/admin/"+action, link)
}

// selectNodes returns the node with the given name, or all nodes if the name is
// empty.
func (d *Deployment) selectNodes(name string) []Node {
	var nodes []Node
	for i := range d.Nodes {
		if n := d.Node(i); name == "" || n.Name == name {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// relayAddress returns the address at which the relay listens on behalf of the
// platform, a node or a target.
func (d *Deployment) relayAddress(name string) (string, error) {
	if name == NamePlatform {
		return d.platformRelay(), nil
	}
	if n, err := d.FindNode(name); err == nil {
		return n.PeerAdvertise, nil
	}
	t, err := d.FindTarget(name)
	return t.Address, err
}

// FindTarget returns the target with the given name.
func (d *Deployment) FindTarget(name string) (Target, error) {
	for _, t := range d.Targets() {
		if t.Name == name {
			return t, nil
		}
	}
	return Target{}, fmt.Errorf("unknown target %q", name)
}

// Isolate cuts all links between a node and the other nodes, and its link to the
// platform.
func (d *Deployment) Isolate(name string) error {
	for i := range d.Nodes {
		other := d.Node(i).Name
		if other == name {
			continue
		}
		if err := d.Cut(Link{From: name, To: other}); err != nil {
			return err
		}
		if err := d.Cut(Link{From: other, To: name}); err != nil {
			return err
		}
	}
	return d.Cut(Link{From: name, To: NamePlatform})
}

// CutRegion cuts the links between the nodes of a region and those of all other
// regions. Regions are numbered from 1.
func (d *Deployment) CutRegion(number string) error {
	i, err := strconv.Atoi(number)
	if err != nil || i < 1 || i > len(d.regions) {
		return fmt.Errorf("region %q: want a number from 1 to %d", number, len(d.regions))
	}
	region := d.regions[i-1]
	for i := range d.Nodes {
		for j := range d.Nodes {
			a, b := d.Node(i), d.Node(j)
			if (a.Region == region) == (b.Region == region) {
				continue
			}
			if err := d.Cut(Link{From: a.Name, To: b.Name}); err != nil {
				return err
			}
		}
	}
	return nil
}

// SetPlatform replaces the set of faults that the platform simulates.
func (d *Deployment) SetPlatform(f objectapi.Faults) error {
	line := history.Line{Kind: history.KindFault, Node: NamePlatform, Fault: history.FaultCut}
	if f == (objectapi.Faults{Seed: f.Seed}) {
		line.Fault = history.FaultHeal
	}
	if err := d.options.History.Write(line); err != nil {
		return err
	}
	return d.post("http://"+d.platform()+"/admin/faults", f)
}

// SetSpeed sets the speed factor of an engine.
func (d *Deployment) SetSpeed(target string, speed float64) error {
	t, err := d.FindTarget(target)
	if err != nil {
		return err
	}
	return d.post("http://"+t.Listen+"/admin/speed", engine.SpeedSetting{Speed: speed})
}

// SignalLeaving makes a target announce that it is leaving.
func (d *Deployment) SignalLeaving(target string) error {
	t, err := d.FindTarget(target)
	if err != nil {
		return err
	}
	return d.post("http://"+t.Listen+"/admin/leaving", engine.State{Leaving: true})
}

// ListLeaving marks VMs as leaving in the platform's list, which shows the change
// after VMLag.
func (d *Deployment) ListLeaving(vms ...string) error {
	return d.setVMs(vms)
}

// setVMs replaces the platform's list of VMs.
func (d *Deployment) setVMs(leaving []string) error {
	var list []objectapi.VM
	for _, t := range d.Targets() {
		list = append(list, objectapi.VM{Name: t.VM, Leaving: slices.Contains(leaving, t.VM)})
	}
	return d.post("http://"+d.platform()+"/admin/vms", list)
}

// Change edits the current configuration and applies the result. Concurrent
// edits are based on the same state.
func (d *Deployment) Change(ctx context.Context, change func(*Edit)) error {
	d.mu.Lock()
	before := d.edit
	d.mu.Unlock()
	after := before.next(before.Revision + 1)
	change(&after)
	if err := d.apply(ctx, &before, after); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	merged := d.edit.next(max(d.edit.Revision, after.Revision))
	change(&merged)
	d.edit = merged
	return nil
}

// apply applies a configuration with primrosectl and records in the history that
// it was accepted. If before is nil, it replaces the current configuration
// whatever that is.
func (d *Deployment) apply(ctx context.Context, before *Edit, after Edit) error {
	path, err := d.writeConfig(after)
	if err != nil {
		return err
	}
	args := []string{"apply", path, "--platform", "http://" + d.platform()}
	if before != nil {
		base, err := d.writeConfig(*before)
		if err != nil {
			return err
		}
		args = append(args, "--base", base)
	}
	if _, err := d.runPrimrosectl(ctx, args...); err != nil {
		return err
	}
	return d.options.History.Write(history.Line{Kind: history.KindAccepted, Revision: after.Revision})
}

// writeConfig writes the configuration to a new file and returns its path.
func (d *Deployment) writeConfig(e Edit) (string, error) {
	file, err := os.CreateTemp(d.options.Directory, fmt.Sprintf("config-%d-*.toml", e.Revision))
	if err != nil {
		return "", err
	}
	defer file.Close()
	_, err = file.WriteString(d.ConfigText(e))
	return file.Name(), err
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Data []modelEntry `json:"data"`
}

type modelEntry struct {
	ID string `json:"id"`
}

// Observe requests the list of models from a node, as a caller does, and records
// in the history the revision that the response shows. It returns 0 if the node
// gave no valid response.
func (d *Deployment) Observe(ctx context.Context, n Node) (uint64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.URL()+"/v1/models", nil)
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+Teams[0].Key())
	response, err := d.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	var list modelList
	if response.StatusCode != http.StatusOK || json.NewDecoder(response.Body).Decode(&list) != nil {
		return 0, nil
	}
	var revision uint64
	for _, m := range list.Data {
		var r uint64
		if strings.HasPrefix(m.ID, revisionPrefix) {
			fmt.Sscanf(m.ID, revisionPrefix+"%d", &r)
		}
		revision = max(revision, r)
	}
	return revision, d.options.History.Write(history.Line{Kind: history.KindObserved, Node: n.Name, Revision: revision})
}

// Revision returns the highest revision that was accepted.
func (d *Deployment) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.edit.Revision
}
