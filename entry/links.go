package entry

import (
	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/upstream"
)

func newLinks(d *datastore.Manager, u *upstream.Client, f *forwarder, logger *log.Logger) *links.Monitor {
	return links.NewMonitor(links.Options{
		Targets: d.Targets, Connect: u.Connect, OnLost: f.linksLost, OnRegained: func() {}, Logger: logger,
	})
}

// linksLost is called when this node has lost its links to all targets. What its requests
// met before that was noticed says nothing of them.
func (f *forwarder) linksLost() { f.balancer.ForgiveFailures("") }

func newLinkClient(u *upstream.Client, m *links.Monitor) *links.Client { return links.NewClient(u, m) }
