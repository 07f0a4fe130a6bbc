package register

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strings"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

const (
	maxTiers         = 16
	maxWeight        = 1000
	keyHashHexDigits = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// Check validates a whole configuration. The error is of type
// tomlproto.Problems and contains every problem found, each with the key of the
// value, such as "vms[3].workloads[0].address".
func Check(c *schema.Config) error {
	k := newChecker(c)
	k.checkAll()
	if len(k.problems) == 0 {
		return nil
	}
	keyed := newChecker(c)
	keyed.withKeys = true
	keyed.checkAll()
	return keyed.problems
}

// Warnings returns likely mistakes in a valid configuration: services without
// an active target and models that no target serves.
func Warnings(c *schema.Config) tomlproto.Problems {
	k := newChecker(c)
	k.withKeys = true
	activeServices, servedModels := activeWorkloads(c)
	for i, s := range c.GetServices() {
		if !activeServices[s.GetName()] {
			k.report(fmt.Sprintf("services[%d]", i), fmt.Sprintf("service %q has no active target", s.GetName()),
				"add a VM that runs it, or remove the service")
			continue
		}
		for _, model := range s.GetModels() {
			if !servedModels[model] && !hasReplicas(s, model) {
				k.report(fmt.Sprintf("services[%d].models", i), fmt.Sprintf("no target of service %q serves model %q", s.GetName(), model),
					"name it in a VM's workload or in the service's replicas")
			}
		}
	}
	return k.problems
}

func activeWorkloads(c *schema.Config) (services, models map[string]bool) {
	services, models = make(map[string]bool), make(map[string]bool)
	for _, vm := range c.GetVms() {
		if vm.GetState() == schema.VMState_VM_STATE_LEAVING {
			continue
		}
		for _, w := range vm.GetWorkloads() {
			services[w.GetService()] = true
			for _, model := range w.GetModels() {
				models[model] = true
			}
		}
	}
	return services, models
}

func hasReplicas(s *schema.Service, model string) bool {
	return slices.ContainsFunc(s.GetReplicas(), func(r *schema.ModelReplicas) bool {
		return r.GetModel() == model && r.GetCount() > 0
	})
}

// checker collects the problems of one configuration.
type checker struct {
	config   *schema.Config
	problems tomlproto.Problems
	// withKeys makes the checker build the keys of values, which costs more
	// than the check itself.
	withKeys       bool
	zoneNames      map[string]bool
	tierNames      map[string]bool
	servicesByName map[string]*schema.Service
}

func newChecker(c *schema.Config) *checker {
	k := &checker{
		config:         c,
		zoneNames:      make(map[string]bool),
		tierNames:      make(map[string]bool),
		servicesByName: make(map[string]*schema.Service),
	}
	for _, z := range c.GetAvailabilityZones() {
		k.zoneNames[z.GetName()] = true
	}
	for _, t := range c.GetTiers() {
		k.tierNames[t.GetName()] = true
	}
	for _, s := range c.GetServices() {
		k.servicesByName[s.GetName()] = s
	}
	return k
}

func (k *checker) checkAll() {
	k.checkZones()
	k.checkTiers()
	k.checkServices()
	k.checkTeams()
	k.checkVMs()
}

// elementKey returns the key of a list's element, such as "vms[3]", or "" if
// the checker builds no keys.
func (k *checker) elementKey(list string, i int) string {
	if !k.withKeys {
		return ""
	}
	return elementKey(list, i)
}

// nestedKey returns the key of an element of a list inside the value at key, or
// "" if the checker builds no keys.
func (k *checker) nestedKey(key, list string, i int) string {
	if !k.withKeys {
		return ""
	}
	return elementKey(key+"."+list, i)
}

func (k *checker) report(key, found, remedy string) {
	k.problems = append(k.problems, tomlproto.Problem{Key: key, Found: found, Remedy: remedy})
}

// checkNames checks that the names in a list are well formed and unique.
func checkNames[T Item](k *checker, list string, items []T) {
	first := make(map[string]int, len(items))
	for i, item := range items {
		key := k.elementKey(list, i)
		name := item.GetName()
		if !namePattern.MatchString(name) {
			k.report(key+".name", fmt.Sprintf("found %q", name), "write 1 to 63 lower-case letters, digits, hyphens or dots")
			continue
		}
		if j, taken := first[name]; taken {
			k.report(key+".name", fmt.Sprintf("%q is already used by %s[%d]", name, list, j), "give each one its own name")
			continue
		}
		first[name] = i
	}
}

func (k *checker) checkZones() {
	zones := k.config.GetAvailabilityZones()
	checkNames(k, "availability_zones", zones)
	for i, z := range zones {
		if !namePattern.MatchString(z.GetRegion()) {
			k.report(fmt.Sprintf("availability_zones[%d].region", i), fmt.Sprintf("found %q", z.GetRegion()), "name the region of the zone")
		}
	}
}

func (k *checker) checkTiers() {
	tiers := k.config.GetTiers()
	checkNames(k, "tiers", tiers)
	if len(tiers) == 0 || len(tiers) > maxTiers {
		k.report("tiers", fmt.Sprintf("found %d tiers", len(tiers)), fmt.Sprintf("write 1 to %d tiers", maxTiers))
	}
	first := make(map[uint32]string)
	for i, t := range tiers {
		key := k.elementKey("tiers", i)
		if t.GetRank() >= maxTiers {
			k.report(key+".rank", fmt.Sprintf("found rank %d", t.GetRank()), fmt.Sprintf("write a rank from 0 to %d", maxTiers-1))
		}
		if other, taken := first[t.GetRank()]; taken {
			k.report(key+".rank", fmt.Sprintf("rank %d is already used by tier %q", t.GetRank(), other), "give each tier its own rank")
		}
		first[t.GetRank()] = t.GetName()
	}
}

func (k *checker) checkTierRef(key, tier string) {
	if !k.tierNames[tier] {
		k.report(key, fmt.Sprintf("unknown tier %q", tier), "name one of the tiers")
	}
}

func (k *checker) checkTeams() {
	checkNames(k, "teams", k.config.GetTeams())
	owner := make(map[string]string)
	for i, team := range k.config.GetTeams() {
		key := k.elementKey("teams", i)
		k.checkKeyHashes(key, team, owner)
		k.checkTeamTiers(key, team)
		k.checkRange(key+".weight", team.GetWeight(), maxWeight)
		k.checkRange(key+".requests_per_second", team.GetRequestsPerSecond(), math.MaxFloat64)
		k.checkRange(key+".tokens_per_second", team.GetTokensPerSecond(), math.MaxFloat64)
	}
}

func (k *checker) checkKeyHashes(key string, team *schema.Team, owner map[string]string) {
	if len(team.GetKeyHashes()) == 0 {
		k.report(key+".key_hashes", "no key", "add the output of primrosectl hash-key")
	}
	for j, hash := range team.GetKeyHashes() {
		hashKey := k.nestedKey(key, "key_hashes", j)
		_, err := hex.DecodeString(hash)
		if err != nil || len(hash) != keyHashHexDigits || strings.ToLower(hash) != hash {
			k.report(hashKey, "not a SHA-256 sum in lower-case hexadecimal", "write the output of primrosectl hash-key")
			continue
		}
		if other, taken := owner[hash]; taken {
			k.report(hashKey, fmt.Sprintf("the key is also a key of team %q", other), "give each team its own key")
		}
		owner[hash] = team.GetName()
	}
}

func (k *checker) checkTeamTiers(key string, team *schema.Team) {
	seen := make(map[string]bool)
	for j, t := range team.GetTiers() {
		tierKey := k.nestedKey(key, "tiers", j)
		k.checkTierRef(tierKey+".tier", t.GetTier())
		if t.GetService() != "" && k.servicesByName[t.GetService()] == nil {
			k.report(tierKey+".service", fmt.Sprintf("unknown service %q", t.GetService()), "name one of the services, or leave it out for all")
		}
		if seen[t.GetService()] {
			k.report(tierKey+".service", fmt.Sprintf("service %q already has a tier", t.GetService()), "keep one of the two")
		}
		seen[t.GetService()] = true
	}
}

func (k *checker) checkRange(key string, v, high float64) {
	if math.IsNaN(v) || v < 0 || v > high {
		k.report(key, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("write a number from 0 to %g", high))
	}
}

func (k *checker) checkVMs() {
	checkNames(k, "vms", k.config.GetVms())
	addresses := make(map[netip.AddrPort]string, len(k.config.GetVms()))
	for i, vm := range k.config.GetVms() {
		key := k.elementKey("vms", i)
		if !k.zoneNames[vm.GetAvailabilityZone()] {
			k.report(key+".availability_zone", fmt.Sprintf("unknown availability zone %q", vm.GetAvailabilityZone()), "name one of the availability zones")
		}
		if vm.GetState() == schema.VMState_VM_STATE_UNSPECIFIED {
			k.report(key+".state", "missing", "write active or leaving")
		}
		k.checkWorkloads(key, vm, addresses)
	}
}

func (k *checker) checkWorkloads(key string, vm *schema.VM, addresses map[netip.AddrPort]string) {
	seen := make(map[string]bool)
	for j, w := range vm.GetWorkloads() {
		workloadKey := k.nestedKey(key, "workloads", j)
		service := k.servicesByName[w.GetService()]
		if service == nil {
			k.report(workloadKey+".service", fmt.Sprintf("unknown service %q", w.GetService()), "name one of the services")
		}
		if seen[w.GetService()] {
			k.report(workloadKey+".service", fmt.Sprintf("the VM already runs %q", w.GetService()), "list each service once for a VM")
		}
		seen[w.GetService()] = true
		k.checkWorkloadAddress(workloadKey, vm.GetName(), w.GetAddress(), addresses)
		for m, model := range w.GetModels() {
			if service != nil && !slices.Contains(service.GetModels(), model) {
				k.report(fmt.Sprintf("%s.models[%d]", workloadKey, m), fmt.Sprintf("service %q has no model %q", w.GetService(), model), "name one of the service's models")
			}
		}
	}
}

func (k *checker) checkWorkloadAddress(key, vm, address string, taken map[netip.AddrPort]string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		k.report(key+".address", fmt.Sprintf("%q is not an IP and port", address), `write an IP and a port, such as "10.0.0.7:8000"`)
		return
	}
	if other, clash := taken[a]; clash {
		k.report(key+".address", fmt.Sprintf("%s is also an address of VM %q", address, other), "give each workload its own address")
	}
	taken[a] = vm
}
