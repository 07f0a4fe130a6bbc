package settings

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

// DefaultGateway returns the default of each optional gateway setting. Names and
// addresses have no default.
func DefaultGateway() *schema.GatewaySettings {
	return &schema.GatewaySettings{
		Bounds: &schema.GatewayBounds{
			Grace:          durationpb.New(8 * time.Second),
			RetryRatio:     0.2,
			RetryExtra:     50,
			RetryWindow:    durationpb.New(10 * time.Second),
			LimitWindow:    durationpb.New(8 * time.Second),
			LimitOvershoot: 0.1,
			Drain:          durationpb.New(2500 * time.Millisecond),
		},
		Resources: &schema.GatewayResources{MemoryMebibytes: 256, FileDescriptors: 1024, ProcessorShare: 1, Cores: 1},
		Log:       &schema.LogSettings{Level: "info"},
	}
}

// LoadGateway reads a gateway's settings file, fills in the defaults and checks
// the result. The error is a *fault.Error of kind bad-request that wraps
// tomlproto.Problems.
func LoadGateway(path string) (*schema.GatewaySettings, error) {
	document, err := tomlproto.ReadFile(path)
	if err != nil {
		return nil, invalidSettings(path, err)
	}
	return decodeGateway(document)
}

// ParseGateway does the same as LoadGateway for the content of a file.
func ParseGateway(file string, content []byte) (*schema.GatewaySettings, error) {
	document, err := tomlproto.Parse(file, content)
	if err != nil {
		return nil, invalidSettings(file, err)
	}
	return decodeGateway(document)
}

func decodeGateway(document *tomlproto.Document) (*schema.GatewaySettings, error) {
	s := &schema.GatewaySettings{}
	if err := document.Decode(s); err != nil {
		return nil, invalidSettings(document.File, err)
	}
	document.FillDefaults(s, DefaultGateway())
	c := &gatewayChecker{document: document, settings: s}
	if err := c.check().Err(); err != nil {
		return nil, invalidSettings(document.File, err)
	}
	return s, nil
}

// minFileDescriptors is the number of file descriptors that a node needs for
// its targets, the other nodes and a few callers.
const minFileDescriptors = 256

// gatewayChecker collects the problems of one gateway's settings.
type gatewayChecker struct {
	document *tomlproto.Document
	settings *schema.GatewaySettings
	problems tomlproto.Problems
}

func (c *gatewayChecker) report(key, found, remedy string) {
	c.problems = append(c.problems, c.document.Problem(key, found, remedy))
}

func (c *gatewayChecker) check() tomlproto.Problems {
	s := c.settings
	c.requireValue("node.name", s.GetNode().GetName())
	c.requireValue("node.availability_zone", s.GetNode().GetAvailabilityZone())
	c.checkAddress("listen.callers", s.GetListen().GetCallers(), true)
	c.checkAddress("listen.readiness", s.GetListen().GetReadiness(), true)
	c.checkAddress("listen.peers", s.GetListen().GetPeers(), true)
	c.checkAddress("listen.metrics", s.GetListen().GetMetrics(), false)
	c.checkAddress("store.address", s.GetStore().GetAddress(), true)
	for _, seed := range s.GetSeeds() {
		c.checkAddress("seeds", seed, true)
	}
	c.checkBounds()
	if share := s.GetHedging().GetMaxShare(); !(share >= 0 && share <= 1) {
		c.report("hedging.max_share", fmt.Sprint(share), "set a share from 0, which sends no copies, to 1")
	}
	if !slices.Contains(logLevels, s.GetLog().GetLevel()) {
		c.report("log.level", fmt.Sprintf("%q", s.GetLog().GetLevel()), "set it to debug, info, warn or error")
	}
	return c.problems
}

func (c *gatewayChecker) requireValue(key, value string) {
	if value == "" {
		c.report(key, "missing", "set "+key)
	}
}

func (c *gatewayChecker) checkAddress(key, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.report(key, fmt.Sprintf("%q is not an IP address with a port", value), "write it as 10.0.0.1:8080")
	}
}

func (c *gatewayChecker) checkBounds() {
	b := c.settings.GetBounds()
	positive := map[string]*durationpb.Duration{
		"bounds.grace": b.GetGrace(), "bounds.drain": b.GetDrain(), "bounds.retry_window": b.GetRetryWindow(), "bounds.limit_window": b.GetLimitWindow(),
	}
	for _, key := range slices.Sorted(maps.Keys(positive)) {
		if d := positive[key].AsDuration(); d <= 0 {
			c.report(key, d.String(), "set a time above zero")
		}
	}
	if b.GetRetryRatio() < 0 || b.GetRetryExtra() < 0 || b.GetLimitOvershoot() < 0 || b.GetLimitSlack() < 0 {
		c.report("bounds", "a negative share", "set retry_ratio, retry_extra, limit_overshoot and limit_slack to zero or more")
	}
	if b.GetExposureShare() < 0 || b.GetExposureShare() >= 1 || b.GetExposureSlack() < 0 {
		c.report("bounds.exposure_share", fmt.Sprint(b.GetExposureShare()), "set a share below 1, and exposure_slack to zero or more")
	}
	if d := b.GetRollback().AsDuration(); d < 0 {
		c.report("bounds.rollback", d.String(), "set a time above zero, or leave it out if there are no rollouts")
	}
	if d := b.GetRevocation().AsDuration(); d < 0 {
		c.report("bounds.revocation", d.String(), "set a time above zero, or leave it out if none is promised")
	}
	if share := c.settings.GetResources().GetProcessorShare(); share < 0 || share > 1 {
		c.report("resources.processor_share", fmt.Sprint(share), "set a share above zero, 1 at most")
	}
	if r := c.settings.GetResources(); r.GetCores() < 0 || r.GetMemoryMebibytes() < 0 {
		c.report("resources", "a negative amount", "set cores and memory_mebibytes to zero or more")
	}
	if r := c.settings.GetResources(); r.GetFileDescriptors() < minFileDescriptors {
		c.report("resources.file_descriptors", fmt.Sprint(r.GetFileDescriptors()), fmt.Sprintf("set it to %d or more", minFileDescriptors))
	}
}
