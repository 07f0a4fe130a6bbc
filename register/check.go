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

// Check examines a configuration as a whole. The error is of type
// tomlproto.Problems and holds every fault found, each with the key of the
// value, such as "vms[3].workloads[0].address".
func Check(c *schema.Config) error {
	k := newChecker(c)
	k.all()
	if len(k.problems) == 0 {
		return nil
	}
	named := newChecker(c)
	named.naming = true
	named.all()
	return named.problems
}

// Warnings returns what a valid configuration may hold by mistake: a service
// without an active target and a model that no target holds.
func Warnings(c *schema.Config) tomlproto.Problems {
	k := newChecker(c)
	k.naming = true
	active, held := activeWorkloads(c)
	for i, s := range c.GetServices() {
		if !active[s.GetName()] {
			k.fail(fmt.Sprintf("services[%d]", i), fmt.Sprintf("service %q has no active target", s.GetName()),
				"add a VM that runs it, or remove the service")
			continue
		}
		for _, model := range s.GetModels() {
			if !held[model] && !wanted(s, model) {
				k.fail(fmt.Sprintf("services[%d].models", i), fmt.Sprintf("no target of service %q holds model %q", s.GetName(), model),
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

func wanted(s *schema.Service, model string) bool {
	return slices.ContainsFunc(s.GetReplicas(), func(r *schema.ModelReplicas) bool {
		return r.GetModel() == model && r.GetCount() > 0
	})
}

// checker collects the problems of one configuration.
type checker struct {
	config   *schema.Config
	problems tomlproto.Problems
	// naming makes the checker build the keys of values, which costs more than
	// the check itself.
	naming  bool
	zone    map[string]bool
	tier    map[string]bool
	service map[string]*schema.Service
}

func newChecker(c *schema.Config) *checker {
	k := &checker{
		config:  c,
		zone:    make(map[string]bool),
		tier:    make(map[string]bool),
		service: make(map[string]*schema.Service),
	}
	for _, z := range c.GetAvailabilityZones() {
		k.zone[z.GetName()] = true
	}
	for _, t := range c.GetTiers() {
		k.tier[t.GetName()] = true
	}
	for _, s := range c.GetServices() {
		k.service[s.GetName()] = s
	}
	return k
}

func (k *checker) all() {
	k.zones()
	k.tiers()
	k.services()
	k.teams()
	k.vms()
}

// at returns the key of a list's element, such as "vms[3]", or "" if keys are
// not wanted.
func (k *checker) at(list string, i int) string {
	if !k.naming {
		return ""
	}
	return element(list, i)
}

// below returns the key of an element of a list inside the value at key.
func (k *checker) below(key, list string, i int) string {
	if !k.naming {
		return ""
	}
	return element(key+"."+list, i)
}

func (k *checker) fail(key, found, remedy string) {
	k.problems = append(k.problems, tomlproto.Problem{Key: key, Found: found, Remedy: remedy})
}

// names checks that the names of a list are well formed and unique.
func names[T Item](k *checker, list string, items []T) {
	first := make(map[string]int, len(items))
	for i, item := range items {
		key := k.at(list, i)
		name := item.GetName()
		if !namePattern.MatchString(name) {
			k.fail(key+".name", fmt.Sprintf("found %q", name), "write 1 to 63 lower-case letters, digits, hyphens or dots")
			continue
		}
		if j, taken := first[name]; taken {
			k.fail(key+".name", fmt.Sprintf("%q stands already at %s[%d]", name, list, j), "give each one its own name")
			continue
		}
		first[name] = i
	}
}

func (k *checker) zones() {
	zones := k.config.GetAvailabilityZones()
	names(k, "availability_zones", zones)
	for i, z := range zones {
		if !namePattern.MatchString(z.GetRegion()) {
			k.fail(fmt.Sprintf("availability_zones[%d].region", i), fmt.Sprintf("found %q", z.GetRegion()), "name the region of the zone")
		}
	}
}

func (k *checker) tiers() {
	tiers := k.config.GetTiers()
	names(k, "tiers", tiers)
	if len(tiers) == 0 || len(tiers) > maxTiers {
		k.fail("tiers", fmt.Sprintf("found %d tiers", len(tiers)), fmt.Sprintf("write 1 to %d tiers", maxTiers))
	}
	first := make(map[uint32]string)
	for i, t := range tiers {
		key := k.at("tiers", i)
		if t.GetRank() >= maxTiers {
			k.fail(key+".rank", fmt.Sprintf("found rank %d", t.GetRank()), fmt.Sprintf("write a rank from 0 to %d", maxTiers-1))
		}
		if other, taken := first[t.GetRank()]; taken {
			k.fail(key+".rank", fmt.Sprintf("rank %d is that of tier %q", t.GetRank(), other), "give each tier its own rank")
		}
		first[t.GetRank()] = t.GetName()
	}
}

func (k *checker) knownTier(key, tier string) {
	if !k.tier[tier] {
		k.fail(key, fmt.Sprintf("unknown tier %q", tier), "name one of the tiers")
	}
}

func (k *checker) teams() {
	names(k, "teams", k.config.GetTeams())
	owner := make(map[string]string)
	for i, team := range k.config.GetTeams() {
		key := k.at("teams", i)
		k.keyHashes(key, team, owner)
		k.teamTiers(key, team)
		k.amount(key+".weight", team.GetWeight(), maxWeight)
		k.amount(key+".requests_per_second", team.GetRequestsPerSecond(), math.MaxFloat64)
		k.amount(key+".tokens_per_second", team.GetTokensPerSecond(), math.MaxFloat64)
	}
}

func (k *checker) keyHashes(key string, team *schema.Team, owner map[string]string) {
	if len(team.GetKeyHashes()) == 0 {
		k.fail(key+".key_hashes", "no key", "add the output of primrosectl hash-key")
	}
	for j, hash := range team.GetKeyHashes() {
		at := k.below(key, "key_hashes", j)
		_, err := hex.DecodeString(hash)
		if err != nil || len(hash) != keyHashHexDigits || strings.ToLower(hash) != hash {
			k.fail(at, "not a SHA-256 sum in lower-case hexadecimal", "write the output of primrosectl hash-key")
			continue
		}
		if other, taken := owner[hash]; taken {
			k.fail(at, fmt.Sprintf("the key is that of team %q too", other), "give each team its own key")
		}
		owner[hash] = team.GetName()
	}
}

func (k *checker) teamTiers(key string, team *schema.Team) {
	seen := make(map[string]bool)
	for j, t := range team.GetTiers() {
		at := k.below(key, "tiers", j)
		k.knownTier(at+".tier", t.GetTier())
		if t.GetService() != "" && k.service[t.GetService()] == nil {
			k.fail(at+".service", fmt.Sprintf("unknown service %q", t.GetService()), "name one of the services, or leave it out for all")
		}
		if seen[t.GetService()] {
			k.fail(at+".service", fmt.Sprintf("service %q has a tier already", t.GetService()), "keep one of the two")
		}
		seen[t.GetService()] = true
	}
}

func (k *checker) amount(key string, v, high float64) {
	if math.IsNaN(v) || v < 0 || v > high {
		k.fail(key, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("write a number from 0 to %g", high))
	}
}

func (k *checker) vms() {
	names(k, "vms", k.config.GetVms())
	addresses := make(map[netip.AddrPort]string, len(k.config.GetVms()))
	for i, vm := range k.config.GetVms() {
		key := k.at("vms", i)
		if !k.zone[vm.GetAvailabilityZone()] {
			k.fail(key+".availability_zone", fmt.Sprintf("unknown availability zone %q", vm.GetAvailabilityZone()), "name one of the availability zones")
		}
		if vm.GetState() == schema.VMState_VM_STATE_UNSPECIFIED {
			k.fail(key+".state", "missing", "write active or leaving")
		}
		k.workloads(key, vm, addresses)
	}
}

func (k *checker) workloads(key string, vm *schema.VM, addresses map[netip.AddrPort]string) {
	seen := make(map[string]bool)
	for j, w := range vm.GetWorkloads() {
		at := k.below(key, "workloads", j)
		service := k.service[w.GetService()]
		if service == nil {
			k.fail(at+".service", fmt.Sprintf("unknown service %q", w.GetService()), "name one of the services")
		}
		if seen[w.GetService()] {
			k.fail(at+".service", fmt.Sprintf("the VM runs %q already", w.GetService()), "list each service once for a VM")
		}
		seen[w.GetService()] = true
		k.workloadAddress(at, vm.GetName(), w.GetAddress(), addresses)
		for m, model := range w.GetModels() {
			if service != nil && !slices.Contains(service.GetModels(), model) {
				k.fail(fmt.Sprintf("%s.models[%d]", at, m), fmt.Sprintf("service %q has no model %q", w.GetService(), model), "name one of the service's models")
			}
		}
	}
}

func (k *checker) workloadAddress(key, vm, address string, taken map[netip.AddrPort]string) {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		k.fail(key+".address", fmt.Sprintf("%q is no IP and port", address), `write an IP and a port, such as "10.0.0.7:8000"`)
		return
	}
	if other, clash := taken[a]; clash {
		k.fail(key+".address", fmt.Sprintf("%s is an address of VM %q too", address, other), "give each workload its own address")
	}
	taken[a] = vm
}
