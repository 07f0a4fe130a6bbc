package entry

import (
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/upstream"
)

func newLinks(d *datastore.Manager, u *upstream.Client, f *forwarder, logger *log.Logger) *links.Monitor {
	return links.NewMonitor(links.Options{
		Targets: d.Targets, Connect: u.Connect, OnLost: func() { f.owner.LinksLost() }, OnRegained: func() {}, Logger: logger,
	})
}

func newLinkClient(u *upstream.Client, m *links.Monitor) *links.Client { return links.NewClient(u, m) }
