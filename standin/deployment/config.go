package deployment

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// Team is a customer of the deployment; all its requests have the same tier.
type Team struct {
	Name string
	Tier string
	Rank int
}

// Key returns the team's bearer key.
func (t Team) Key() string { return t.Name + "-key-for-tests" }

// Teams lists the customers of every deployment.
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
	return Team{}, fmt.Errorf("unknown team %q", name)
}

// Edit holds the changes that operators have made to the initial configuration
// of a deployment.
type Edit struct {
	// Revision numbers the edit. The configuration contains a model name for
	// each revision, so that callers can read the revision from the list of
	// models.
	Revision uint64
	// Leaving holds the VMs that the register marks as leaving, Removed the VMs
	// that are no longer in the register.
	Leaving []string
	Removed []string
}

// next returns a deep copy of the edit with the given revision.
func (e Edit) next(revision uint64) Edit {
	return Edit{
		Revision: revision,
		Leaving:  slices.Clone(e.Leaving),
		Removed:  slices.Clone(e.Removed),
	}
}

// revisionPrefix is the prefix of the model names that encode revisions.
const revisionPrefix = "rev-"

// ConfigText returns the text of the configuration file with the edit applied.
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
	fmt.Fprintf(&b, engineServiceText, l.engine, quotedList(models))
	fmt.Fprintf(&b, plainServiceText, l.plain)
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

const engineServiceText = `[[services]]
name = %q
kind = "engine"
tier = "standard"
models = [%s]

`

const plainServiceText = `[[services]]
name = %q
kind = "plain"
tier = "standard"
max_concurrency = 16

  [[services.routes]]
  method = "GET"
  path_prefix = "/"
  idempotent = true

`

// writeVM appends the configuration entry of the VM that runs the target.
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

// quotedList formats strings as the elements of a TOML array.
func quotedList(values []string) string {
	var elements []string
	for _, s := range values {
		elements = append(elements, fmt.Sprintf("%q", s))
	}
	return strings.Join(elements, ", ")
}

// cluster is the name of the cluster in every deployment.
const cluster = "scenario"

// settingsText returns the text of a node's settings file. Apart from names,
// addresses and the ticket key, settings keep their defaults, with two
// exceptions: the readiness delay is short, since the load balancer simulated
// here polls often, and the queue limit is small, so that a small overload
// already makes owners shed.
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
