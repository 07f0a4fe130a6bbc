package front

import (
	"net/http"
	"time"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/topology"
)

// exchange is one caller's request and its answer.
type exchange struct {
	front    *Front
	writer   http.ResponseWriter
	http     *http.Request
	snapshot *topology.Snapshot
	index    *index
	team     *schema.Team
	tier     tier
	request  dispatch.Request
	admitted bool
}

func (f *Front) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	e := &exchange{front: f, writer: w, http: r, snapshot: f.options.Snapshot()}
	e.index = f.indexFor(e.snapshot)
	e.request.Arrived = time.Now()
	return e
}

func (e *exchange) authenticate() error {
	team, err := e.index.authenticate(e.http)
	if err != nil {
		return err
	}
	e.team = team
	e.request.Team = team.GetName()
	return nil
}

// assign sets service, tier, deadline and id.
func (e *exchange) assign(service *schema.Service, route *schema.Route) error {
	e.request.Service = service.GetName()
	e.request.Kind = service.GetKind()
	var err error
	e.tier, err = tierFor(e.snapshot, e.http, e.team, service, route)
	if err != nil {
		return err
	}
	e.request.Tier = e.tier.rank
	e.request.Deadline, err = e.front.deadline(e.http)
	if err != nil {
		return err
	}
	e.request.StatedDeadline = e.http.Header.Get(HeaderDeadline) != ""
	return e.front.identify(e.http, e.team.GetName(), &e.request)
}

// serve dispatches the prepared request, unless preparing it failed.
func (e *exchange) serve(prepareErr error) {
	if prepareErr != nil {
		e.fail(dispatch.Result{Total: time.Since(e.request.Arrived)}, e.honest(prepareErr))
		return
	}
	e.request.Admit = e.admit
	var result dispatch.Result
	var err error
	defer func() { e.release(result.OutputTokens) }()
	result, err = e.front.options.Dispatcher.Serve(e.http.Context(), e.writer, &e.request)
	e.end(result, err)
}

// admit asks the team's limits.
func (e *exchange) admit() error {
	err := e.front.options.Limits.Allow(e.request.Team, e.request.PromptTokens)
	e.admitted = err == nil
	return err
}

// release charges the tokens that were generated for an admitted request.
func (e *exchange) release(generated uint32) {
	if e.admitted {
		e.front.options.Limits.Done(e.request.Team, generated)
	}
}

// honest marks the outcome of a request refused before the ledger was asked.
// An earlier send of the caller's key may have run if the refusal is one that
// does not meet every send alike.
func (e *exchange) honest(err error) error {
	if e.http.Header.Get(dispatch.HeaderIdempotencyKey) == "" {
		return err
	}
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_TIMEOUT, schema.ErrorKind_ERROR_KIND_NOT_FOUND:
		refusal := *fault.From(err)
		return refusal.Unknown()
	default:
		return err
	}
}

// end answers with the error if nothing was sent, and records the request.
func (e *exchange) end(result dispatch.Result, err error) {
	if err != nil && result.Status == 0 {
		e.fail(result, err)
		return
	}
	e.record(result, err)
	if result.Truncated && !e.request.Stream && e.request.Kind == schema.ServiceKind_SERVICE_KIND_PLAIN {
		// Ends the connection, so that the caller sees that bytes are missing.
		panic(http.ErrAbortHandler)
	}
}

func (e *exchange) fail(result dispatch.Result, err error) {
	if e.request.ID != "" {
		e.writer.Header().Set(dispatch.HeaderIdempotencyKey, e.request.ID)
	}
	if !result.CallerGone {
		problem.Write(e.writer, err, e.request.ID)
		result.Status = problem.Status(fault.KindOf(err))
	}
	e.record(result, err)
}

// record adds the request to the meters and writes its log line.
func (e *exchange) record(result dispatch.Result, err error) {
	name := resultName(result, err)
	t := e.front.options.Telemetry
	t.RecordRequest(telemetry.Request{
		Tier:         e.tier.name,
		Service:      e.request.Service,
		Result:       name,
		Delivered:    result.Delivered,
		Dispatched:   result.Dispatched,
		PromptTokens: result.PromptTokens,
		CachedTokens: result.CachedTokens,
		OutputTokens: result.OutputTokens,
		FirstToken:   result.FirstToken,
		Gaps:         result.Gaps,
	})
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_OVERLOADED {
		t.CountShed(e.tier.name)
	}
	e.log(name, result, err)
}

// resultName is a short word for the log and the meters.
func resultName(result dispatch.Result, err error) string {
	switch {
	case result.CallerGone:
		return "caller-gone"
	case err != nil:
		return fault.KindName(fault.KindOf(err))
	case result.Source == dispatch.SourceRun:
		return "completed"
	default:
		return string(result.Source)
	}
}

// log writes the request's one line. It holds no keys, paths or bodies.
func (e *exchange) log(name string, result dispatch.Result, err error) {
	line := e.front.options.Logger.Info()
	line.Str("event", "request").
		Str("request_id", e.request.ID).
		Bool("caller_key", e.request.CallerKey).
		Str("team", e.request.Team).
		Str("tier", e.tier.name).
		Str("service", e.request.Service).
		Str("model", e.request.Model).
		Str("method", e.http.Method).
		Bool("stream", e.request.Stream).
		Str("result", name).
		Int("status", result.Status).
		Str("source", string(result.Source)).
		Str("target", result.Target).
		Str("group", result.Group).
		Str("stream_id", result.StreamID).
		Bool("dispatched", result.Dispatched).
		Int("permits", result.Permits).
		Int("resumes", result.Resumes).
		Uint32("prompt_tokens", result.PromptTokens).
		Uint32("cached_tokens", result.CachedTokens).
		Uint32("output_tokens", result.OutputTokens).
		Float64("permit_wait_ms", milliseconds(result.PermitWait)).
		Float64("first_token_ms", milliseconds(result.FirstToken)).
		Float64("total_ms", milliseconds(result.Total))
	if err != nil {
		e := fault.From(err)
		line.Str("outcome", fault.OutcomeName(e.Outcome)).Str("error", e.Message)
	}
	line.Msg("")
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1e3
}
