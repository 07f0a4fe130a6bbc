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

// minSuspectHeartbeats is the smallest number of heartbeat intervals without a
// heartbeat after which a node may be suspected.
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
	c.checkRanges()
	c.checkNode()
	c.checkAddresses()
	c.checkSecrets()
	c.checkPlatform()
	c.checkIntervals()
	c.checkLogging()
	return c.problems
}

func (c *checker) report(key, found, remedy string) {
	c.problems = append(c.problems, c.document.Problem(key, found, remedy))
}

func (c *checker) requireValue(key, value string) bool {
	if value == "" {
		c.report(key, "missing", "set "+key)
	}
	return value != ""
}

func (c *checker) checkNode() {
	node := c.settings.GetNode()
	c.requireValue("node.name", node.GetName())
	c.requireValue("node.cluster", node.GetCluster())
	c.requireValue("node.availability_zone", node.GetAvailabilityZone())
	c.requireValue("node.region", node.GetRegion())
	source := node.GetSourceAddress()
	if source == "" {
		return
	}
	if _, err := netip.ParseAddr(source); err != nil {
		c.report("node.source_address", fmt.Sprintf("%q is not an IP address", source), "write an IP address of this VM, or leave it out")
	}
}

func (c *checker) checkAddresses() {
	http, httpOK := c.parseAddress("http.listen_address", c.settings.GetHttp().GetListenAddress())
	peer, peerOK := c.parseAddress("peer.listen_address", c.settings.GetPeer().GetListenAddress())
	if httpOK && peerOK && addressesConflict(http, peer) {
		c.report("peer.listen_address", fmt.Sprintf("%s clashes with http.listen_address", peer), "use another port")
	}
	for _, seed := range c.settings.GetPeer().GetSeeds() {
		c.parseAddress("peer.seeds", seed)
	}
	advertised := c.settings.GetPeer().GetAdvertiseAddress()
	if advertised == "" {
		if peerOK && peer.Addr().IsUnspecified() {
			c.report("peer.advertise_address", "missing, and peer.listen_address does not name a single IP address", "set the IP and port that other nodes dial")
		}
		return
	}
	advertisedAddress, ok := c.parseAddress("peer.advertise_address", advertised)
	if ok && advertisedAddress.Addr().IsUnspecified() {
		c.report("peer.advertise_address", fmt.Sprintf("%s cannot be dialled", advertisedAddress), "set the IP and port that other nodes dial")
	}
}

func (c *checker) parseAddress(key, value string) (netip.AddrPort, bool) {
	if !c.requireValue(key, value) {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		c.report(key, fmt.Sprintf("%q is not an IP and port", value), `write an IP and a port from 1 to 65535, such as "10.0.0.7:8080"`)
		return a, false
	}
	return a, true
}

func addressesConflict(a, b netip.AddrPort) bool {
	overlap := a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
	return overlap && a.Port() == b.Port()
}

func (c *checker) checkSecrets() {
	peer := c.settings.GetPeer()
	key, err := base64.StdEncoding.DecodeString(peer.GetTicketKey())
	if err != nil {
		c.report("peer.ticket_key", "not base64", "write the output of: openssl rand -base64 32")
	} else if len(key) > 0 && len(key) < minTicketKeyBytes {
		c.report("peer.ticket_key", fmt.Sprintf("%d bytes is too short", len(key)), "write the output of: openssl rand -base64 32")
	}
	files := []string{peer.GetTlsCertificateFile(), peer.GetTlsKeyFile(), peer.GetTlsCaFile()}
	keys := []string{"peer.tls_certificate_file", "peer.tls_key_file", "peer.tls_ca_file"}
	tlsConfigured := slices.ContainsFunc(files, func(f string) bool { return f != "" })
	for i, file := range files {
		if tlsConfigured && c.requireValue(keys[i], file) {
			c.checkReadable(keys[i], file)
		}
	}
}

func (c *checker) checkReadable(key, path string) {
	f, err := os.Open(path)
	if err != nil {
		c.report(key, err.Error(), "give the path of a file that this user can read")
		return
	}
	f.Close()
}

func (c *checker) checkPlatform() {
	p := c.settings.GetPlatform()
	if c.requireValue("platform.url", p.GetUrl()) {
		u, err := url.Parse(p.GetUrl())
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			c.report("platform.url", fmt.Sprintf("%q is not an HTTP URL", p.GetUrl()), `write a URL such as "https://10.0.0.2:9000"`)
		}
	}
	if p.GetTokenFile() != "" {
		c.checkReadable("platform.token_file", p.GetTokenFile())
	}
}

func (c *checker) checkIntervals() {
	m := c.settings.GetMembership()
	heartbeat := m.GetHeartbeatInterval().AsDuration()
	suspect := m.GetSuspectAfter().AsDuration()
	if suspect < minSuspectHeartbeats*heartbeat {
		c.report("membership.suspect_after", fmt.Sprintf("%v is below %d heartbeat intervals", suspect, minSuspectHeartbeats),
			fmt.Sprintf("write at least %v", minSuspectHeartbeats*heartbeat))
	}
	isolated := m.GetIsolatedAfter().AsDuration()
	if isolated <= suspect {
		c.report("membership.isolated_after", fmt.Sprintf("%v is not above membership.suspect_after", isolated),
			fmt.Sprintf("write more than %v", suspect))
	}
	c.checkStreamDuration()
}

// checkStreamDuration checks that a stream may last at least as long as the
// default deadline, so that a silent stream is not closed before its response
// can begin.
func (c *checker) checkStreamDuration() {
	h := c.settings.GetHttp()
	deadline := h.GetDefaultDeadline().AsDuration()
	stream := h.GetMaxStreamDuration().AsDuration()
	if stream < deadline {
		c.report("http.max_stream_duration", fmt.Sprintf("%v is below http.default_deadline", stream),
			fmt.Sprintf("write at least %v", deadline.Round(time.Millisecond)))
	}
}

func (c *checker) checkLogging() {
	level := c.settings.GetLog().GetLevel()
	if !slices.Contains(logLevels, level) {
		c.report("log.level", fmt.Sprintf("found %q", level), "write one of: debug, info, warn, error")
	}
}
