package front_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/engine"
)

// stallingTarget sends one event of each stream and then keeps the stream open
// until its client disconnects. It sends the ids of cancelled streams on cancelled.
func stallingTarget(cancelled chan<- string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- strings.TrimPrefix(r.URL.Path, "/v1/streams/")
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engine.HeaderStreamID, "stream-1")
		_, _ = io.WriteString(w, "id: 1\ndata: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
}

func TestCallerDisconnectCancelsItsStream(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan string, 1)
	_, viaNode := startTargetAndNode(t, stallingTarget(cancelled))
	resp, err := newClient().Do(benchRequest(t, viaNode, "r", true))
	is.NoErr(err)
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "id: 1\n")
	is.NoErr(resp.Body.Close())
	is.Equal(<-cancelled, "stream-1")
}

func TestTruncatedPlainResponseAbortsTheCallersConnection(t *testing.T) {
	is := is.New(t)
	_, viaNode := startTargetAndNode(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "begin")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}))
	req, err := http.NewRequest("GET", viaNode+"/services/app/lookup", nil)
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+guestKey)
	resp, err := newClient().Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

func TestStreamedAndWholeResponsesAreDelivered(t *testing.T) {
	is := is.New(t)
	_, viaNode := startTargetAndNode(t, pacedTarget(0, 0, 3))
	for stream, want := range map[bool]string{true: "data: [DONE]\n\n", false: `"content":"token token token "`} {
		resp, err := newClient().Do(benchRequest(t, viaNode, "r", stream))
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(resp.StatusCode, http.StatusOK)
		is.True(strings.Contains(string(body), want))
		is.True(resp.Header.Get("X-Stream-Ticket") != "")
	}
}
