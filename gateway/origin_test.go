package gateway_test

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/catalog"
	"github.com/primrosemoor/primrosemoor/resume"
)

// takesUp makes a request that takes up the stream of another attempt after event 3.
func takesUp(attempt string) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Last-Event-Id", "3")
		if attempt != "" {
			r.Header.Set("Resumes", attempt)
		}
	}
}

// serve makes targets of some versions known to have served the gateway's service.
func (g *testGateway) serve(versions ...string) {
	var targets []*catalog.Target
	for _, v := range versions {
		targets = append(targets, &catalog.Target{ID: "i-" + v, Service: "s", Version: v})
	}
	g.streams.Update(g.config.table.Config.Routes, targets)
}

func TestStreamIsTakenUpOnlyAtTheVersionThatBeganIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempt  string
		versions []string
		recorded resume.Origin
		status   int
	}{
		{"recorded", "first", []string{testVersion, "other"}, resume.Origin{Service: "s", Version: testVersion}, 200},
		{"recorded, no target of the version", "first", []string{testVersion, "other"}, resume.Origin{Service: "s", Version: "other"}, 503},
		{"recorded, service has left the route", "first", []string{testVersion, "other"}, resume.Origin{Service: "left", Version: testVersion}, 503},
		{"unknown, one version", "first", []string{testVersion}, resume.Origin{}, 200},
		{"unknown, two versions", "first", []string{testVersion, "other"}, resume.Origin{}, 503},
		{"not named, one version", "", []string{testVersion}, resume.Origin{}, 200},
		{"not named, two versions", "", []string{testVersion, "other"}, resume.Origin{}, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := newTestGateway(t, resumableRoute(), streamScript(streamEvents(4, 6), false))
			g.serve(c.versions...)
			if c.recorded.Service != "" {
				g.streams.Record(resume.Identify("first"), c.recorded)
			}
			got := g.send(t, t.Context(), takesUp(c.attempt))
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			if c.status == 200 {
				is.Equal(got.body, streamEvents(4, 6))
				return
			}
			is.Equal(len(g.sender.sent()), 0) // The refusal says that it was not run.
			is.True(got.header.Get("Retry-After") != "")
		})
	}
}

func TestOriginOfAStreamIsRecordedWithTheAttemptThatBroughtItsFirstEvent(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, resumableRoute(),
		targetScript{resetAfterSend: true}, streamScript(streamEvents(1, 6), false), streamScript(streamEvents(4, 6), false))
	is.Equal(g.send(t, t.Context(), nil).body, streamEvents(1, 6))
	o, ok := g.streams.Lookup(resume.Identify("id-1"))
	is.True(ok)
	is.Equal(o, resume.Origin{Service: "s", Version: testVersion})
	is.Equal(g.send(t, t.Context(), func(r *http.Request) {
		takesUp("id-1")(r)
		r.Header.Set(headerID, "id-2")
	}).body, streamEvents(4, 6))
	_, ok = g.streams.Lookup(resume.Identify("id-2"))
	is.True(!ok)
}

func TestStreamThatNobodyCanTakeUpIsNotRecorded(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, newRoute(catalog.Streaming), streamScript(streamEvents(1, 6), false))
	is.Equal(g.send(t, t.Context(), nil).status, 200)
	_, ok := g.streams.Lookup(resume.Identify("id-1"))
	is.True(!ok)
}
