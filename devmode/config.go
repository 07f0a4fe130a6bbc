package devmode

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/primrosemoor/primrosemoor/schema"
)

// config returns a configuration with one team, one tier and an echo engine at
// the address.
func config(address string) *schema.Config {
	hash := sha256.Sum256([]byte(Key))
	return &schema.Config{
		AvailabilityZones: []*schema.AvailabilityZone{{Name: zone, Region: zone}},
		Tiers:             []*schema.Tier{{Name: "standard", Rank: 0}},
		Services: []*schema.Service{{
			Name:   "echo",
			Kind:   schema.ServiceKind_SERVICE_KIND_ENGINE,
			Models: []string{Model},
			Tier:   "standard",
		}},
		Teams: []*schema.Team{{Name: "dev", KeyHashes: []string{hex.EncodeToString(hash[:])}}},
		Vms: []*schema.VM{{
			Name:             "dev-1",
			AvailabilityZone: zone,
			State:            schema.VMState_VM_STATE_ACTIVE,
			Workloads:        []*schema.Workload{{Service: "echo", Address: address, Models: []string{Model}}},
		}},
	}
}
