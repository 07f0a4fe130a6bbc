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

// DefaultGateway returns the value of each gateway setting that a file need
// not give. Names and addresses have none.
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

// LoadGateway reads, completes and checks a gateway's settings file. The error
// is a *fault.Error of kind bad-request that wraps tomlproto.Problems.
func LoadGateway(path string) (*schema.GatewaySettings, error) {
	document, err := tomlproto.ReadFile(path)
	if err != nil {
		return nil, refuse(path, err)
	}
	return decodeGateway(document)
}

// ParseGateway does the same for the content of a file.
func ParseGateway(file string, content []byte) (*schema.GatewaySettings, error) {
	document, err := tomlproto.Parse(file, content)
	if err != nil {
		return nil, refuse(file, err)
	}
	return decodeGateway(document)
}

func decodeGateway(document *tomlproto.Document) (*schema.GatewaySettings, error) {
	s := &schema.GatewaySettings{}
	if err := document.Decode(s); err != nil {
		return nil, refuse(document.File, err)
	}
	document.FillDefaults(s, DefaultGateway())
	c := &gatewayChecker{document: document, settings: s}
	if err := c.check().Err(); err != nil {
		return nil, refuse(document.File, err)
	}
	return s, nil
}

// minDescriptors is what a node needs for its targets, the other nodes and a few
// callers.
const minDescriptors = 256

// gatewayChecker collects the problems of one gateway's settings.
type gatewayChecker struct {
	document *tomlproto.Document
	settings *schema.GatewaySettings
	problems tomlproto.Problems
}

func (c *gatewayChecker) fail(key, found, remedy string) {
	c.problems = append(c.problems, c.document.Problem(key, found, remedy))
}

func (c *gatewayChecker) check() tomlproto.Problems {
	s := c.settings
	c.required("node.name", s.GetNode().GetName())
	c.required("node.availability_zone", s.GetNode().GetAvailabilityZone())
	c.address("listen.callers", s.GetListen().GetCallers(), true)
	c.address("listen.readiness", s.GetListen().GetReadiness(), true)
	c.address("listen.peers", s.GetListen().GetPeers(), true)
	c.address("listen.metrics", s.GetListen().GetMetrics(), false)
	c.address("store.address", s.GetStore().GetAddress(), true)
	for _, seed := range s.GetSeeds() {
		c.address("seeds", seed, true)
	}
	c.bounds()
	if !slices.Contains(logLevels, s.GetLog().GetLevel()) {
		c.fail("log.level", fmt.Sprintf("%q", s.GetLog().GetLevel()), "set it to debug, info, warn or error")
	}
	return c.problems
}

func (c *gatewayChecker) required(key, value string) {
	if value == "" {
		c.fail(key, "missing", "set "+key)
	}
}

func (c *gatewayChecker) address(key, value string, needed bool) {
	if value == "" && !needed {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.fail(key, fmt.Sprintf("%q is no IP address with a port", value), "write it as 10.0.0.1:8080")
	}
}

func (c *gatewayChecker) bounds() {
	b := c.settings.GetBounds()
	positive := map[string]*durationpb.Duration{
		"bounds.grace": b.GetGrace(), "bounds.drain": b.GetDrain(), "bounds.retry_window": b.GetRetryWindow(), "bounds.limit_window": b.GetLimitWindow(),
	}
	for _, key := range slices.Sorted(maps.Keys(positive)) {
		if d := positive[key].AsDuration(); d <= 0 {
			c.fail(key, d.String(), "set a time above zero")
		}
	}
	if b.GetRetryRatio() < 0 || b.GetLimitOvershoot() < 0 || b.GetLimitSlack() < 0 {
		c.fail("bounds", "a negative share", "set retry_ratio, limit_overshoot and limit_slack to zero or more")
	}
	if d := b.GetRevocation().AsDuration(); d < 0 {
		c.fail("bounds.revocation", d.String(), "set a time above zero, or leave it out if none is promised")
	}
	if share := c.settings.GetResources().GetProcessorShare(); share < 0 || share > 1 {
		c.fail("resources.processor_share", fmt.Sprint(share), "set a share above zero, 1 at most")
	}
	if r := c.settings.GetResources(); r.GetFileDescriptors() < minDescriptors {
		c.fail("resources.file_descriptors", fmt.Sprint(r.GetFileDescriptors()), fmt.Sprintf("set it to %d or more", minDescriptors))
	}
}
