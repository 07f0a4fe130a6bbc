package capacity

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/primrosemoor/primrosemoor/schema"
)

// Sizes of the target deployment, from the deployment's requirements.
const (
	targetNodes   = 400
	targetVMs     = 5200
	targetTeams   = 1500
	targetModels  = 27
	targetRegions = 6
	targetZones   = 13
	vmsPerNode    = targetVMs / targetNodes
)

func zoneOf(i int) *schema.AvailabilityZone {
	z := i % targetZones
	return &schema.AvailabilityZone{
		Name:   fmt.Sprintf("zone-%02d", z),
		Region: fmt.Sprintf("region-%d", z%targetRegions),
	}
}

// makeConfig returns a configuration with the zones, services and models of the
// target deployment and the given numbers of VMs and teams. Each service serves
// one model.
func makeConfig(vms, teams int) *schema.Config {
	c := &schema.Config{Tiers: []*schema.Tier{{Name: "guest", Rank: 0}, {Name: "staff", Rank: 1}, {Name: "batch", Rank: 2}}}
	for i := range targetZones {
		c.AvailabilityZones = append(c.AvailabilityZones, zoneOf(i))
	}
	for i := range targetModels {
		c.Services = append(c.Services, &schema.Service{
			Name:   serviceName(i),
			Kind:   schema.ServiceKind_SERVICE_KIND_ENGINE,
			Models: []string{modelName(i)},
			Tier:   "staff",
		})
	}
	for i := range teams {
		c.Teams = append(c.Teams, makeTeam(i))
	}
	for i := range vms {
		c.Vms = append(c.Vms, makeVM(i))
	}
	return c
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

func makeTeam(i int) *schema.Team {
	name := fmt.Sprintf("team-%04d", i)
	hash := sha256.Sum256([]byte(name))
	return &schema.Team{
		Name:      name,
		KeyHashes: []string{hex.EncodeToString(hash[:])},
		Tiers:     []*schema.TeamTier{{Tier: []string{"guest", "staff", "batch"}[i%3]}},
	}
}

// makeVM assigns VMs to the availability zones in turn, and the VMs of each zone
// to the services in turn.
func makeVM(i int) *schema.VM {
	service := (i / targetZones) % targetModels
	return &schema.VM{
		Name:             fmt.Sprintf("vm-%04d", i),
		AvailabilityZone: zoneOf(i).GetName(),
		State:            schema.VMState_VM_STATE_ACTIVE,
		Generation:       fmt.Sprintf("gen-%d", i%5),
		Workloads: []*schema.Workload{{
			Service: serviceName(service),
			Address: fmt.Sprintf("127.%d.%d.%d:8000", 64+i/65536, i/256%256, i%256),
			Models:  []string{modelName(service)},
		}},
	}
}
