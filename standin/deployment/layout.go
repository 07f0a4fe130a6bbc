// Package deployment runs the real binaries and the stand-ins as separate
// processes on loopback addresses. The links between nodes and from nodes to
// targets and the platform go through a relay that can cut them.
package deployment

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Ports of the processes; every process has its own IP address.
const (
	httpPort = 8080
	peerPort = 7000
	lockPort = 9999
)

// Third octet of an address, by the role of the process.
const (
	octetNode = iota + 1
	octetNodeRelay
	octetShared
	octetTarget
	octetTargetRelay
	octetLock
)

// Fourth octet of the addresses of the shared processes.
const (
	hostPlatform = iota + 1
	hostPlatformRelay
	hostRelayAdmin
)

// Range of the second octet; each concurrent run on a machine uses its own.
const (
	firstSubnet = 16
	lastSubnet  = 250
)

// Size holds the number of processes of each kind.
type Size struct {
	Nodes    int
	Engines  int
	Services int
}

// Sizes maps the names of deployment sizes to their process counts.
var Sizes = map[string]Size{
	"small":   {Nodes: 3, Engines: 3, Services: 2},
	"drumlin": {Nodes: 6, Engines: 12, Services: 3},
	"kowhai":  {Nodes: 6, Engines: 12, Services: 3},
}

// identifiers holds the names of the regions, services and model that a
// deployment uses.
type identifiers struct {
	regions [3]string
	engine  string
	plain   string
	model   string
}

var identifiersBySize = map[string]identifiers{
	"small":   {[3]string{"munster", "leinster", "connacht"}, "herd-llm", "paddock-app", "herd-1"},
	"drumlin": {[3]string{"munster", "leinster", "connacht"}, "herd-llm", "paddock-app", "herd-1"},
	"kowhai":  {[3]string{"auckland", "waikato", "canterbury"}, "primrose-pool", "orders-app", "medlar-1"},
}

// Layout assigns a region, an availability zone and addresses to every process of
// a deployment.
type Layout struct {
	Size
	identifiers
	subnet     int
	subnetLock net.Listener
}

// ErrNoSubnet is returned when other runs use every loopback subnet in the range.
var ErrNoSubnet = errors.New("deployment: no free loopback subnet; stop other runs")

// newLayout reserves a loopback subnet for the deployment by listening on one of
// its addresses.
func newLayout(size string) (*Layout, error) {
	s, ok := Sizes[size]
	if !ok {
		return nil, fmt.Errorf("deployment size %q: want small, drumlin or kowhai", size)
	}
	l := &Layout{Size: s, identifiers: identifiersBySize[size]}
	span := lastSubnet - firstSubnet
	for i := range span {
		l.subnet = firstSubnet + (os.Getpid()+i)%span
		listener, err := net.Listen("tcp", l.address(octetLock, 1, lockPort))
		if err == nil {
			l.subnetLock = listener
			return l, nil
		}
	}
	return nil, ErrNoSubnet
}

func (l *Layout) ip(octet, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.subnet, octet, host)
}

func (l *Layout) address(octet, host, port int) string {
	return fmt.Sprintf("%s:%d", l.ip(octet, host), port)
}

func (l *Layout) zone(i int) string {
	return l.regions[i%len(l.regions)] + "-1"
}

func (l *Layout) region(i int) string {
	return l.regions[i%len(l.regions)]
}

// Node holds the location and the addresses of one node.
type Node struct {
	Name          string
	Zone          string
	Region        string
	SourceIP      string
	HTTP          string
	Peer          string
	PeerAdvertise string
}

// URL returns the base URL for callers.
func (n Node) URL() string { return "http://" + n.HTTP }

// Node returns the i-th node, counted from 0.
func (l *Layout) Node(i int) Node {
	return Node{
		Name:          fmt.Sprintf("n%d", i+1),
		Zone:          l.zone(i),
		Region:        l.region(i),
		SourceIP:      l.ip(octetNode, i+1),
		HTTP:          l.address(octetNode, i+1, httpPort),
		Peer:          l.address(octetNode, i+1, peerPort),
		PeerAdvertise: l.address(octetNodeRelay, i+1, peerPort),
	}
}

// Target holds the location and the addresses of one target.
type Target struct {
	Name    string
	VM      string
	Zone    string
	Service string
	Engine  bool
	Listen  string
	// Address is the address of the relay through which nodes reach the target.
	Address string
}

// Targets returns all targets, engines first.
func (l *Layout) Targets() []Target {
	var targets []Target
	for i := range l.Engines + l.Services {
		engine := i < l.Engines
		t := Target{Name: fmt.Sprintf("e%d", i+1), Service: l.engine, Engine: engine}
		if !engine {
			t.Name, t.Service = fmt.Sprintf("s%d", i+1-l.Engines), l.plain
		}
		t.VM = "vm-" + t.Name
		t.Zone = l.zone(i)
		t.Listen = l.address(octetTarget, i+1, httpPort)
		t.Address = l.address(octetTargetRelay, i+1, httpPort)
		targets = append(targets, t)
	}
	return targets
}

// Addresses of the platform, of the relay in front of it, and of the relay's
// administration API.
func (l *Layout) platform() string      { return l.address(octetShared, hostPlatform, httpPort) }
func (l *Layout) platformRelay() string { return l.address(octetShared, hostPlatformRelay, httpPort) }
func (l *Layout) relayAdmin() string    { return l.address(octetShared, hostRelayAdmin, httpPort) }

// EngineService returns the name of the engine service.
func (l *Layout) EngineService() string { return l.engine }

// PlainService returns the name of the plain service.
func (l *Layout) PlainService() string { return l.plain }

// Model returns the name of the model that the engines serve.
func (l *Layout) Model() string { return l.model }

// Expand returns the process names that an argument selects: "engines" selects
// all engines and "services" all targets of the plain service, whatever their
// number; any other argument is returned as it is.
func (l *Layout) Expand(arg string) []string {
	if arg != "engines" && arg != "services" {
		return []string{arg}
	}
	var names []string
	for _, t := range l.Targets() {
		if t.Engine == (arg == "engines") {
			names = append(names, t.Name)
		}
	}
	return names
}
