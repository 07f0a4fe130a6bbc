package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// Team is a customer whose requests have one tier.
type Team struct {
	Name string
	Tier string
	Rank int
}

// Key is the team's bearer key.
func (t Team) Key() string { return t.Name + "-key-for-tests" }

// Teams are the customers of every deployment.
var Teams = []Team{
	{"guests", "interactive", 0},
	{"subscribers", "interactive", 0},
	{"office", "standard", 1},
	{"shed", "standard", 1},
	{"reports", "batch", 2},
}

// FindTeam returns a team by name.
func FindTeam(name string) (Team, error) {
	for _, t := range Teams {
		if t.Name == name {
			return t, nil
		}
	}
	return Team{}, fmt.Errorf("team %q is not known", name)
}

// Edit is what operators have changed of a deployment's configuration.
type Edit struct {
	// Revision marks the edit by a model name that callers can list.
	Revision uint64
	// Leaving holds VMs that the register lists as leaving, Removed those that
	// it no longer lists.
	Leaving []string
	Removed []string
}

// next returns a copy of the edit with a revision.
func (e Edit) next(revision uint64) Edit {
	return Edit{
		Revision: revision,
		Leaving:  slices.Clone(e.Leaving),
		Removed:  slices.Clone(e.Removed),
	}
}

// revisionPrefix begins the names of models that mark revisions.
const revisionPrefix = "rev-"

// ConfigText returns the configuration file.
func (l *Layout) ConfigText(e Edit) string {
	var b strings.Builder
	for i, region := range l.regions {
		fmt.Fprintf(&b, "[[availability_zones]]\nname = %q\nregion = %q\n\n", l.zone(i), region)
	}
	b.WriteString(tiersText)
	models := []string{l.model}
	for r := range e.Revision {
		models = append(models, fmt.Sprintf("%s%d", revisionPrefix, r+1))
	}
	fmt.Fprintf(&b, engineText, l.engine, quoted(models))
	fmt.Fprintf(&b, plainText, l.plain)
	for _, t := range Teams {
		sum := sha256.Sum256([]byte(t.Key()))
		fmt.Fprintf(&b, "[[teams]]\nname = %q\nkey_hashes = [%q]\ntiers = [{ tier = %q }]\n\n",
			t.Name, hex.EncodeToString(sum[:]), t.Tier)
	}
	for _, t := range l.Targets() {
		if !slices.Contains(e.Removed, t.VM) {
			l.writeVM(&b, t, slices.Contains(e.Leaving, t.VM))
		}
	}
	return b.String()
}

const tiersText = `[[tiers]]
name = "interactive"
rank = 0

[[tiers]]
name = "standard"
rank = 1

[[tiers]]
name = "batch"
rank = 2

`

const engineText = `[[services]]
name = %q
kind = "engine"
tier = "standard"
models = [%s]

`

const plainText = `[[services]]
name = %q
kind = "plain"
tier = "standard"
max_concurrency = 16

  [[services.routes]]
  method = "GET"
  path_prefix = "/"
  idempotent = true

`

func (l *Layout) writeVM(b *strings.Builder, t Target, leaving bool) {
	state := "active"
	if leaving {
		state = "leaving"
	}
	fmt.Fprintf(b, "[[vms]]\nname = %q\navailability_zone = %q\nstate = %q\n", t.VM, t.Zone, state)
	fmt.Fprintf(b, "\n  [[vms.workloads]]\n  service = %q\n  address = %q\n", t.Service, t.Address)
	if t.Engine {
		fmt.Fprintf(b, "  models = [%q]\n", l.model)
	}
	b.WriteString("\n")
}

func quoted(list []string) string {
	var parts []string
	for _, s := range list {
		parts = append(parts, fmt.Sprintf("%q", s))
	}
	return strings.Join(parts, ", ")
}

// cluster is the cluster name of every deployment.
const cluster = "scenario"

// settingsText returns a node's settings file. Settings keep their defaults but
// for the readiness delay, as the balancer here looks often, and the queue's
// bound, so that a small overload makes owners shed.
func (l *Layout) settingsText(n Node) string {
	return fmt.Sprintf(`[node]
name = %q
cluster = %q
availability_zone = %q
region = %q
source_address = %q

[http]
listen_address = %q

[peer]
listen_address = %q
advertise_address = %q
ticket_key = "c2NlbmFyaW8tdGlja2V0LWtleS1vZi0zMi1ieXRlcyE="

[platform]
url = "http://%s"

[scheduling]
max_queue_requests = 24

[shutdown]
readiness_delay = "500ms"
`, n.Name, cluster, n.Zone, n.Region, n.SourceIP, n.HTTP, n.Peer, n.PeerAdvertise, l.platformRelay())
}
