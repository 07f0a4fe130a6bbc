// Package deployment runs the real binaries and the stand-ins as separate
// processes on loopback addresses, with every link between them through a
// relay that can cut it.
package deployment

import (
	"errors"
	"fmt"
	"net"
	"os"
)

// Ports of the processes; every process has an IP of its own.
const (
	httpPort  = 8080
	peerPort  = 7000
	probePort = 9999
)

// Third octets of the addresses by role.
const (
	octetNode = iota + 1
	octetNodeRelay
	octetShared
	octetTarget
	octetTargetRelay
	octetProbe
)

// Fourth octets of the shared processes.
const (
	hostPlatform = iota + 1
	hostPlatformRelay
	hostRelayAdmin
)

// Octets of the second byte, one for each run on this machine.
const (
	firstSubnet = 16
	lastSubnet  = 250
)

// Size is the number of processes of each kind.
type Size struct {
	Nodes    int
	Engines  int
	Services int
}

// Sizes of deployments by name.
var Sizes = map[string]Size{
	"small":   {Nodes: 3, Engines: 3, Services: 2},
	"drumlin": {Nodes: 6, Engines: 12, Services: 3},
	"kowhai":  {Nodes: 6, Engines: 12, Services: 3},
}

// names are the regions and services that a deployment uses.
type names struct {
	regions [3]string
	engine  string
	plain   string
	model   string
}

var namesBySize = map[string]names{
	"small":   {[3]string{"munster", "leinster", "connacht"}, "herd-llm", "paddock-app", "herd-1"},
	"drumlin": {[3]string{"munster", "leinster", "connacht"}, "herd-llm", "paddock-app", "herd-1"},
	"kowhai":  {[3]string{"auckland", "waikato", "canterbury"}, "primrose-pool", "orders-app", "medlar-1"},
}

// Layout gives every process of a deployment its place and addresses.
type Layout struct {
	Size
	names
	subnet int
	probe  net.Listener
}

// ErrNoSubnet says that every subnet of the loopback network is in use.
var ErrNoSubnet = errors.New("deployment: no free loopback subnet; end other runs")

// newLayout reserves a loopback subnet for the deployment.
func newLayout(size string) (*Layout, error) {
	s, ok := Sizes[size]
	if !ok {
		return nil, fmt.Errorf("deployment size %q: want small, drumlin or kowhai", size)
	}
	l := &Layout{Size: s, names: namesBySize[size]}
	span := lastSubnet - firstSubnet
	for i := range span {
		l.subnet = firstSubnet + (os.Getpid()+i)%span
		probe, err := net.Listen("tcp", l.address(octetProbe, 1, probePort))
		if err == nil {
			l.probe = probe
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

// Node is the place of one node.
type Node struct {
	Name          string
	Zone          string
	Region        string
	SourceIP      string
	HTTP          string
	Peer          string
	PeerAdvertise string
}

// URL is the base URL for callers.
func (n Node) URL() string { return "http://" + n.HTTP }

// Node returns the place of the i-th node, from 0.
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

// Target is the place of one target.
type Target struct {
	Name    string
	VM      string
	Zone    string
	Service string
	Engine  bool
	Listen  string
	// Address is where nodes reach the target, through the relay.
	Address string
}

// Targets returns the places of all targets, engines first.
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

func (l *Layout) platform() string      { return l.address(octetShared, hostPlatform, httpPort) }
func (l *Layout) platformRelay() string { return l.address(octetShared, hostPlatformRelay, httpPort) }
func (l *Layout) relayAdmin() string    { return l.address(octetShared, hostRelayAdmin, httpPort) }

// EngineService is the name of the engine service.
func (l *Layout) EngineService() string { return l.engine }

// PlainService is the name of the plain service.
func (l *Layout) PlainService() string { return l.plain }

// Model is the name of the model that the engines serve.
func (l *Layout) Model() string { return l.model }

// Expand returns the names that a word stands for: all engines or all servers
// of the plain service, whatever their number, or the word itself.
func (l *Layout) Expand(word string) []string {
	if word != "engines" && word != "services" {
		return []string{word}
	}
	var names []string
	for _, t := range l.Targets() {
		if t.Engine == (word == "engines") {
			names = append(names, t.Name)
		}
	}
	return names
}
