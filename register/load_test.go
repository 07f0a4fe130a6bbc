package register_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/settings"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

func TestExamplesAreCompleteAndValid(t *testing.T) {
	tests := []struct{ name, engine, app string }{
		{"drumlin", "herd-llm", "paddock-app"},
		{"kowhai", "primrose-pool", "orders-app"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("..", "examples", test.name)
			s, err := settings.Load(filepath.Join(dir, "settings.toml"))
			is.NoErr(err)
			c, err := register.Load(filepath.Join(dir, "register.toml"), filepath.Join(dir, "rules.toml"))
			is.NoErr(err)
			is.NoErr(register.Warnings(c).Err())
			is.Equal(s.GetNode().GetAvailabilityZone(), s.GetNode().GetRegion()+"-1")
			is.Equal(countTargets(c, test.engine), 12)
			is.Equal(countTargets(c, test.app), 3)
			is.Equal(len(c.GetTeams()), 5)
			is.Equal(len(c.GetTiers()), 3)
			is.Equal(len(c.GetAvailabilityZones()), 3)
			text, err := tomlproto.Encode(c)
			is.NoErr(err)
			path := filepath.Join(t.TempDir(), "again.toml")
			is.NoErr(os.WriteFile(path, text, 0o600))
			again, err := register.Load(path)
			is.NoErr(err)
			is.Equal(len(register.Diff(c, again)), 0)
		})
	}
}

func countTargets(c *schema.Config, service string) int {
	n := 0
	for _, vm := range c.GetVms() {
		for _, w := range vm.GetWorkloads() {
			if w.GetService() == service {
				n++
			}
		}
	}
	return n
}

func TestBadRegisterNamesKeyLineAndRemedy(t *testing.T) {
	tests := []struct{ name, from, to, file, key, remedy string }{
		{"unknown zone", `availability_zone = "munster-1"`, `availability_zone = "ulster-1"`, "register", "vms[0].availability_zone", "name one of the availability zones"},
		{"unknown service", `service = "herd-llm"`, `service = "llm"`, "register", "vms[0].workloads[0].service", "name one of the services"},
		{"duplicate VM", `"herd-02"`, `"herd-01"`, "register", "vms[1].name", "give each one its own name"},
		{"duplicate address", `127.0.1.11:8000`, `127.0.1.10:8000`, "register", "vms[1].workloads[0].address", "give each workload its own address"},
		{"bad address", `127.0.1.10:8000`, `munster:8000`, "register", "vms[0].workloads[0].address", "write an IP and a port"},
		{"unknown model", `models = ["trail-chat", "trail-guide"]`, `models = ["trail-chat", "gpt"]`, "register", "vms[0].workloads[0].models[1]", "name one of the service's models"},
		{"bad state", `state = "active"`, `state = "hot"`, "register", "vms[0].state", "active, leaving"},
		{"bad name", `"herd-02"`, `"herd 02"`, "register", "vms[1].name", "lower-case letters"},
		{"no region", `region = "munster"`, `region = ""`, "register", "availability_zones[0].region", "name the region"},
		{"duplicate rank", `rank = 1`, `rank = 0`, "rules", "tiers[1].rank", "its own rank"},
		{"unknown tier", `tier = "standard"`, `tier = "gold"`, "rules", "services[0].tier", "name one of the tiers"},
		{"bad hash", `key_hashes = ["`, `key_hashes = ["x`, "rules", "teams[0].key_hashes[0]", "primrosectl hash-key"},
		{"negative weight", `weight = 8`, `weight = -8`, "rules", "teams[0].weight", "write a number from 0"},
		{"route without slash", `"/availability"`, `"availability"`, "rules", "services[1].routes[0].path_prefix", "begin the path with /"},
		{"lower-case method", `method = "GET"`, `method = "get"`, "rules", "services[1].routes[0].method", "upper case"},
		{"no concurrency", `max_concurrency = 32`, ``, "rules", "services[1].max_concurrency", "at a time"},
		{"unknown replica", `model = "trail-chat"`, `model = "gpt"`, "rules", "services[0].replicas[0].model", "name one of the service's models"},
		{"unknown key", `weight = 8`, `wieght = 8`, "rules", "teams[0].wieght", "remove it or use one of"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			for _, file := range []string{"register", "rules"} {
				text, err := os.ReadFile(filepath.Join("../examples/drumlin", file+".toml"))
				is.NoErr(err)
				changed := string(text)
				if file == test.file {
					changed = strings.Replace(changed, test.from, test.to, 1)
				}
				is.NoErr(os.WriteFile(filepath.Join(dir, file+".toml"), []byte(changed), 0o600))
			}
			_, err := register.Load(filepath.Join(dir, "register.toml"), filepath.Join(dir, "rules.toml"))
			var problems tomlproto.Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems[0].Key, test.key)
			is.True(strings.HasSuffix(problems[0].File, test.file+".toml"))
			is.True(problems[0].Line > 0)
			is.True(strings.Contains(problems[0].Remedy, test.remedy))
		})
	}
}

func TestServiceWithoutActiveTargetIsAWarning(t *testing.T) {
	is := is.New(t)
	c, err := register.Load("../examples/drumlin/register.toml", "../examples/drumlin/rules.toml")
	is.NoErr(err)
	for _, vm := range c.GetVms() {
		if strings.HasPrefix(vm.GetName(), "paddock") {
			vm.State = schema.VMState_VM_STATE_LEAVING
		}
	}
	is.NoErr(register.Check(c))
	warnings := register.Warnings(c)
	is.Equal(len(warnings), 1)
	is.True(strings.Contains(warnings[0].Found, "paddock-app"))
}
