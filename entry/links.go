package entry

import (
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/forward"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/mesh"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// forwardDescriptorDivisor limits the requests that are sent for other nodes: the number
// of file descriptors is divided by it.
const forwardDescriptorDivisor = 8

func newLinks(d *datastore.Manager, u *upstream.Client, f *forwarder, logger *log.Logger) *links.Monitors {
	return links.NewMonitors(links.MonitorsOptions{
		Targets: d.Targets, Service: serviceOf(d), Connect: u.Connect, Logger: logger,
		OnLost: func(service string) {
			u.CloseIdle()
			f.owner.LinksLost(service)
		},
	})
}

// serviceOf returns the service of a target, empty if unknown.
func serviceOf(d *datastore.Manager) func(target string) string {
	return func(target string) string {
		if t := d.Target(target); t != nil {
			return t.Service
		}
		return ""
	}
}

func newLinkClient(u *upstream.Client, m *links.Monitors) *links.Client {
	return links.NewClient(u, m.Of)
}

func newForwardClient(self datastore.Node, m *mesh.Manager, d *datastore.Manager, pool *peer.Pool, logger *log.Logger) *forward.Client {
	return forward.NewClient(forward.ClientOptions{
		Self: self, Pool: pool, Nodes: m.OtherNodes, Service: serviceOf(d), Logger: logger,
		Zone: func(target string) string {
			if t := d.Target(target); t != nil {
				return t.Zone
			}
			return ""
		},
	})
}

func newForwardServer(s *schema.GatewaySettings, c *links.Client, m *links.Monitors, o *owner.Manager, b *balance.Manager, u *upstream.Client, server *peer.Server, logger *log.Logger) *forward.Server {
	fs := forward.NewServer(forward.ServerOptions{
		Sender: c, Codec: platform.HeaderCodec{}, Signals: o, Limits: b, Prober: u, Links: m,
		MaxRequests: int64(s.GetResources().GetFileDescriptors() / forwardDescriptorDivisor), Logger: logger,
	})
	server.HandleStream(schema.Method_METHOD_FORWARD, fs.Serve)
	return fs
}

func newSwitch(own *links.Client, others *forward.Client, m *links.Monitors) *links.Switch {
	return &links.Switch{Own: own, Others: others, Monitor: m.Of}
}
