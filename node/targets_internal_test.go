package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/placement"
	"github.com/primrosemoor/primrosemoor/schema"
)

// The head of a target's answer to a placement request was bounded at 10 MiB only.
func TestHeadWithoutEndOfAnAnswerToAPlacementRequestIsRefused(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-A", strings.Repeat("a", 1<<20))
		_, _ = w.Write([]byte(`{"leaving":true}`))
	}))
	defer server.Close()
	targets := placement.HTTPTargets{Client: newTargetClient(&schema.Settings{})}
	_, err := targets.State(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	is.True(err != nil)
}
