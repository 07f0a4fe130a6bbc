package front

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const servicesPrefix = "/services/"

// strippedHeaders are addressed to this system and are not forwarded to targets.
// A forwarded bearer key would let a target impersonate the team.
var strippedHeaders = []string{"Authorization", "Expect", HeaderTier, HeaderDeadline, dispatch.HeaderStreamTicket}

func (f *Front) servePlain(w http.ResponseWriter, r *http.Request) {
	e := f.newExchange(w, r)
	err := e.preparePlain()
	e.serve(err)
}

// preparePlain builds the dispatch request from the caller's request to a plain
// service.
func (e *exchange) preparePlain() error {
	if err := e.authenticate(); err != nil {
		return err
	}
	service, err := e.plainService()
	if err != nil {
		return err
	}
	path, unescaped, err := targetPath(e.httpRequest.URL)
	if err != nil {
		return err
	}
	body, err := e.front.readBody(e.writer, e.httpRequest)
	if err != nil {
		return err
	}
	route := routeFor(service, e.httpRequest.Method, unescaped)
	if err := e.fillRouting(service, route); err != nil {
		return err
	}
	q := &e.request
	q.Idempotent = isIdempotent(route, e.httpRequest.Method)
	q.Method = e.httpRequest.Method
	q.Path = path
	q.Header = forwardedHeaders(e.httpRequest.Header)
	q.Body = body
	q.Digest = digest([]byte(q.Method), []byte(q.Path), body)
	q.PromptTokens = estimateTokens(body)
	q.Fingerprint = xxhash.Sum64(q.Digest)
	return nil
}

// plainService returns the service that the path names. Engine services are not
// reachable by this path.
func (e *exchange) plainService() (*schema.Service, error) {
	name, err := url.PathUnescape(mux.Vars(e.httpRequest)["service"])
	if err != nil {
		return nil, badRequest("the service's name is malformed", "escape the name as RFC 3986 states")
	}
	service, ok := e.snapshot.Service(name)
	if !ok || service.GetKind() != schema.ServiceKind_SERVICE_KIND_PLAIN {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
			"no plain service has this name", "use a service of kind plain in the configuration").WithOutcomeNotRun()
	}
	return service, nil
}

// targetPath returns the path and query for the target, escaped as the caller
// sent them, and the unescaped path for matching routes.
func targetPath(u *url.URL) (escaped, unescaped string, err error) {
	_, escaped, _ = strings.Cut(strings.TrimPrefix(u.EscapedPath(), servicesPrefix), "/")
	unescaped, err = url.PathUnescape(escaped)
	if err != nil || hasDotSegments(unescaped) {
		return "", "", badRequest("the path has dot segments or is malformed", "send the resolved path")
	}
	escaped = "/" + escaped
	if u.RawQuery != "" {
		escaped += "?" + u.RawQuery
	}
	return escaped, unescaped, nil
}

// forwardedHeaders returns the caller's headers that are sent to the target.
func forwardedHeaders(header http.Header) http.Header {
	h := engine.EndToEnd(header)
	for _, name := range strippedHeaders {
		h.Del(name)
	}
	return h
}
