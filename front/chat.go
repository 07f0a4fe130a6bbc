package front

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
)

func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	x := f.indexFor(f.options.Snapshot())
	if _, err := x.authenticate(r); err != nil {
		problem.Write(w, err, "")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(ModelList{Object: "list", Data: x.models})
}

func (f *Front) serveChat(w http.ResponseWriter, r *http.Request) {
	e := f.newExchange(w, r)
	err := e.prepareChat()
	e.serve(err)
}

// prepareChat builds the dispatch request from the caller's chat completion
// request.
func (e *exchange) prepareChat() error {
	if err := e.authenticate(); err != nil {
		return err
	}
	body, err := e.front.readBody(e.writer, e.httpRequest)
	if err != nil {
		return err
	}
	chat, err := engine.ParseChat(body)
	if err != nil {
		return notRun(err)
	}
	service, ok := e.index.servicesByModel[chat.Model]
	if !ok {
		return fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
			"no service has the model "+strconv.Quote(chat.Model), "use a model listed by GET /v1/models").WithOutcomeNotRun()
	}
	if err := e.fillRouting(service, nil); err != nil {
		return err
	}
	return e.fillChat(chat)
}

// fillChat sets the fields that depend on the body. The digest and the
// fingerprint cover the normalized body.
func (e *exchange) fillChat(chat *engine.ChatRequest) error {
	normalized, err := chat.Normalized()
	if err != nil {
		return err
	}
	text := promptText(chat.Messages)
	q := &e.request
	q.Model = chat.Model
	q.Idempotent = true
	q.Stream = chat.Stream
	q.IncludeUsage = chat.IncludeUsage()
	q.Body = engine.StreamedBody(normalized)
	q.Digest = digest([]byte(e.httpRequest.URL.Path), normalized, strconv.AppendBool(nil, chat.Stream))
	q.PromptTokens = estimateTokens(text)
	q.MaxOutputTokens = chat.MaxOutputTokens()
	q.PrefixBlocks = prefixBlocks(text)
	q.Fingerprint = xxhash.Sum64(normalized)
	return nil
}

// notRun returns a copy of err with the outcome not_run.
func notRun(err error) error {
	e := *fault.From(err)
	return e.WithOutcomeNotRun()
}

func (f *Front) serveResume(w http.ResponseWriter, r *http.Request) {
	e := f.newExchange(w, r)
	after, err := e.prepareResume()
	if err != nil {
		e.fail(dispatch.Result{Source: dispatch.SourceResumed, Total: time.Since(e.request.Arrived)}, err)
		return
	}
	result, err := f.options.Dispatcher.Resume(r.Context(), w, e.team.GetName(),
		r.Header.Get(dispatch.HeaderStreamTicket), after)
	e.finish(result, err)
}

func (e *exchange) prepareResume() (uint64, error) {
	if err := e.authenticate(); err != nil {
		return 0, err
	}
	if e.httpRequest.Header.Get(dispatch.HeaderStreamTicket) == "" {
		return 0, badRequest("no stream ticket came with the request", "send X-Stream-Ticket as the answer gave it")
	}
	return lastEventID(e.httpRequest)
}
