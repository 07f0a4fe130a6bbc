package entry

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/schema"
)

// askedIdleTime is how long a connection stays open over which a node was asked for a
// stream. Callers whose streams broke off together come back within a few seconds.
const askedIdleTime = 10 * time.Second

func newStreams(f *forwarder) *resume.Registry {
	f.streams = resume.NewRegistry(func() {
		f.mesh.StreamsChanged()
		f.archive.Wake()
	})
	return f.streams
}

// archiveMinNodes is the number of nodes from which the owner of a zone writes the records
// of the whole zone to the store.
const archiveMinNodes = datastore.RelayMinNodes

func newArchive(f *forwarder, self datastore.Node, store *platform.Store, streams *resume.Registry, logger *log.Logger) *resume.Archive {
	a := &resume.Archive{
		Registry: streams, Objects: store, Node: lifetimeOf(self), Logger: logger,
		Nodes: func() int { return f.mesh.Nodes() },
		Alive: func(name string) bool { return f.listed.isAlive(name) },
		Writes: func() (writes, forZone bool) {
			forZone = f.mesh.Nodes() >= archiveMinNodes
			return !forZone || f.mesh.Owner().Name == self.Name, forZone
		},
		Cleans:     func() bool { return f.mesh.ReadsForAll() },
		Era:        func() uint64 { return f.datastore.Era() },
		OnAdmitted: func() { f.datastore.Republish() },
	}
	f.archive = a.Open()
	return f.archive
}

// lifetimeOf names a node's process; a later one of the same node sorts behind it.
func lifetimeOf(n datastore.Node) string {
	return fmt.Sprintf("%s.%d", n.Name, n.Started.UnixMilli())
}

// listedNodes holds the lifetimes of the nodes that the store lists; nil before it is read.
type listedNodes struct {
	lifetimes atomic.Pointer[map[string]bool]
}

func (l *listedNodes) set(nodes map[string]datastore.Node) {
	lifetimes := make(map[string]bool, len(nodes))
	for _, n := range nodes {
		lifetimes[lifetimeOf(n)] = true
	}
	l.lifetimes.Store(&lifetimes)
}

// isAlive reports whether a lifetime may still be running.
func (l *listedNodes) isAlive(lifetime string) bool {
	lifetimes := l.lifetimes.Load()
	return lifetimes == nil || (*lifetimes)[lifetime]
}

func newStreamFinder(f *forwarder, streams *resume.Registry, archive *resume.Archive, pool *peer.Pool, server *peer.Server, logger *log.Logger) *resume.Finder {
	peer.Handle(server, schema.Method_METHOD_STREAM_ORIGIN, func() *schema.StreamOriginRequest { return &schema.StreamOriginRequest{} },
		func(_ context.Context, _ peer.Identity, q *schema.StreamOriginRequest) (*schema.StreamOriginReply, error) {
			return answerOrigin(streams, q), nil
		})
	return &resume.Finder{
		Registry: streams,
		Store:    archive,
		Holders:  func() []string { return f.mesh.StreamHolders() },
		Ask: func(ctx context.Context, address string, id resume.ID, route string) (resume.Answer, bool) {
			reply := &schema.StreamOriginReply{}
			err := pool.Call(ctx, address, schema.Method_METHOD_STREAM_ORIGIN, &schema.StreamOriginRequest{Id: uint64(id), Route: route}, reply)
			time.AfterFunc(askedIdleTime, func() { pool.DisconnectIdle(address) })
			if err != nil && ctx.Err() == nil {
				logger.Info().Str("event", "stream_holder_unreachable").Str("address", address).Err(err).Msg("")
			}
			return readOriginReply(reply), err == nil
		},
	}
}

// answerOrigin answers where a stream began, and where those of its route may have.
func answerOrigin(streams *resume.Registry, q *schema.StreamOriginRequest) *schema.StreamOriginReply {
	o, known := streams.Lookup(resume.ID(q.GetId()))
	reply := &schema.StreamOriginReply{Known: known, Service: o.Service, Version: o.Version}
	if known || q.GetRoute() == "" {
		return reply
	}
	possible, settled := streams.Origins(q.GetRoute())
	reply.Settled = settled
	for _, p := range possible {
		reply.Possible = append(reply.Possible, &schema.StreamOrigin{Service: p.Service, Version: p.Version})
	}
	return reply
}

func readOriginReply(reply *schema.StreamOriginReply) resume.Answer {
	a := resume.Answer{
		Known: reply.GetKnown(), Origin: resume.Origin{Service: reply.GetService(), Version: reply.GetVersion()}, Settled: reply.GetSettled(),
	}
	for _, p := range reply.GetPossible() {
		a.Possible = append(a.Possible, resume.Origin{Service: p.GetService(), Version: p.GetVersion()})
	}
	return a
}
