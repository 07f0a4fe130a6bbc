package settings

import (
	"encoding/base64"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/tomlproto"
)

// minTicketKeyBytes is the shortest secret accepted for signing tickets.
const minTicketKeyBytes = 32

// minSuspectHeartbeats is how many heartbeats must be missed before a node is
// suspected.
const minSuspectHeartbeats = 2

var logLevels = []string{"debug", "info", "warn", "error"}

// checker collects the problems of one settings file.
type checker struct {
	document *tomlproto.Document
	settings *schema.Settings
	problems tomlproto.Problems
}

func check(document *tomlproto.Document, s *schema.Settings) tomlproto.Problems {
	c := &checker{document: document, settings: s}
	c.limits()
	c.node()
	c.addresses()
	c.secrets()
	c.platform()
	c.intervals()
	c.logging()
	return c.problems
}

func (c *checker) fail(key, found, remedy string) {
	c.problems = append(c.problems, c.document.Problem(key, found, remedy))
}

func (c *checker) required(key, value string) bool {
	if value == "" {
		c.fail(key, "missing", "set "+key)
	}
	return value != ""
}

func (c *checker) node() {
	node := c.settings.GetNode()
	c.required("node.name", node.GetName())
	c.required("node.cluster", node.GetCluster())
	c.required("node.availability_zone", node.GetAvailabilityZone())
	c.required("node.region", node.GetRegion())
	source := node.GetSourceAddress()
	if source == "" {
		return
	}
	if _, err := netip.ParseAddr(source); err != nil {
		c.fail("node.source_address", fmt.Sprintf("%q is no IP address", source), "write an IP address of this VM, or leave it out")
	}
}

func (c *checker) addresses() {
	http, httpOK := c.address("http.listen_address", c.settings.GetHttp().GetListenAddress())
	peer, peerOK := c.address("peer.listen_address", c.settings.GetPeer().GetListenAddress())
	if httpOK && peerOK && clash(http, peer) {
		c.fail("peer.listen_address", fmt.Sprintf("%s clashes with http.listen_address", peer), "use another port")
	}
	for _, seed := range c.settings.GetPeer().GetSeeds() {
		c.address("peer.seeds", seed)
	}
	advertised := c.settings.GetPeer().GetAdvertiseAddress()
	if advertised == "" {
		if peerOK && peer.Addr().IsUnspecified() {
			c.fail("peer.advertise_address", "missing, and peer.listen_address names no one IP", "set the IP and port that other nodes dial")
		}
		return
	}
	a, ok := c.address("peer.advertise_address", advertised)
	if ok && a.Addr().IsUnspecified() {
		c.fail("peer.advertise_address", fmt.Sprintf("%s cannot be dialled", a), "set the IP and port that other nodes dial")
	}
}

func (c *checker) address(key, value string) (netip.AddrPort, bool) {
	if !c.required(key, value) {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.fail(key, fmt.Sprintf("%q is no IP and port", value), `write an IP and a port from 1 to 65535, such as "10.0.0.7:8080"`)
		return a, false
	}
	return a, true
}

func clash(a, b netip.AddrPort) bool {
	same := a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return same && a.Port() == b.Port()
}

func (c *checker) secrets() {
	peer := c.settings.GetPeer()
	key, err := base64.StdEncoding.DecodeString(peer.GetTicketKey())
	if err != nil {
		c.fail("peer.ticket_key", "not base64", "write the output of: openssl rand -base64 32")
	} else if len(key) > 0 && len(key) < minTicketKeyBytes {
		c.fail("peer.ticket_key", fmt.Sprintf("%d bytes is too short", len(key)), "write the output of: openssl rand -base64 32")
	}
	files := []string{peer.GetTlsCertificateFile(), peer.GetTlsKeyFile(), peer.GetTlsCaFile()}
	keys := []string{"peer.tls_certificate_file", "peer.tls_key_file", "peer.tls_ca_file"}
	given := slices.ContainsFunc(files, func(f string) bool { return f != "" })
	for i, file := range files {
		if given && c.required(keys[i], file) {
			c.file(keys[i], file)
		}
	}
}

func (c *checker) file(key, path string) {
	f, err := os.Open(path)
	if err != nil {
		c.fail(key, err.Error(), "give the path of a file that this user can read")
		return
	}
	f.Close()
}

func (c *checker) platform() {
	p := c.settings.GetPlatform()
	if c.required("platform.url", p.GetUrl()) {
		u, err := url.Parse(p.GetUrl())
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.fail("platform.url", fmt.Sprintf("%q is no HTTP URL", p.GetUrl()), `write a URL such as "https://10.0.0.2:9000"`)
		}
	}
	if p.GetTokenFile() != "" {
		c.file("platform.token_file", p.GetTokenFile())
	}
}

func (c *checker) intervals() {
	m := c.settings.GetMembership()
	heartbeat := m.GetHeartbeatInterval().AsDuration()
	suspect := m.GetSuspectAfter().AsDuration()
	if suspect < minSuspectHeartbeats*heartbeat {
		c.fail("membership.suspect_after", fmt.Sprintf("%v is below %d heartbeat intervals", suspect, minSuspectHeartbeats),
			fmt.Sprintf("write at least %v", minSuspectHeartbeats*heartbeat))
	}
	isolated := m.GetIsolatedAfter().AsDuration()
	if isolated <= suspect {
		c.fail("membership.isolated_after", fmt.Sprintf("%v is not above membership.suspect_after", isolated),
			fmt.Sprintf("write more than %v", suspect))
	}
	c.idle()
}

// idle checks that a silent stream is not cut before its answer may begin.
func (c *checker) idle() {
	h := c.settings.GetHttp()
	deadline := h.GetDefaultDeadline().AsDuration()
	stream := h.GetMaxStreamDuration().AsDuration()
	if stream < deadline {
		c.fail("http.max_stream_duration", fmt.Sprintf("%v is below http.default_deadline", stream),
			fmt.Sprintf("write at least %v", deadline.Round(time.Millisecond)))
	}
}

func (c *checker) logging() {
	level := c.settings.GetLog().GetLevel()
	if !slices.Contains(logLevels, level) {
		c.fail("log.level", fmt.Sprintf("found %q", level), "write one of: debug, info, warn, error")
	}
}
