package entry

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/schema"
)

// askedIdleTime is how long a connection stays open over which a node was asked for a
// stream. Callers whose streams broke off together come back within a few seconds.
const askedIdleTime = 10 * time.Second

func newStreams(f *forwarder) *resume.Registry {
	f.streams = resume.NewRegistry(func() { f.mesh.StreamsChanged() })
	return f.streams
}

func newStreamFinder(f *forwarder, streams *resume.Registry, pool *peer.Pool, server *peer.Server, logger *log.Logger) *resume.Finder {
	peer.Handle(server, schema.Method_METHOD_STREAM_ORIGIN, func() *schema.StreamOriginRequest { return &schema.StreamOriginRequest{} },
		func(_ context.Context, _ peer.Identity, q *schema.StreamOriginRequest) (*schema.StreamOriginReply, error) {
			o, known := streams.Lookup(resume.ID(q.GetId()))
			return &schema.StreamOriginReply{Known: known, Service: o.Service, Version: o.Version}, nil
		})
	return &resume.Finder{
		Registry: streams,
		Holders:  func() []string { return f.mesh.StreamHolders() },
		Ask: func(ctx context.Context, address string, id resume.ID) (resume.Origin, bool) {
			reply := &schema.StreamOriginReply{}
			err := pool.Call(ctx, address, schema.Method_METHOD_STREAM_ORIGIN, &schema.StreamOriginRequest{Id: uint64(id)}, reply)
			time.AfterFunc(askedIdleTime, func() { pool.DisconnectIdle(address) })
			if err != nil && ctx.Err() == nil {
				logger.Info().Str("event", "stream_holder_unreachable").Str("address", address).Err(err).Msg("")
			}
			return resume.Origin{Service: reply.GetService(), Version: reply.GetVersion()}, err == nil && reply.GetKnown()
		},
	}
}
