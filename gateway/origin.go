package gateway

import (
	"context"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/resume"
)

// Streams knows at which service and version streams began, on all nodes.
type Streams interface {
	// Record records where the stream began, or is about to, whose first event comes with an
	// attempt.
	Record(attempt string, o resume.Origin)
	// Settle waits, for a short time at most, until that record outlives all nodes.
	Settle(ctx context.Context, attempt string)
	// Find returns where the stream of a route began whose first event came with an
	// attempt; the attempt is empty if the caller does not name it.
	Find(ctx context.Context, route, attempt string) (resume.Origin, resume.Source)
}

// routeResumes reports whether streams of the route may go on at another target.
func (x *exchange) routeResumes() bool { return x.route.Kind == catalog.Streaming && x.route.Resume }

// findOrigin makes a request that takes a stream up again go to targets of the service and
// version that began it. If these are not known and others could have begun it, the
// request is refused: events of two versions do not fit together, and another node may
// know.
func (x *exchange) findOrigin() *errorResponse {
	if !x.routeResumes() || x.call.Resumes == "" && x.call.LastEventID == "" {
		return nil
	}
	origin, source := x.gateway.Streams.Find(x.request.Context(), x.route.Name, x.call.Resumes)
	x.logOrigin(origin, source)
	switch {
	case source == resume.Unknown:
		return errNotResumable("stream_origin_unknown")
	case !x.route.Uses(origin.Service):
		return errNotResumable("stream_service_left")
	}
	x.resumed, x.service, x.version = true, origin.Service, origin.Version
	return nil
}

// expectOrigin records where a stream will begin that is about to be sent to a target, so
// that the record is not waited for once the first events are there.
func (x *exchange) expectOrigin(target *catalog.Target) {
	if x.routeResumes() && !x.headersSent {
		x.gateway.Streams.Record(x.streamName(), resume.Origin{Service: x.service, Version: target.Version})
	}
}

// recordOrigin records where a stream begins whose first events are about to be sent.
func (x *exchange) recordOrigin(target *catalog.Target) {
	x.version = target.Version
	if !x.routeResumes() {
		return
	}
	x.gateway.Streams.Record(x.streamName(), resume.Origin{Service: x.service, Version: target.Version})
	x.gateway.Streams.Settle(x.request.Context(), x.streamName())
}

// streamName returns the attempt by which the caller will name the stream.
func (x *exchange) streamName() string {
	if x.resumed && x.call.Resumes != "" {
		return x.call.Resumes
	}
	return x.call.ID
}

// logOrigin logs where a stream that the caller takes up again began, and how that is
// known.
func (x *exchange) logOrigin(o resume.Origin, source resume.Source) {
	x.gateway.Logger.Info().Str("event", "stream_origin").Str("request", x.call.ID).Str("route", x.route.Name).
		Str("resumes", x.call.Resumes).Str("after_event", x.call.LastEventID).Str("known", string(source)).
		Str("service", o.Service).Str("version", o.Version).Msg("")
}
