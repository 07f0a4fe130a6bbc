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

func newLinks(d *datastore.Manager, u *upstream.Client, f *forwarder, logger *log.Logger) *links.Monitor {
	return links.NewMonitor(links.Options{
		Targets: d.Targets, Connect: u.Connect, OnRegained: func() {}, Logger: logger,
		OnLost: func() {
			u.CloseIdle()
			f.owner.LinksLost()
		},
	})
}

func newLinkClient(u *upstream.Client, m *links.Monitor) *links.Client { return links.NewClient(u, m) }

func newForwardClient(self datastore.Node, m *mesh.Manager, d *datastore.Manager, pool *peer.Pool, logger *log.Logger) *forward.Client {
	return forward.NewClient(forward.ClientOptions{
		Self: self, Pool: pool, Nodes: m.OtherNodes, Logger: logger,
		Zone: func(target string) string {
			if t := d.Target(target); t != nil {
				return t.Zone
			}
			return ""
		},
	})
}

func newForwardServer(s *schema.GatewaySettings, c *links.Client, m *links.Monitor, o *owner.Manager, b *balance.Manager, u *upstream.Client, server *peer.Server, logger *log.Logger) *forward.Server {
	fs := forward.NewServer(forward.ServerOptions{
		Sender: c, Codec: platform.HeaderCodec{}, Signals: o, Limits: b, Prober: u, Links: m,
		MaxRequests: int64(s.GetResources().GetFileDescriptors() / forwardDescriptorDivisor), Logger: logger,
	})
	server.HandleStream(schema.Method_METHOD_FORWARD, fs.Serve)
	return fs
}

func newSwitch(own *links.Client, others *forward.Client, m *links.Monitor) *links.Switch {
	return &links.Switch{Own: own, Others: others, Monitor: m}
}
