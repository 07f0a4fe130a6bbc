package store_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/store"
)

// A call to an unresponsive store must end when its caller disconnects, even if it has
// a body; otherwise the server cannot be closed.
func TestUnresponsiveStoreReleasesDisconnectedCallers(t *testing.T) {
	is := is.New(t)
	s := store.New()
	server := httptest.NewServer(s)
	s.SetFaults(store.Faults{Unresponsive: true})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, server.URL+"/api/objects/nodes/n", strings.NewReader("{}"))
	is.NoErr(err)
	_, err = http.DefaultClient.Do(req)
	is.True(err != nil)
	closed := make(chan struct{})
	go func() {
		server.CloseClientConnections()
		server.Close()
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the call has not ended")
	}
}

// get calls the store and returns the status, the era and the body; status 0 if the call
// was aborted.
func get(t *testing.T, url string) (status int, era string, body struct {
	AsOf   uint64        `json:"asOf"`
	Events []store.Event `json:"events"`
}) {
	t.Helper()
	// A client repeats a call that was aborted on a connection used before.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(url)
	if err != nil {
		return 0, "", body
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil && resp.StatusCode == http.StatusOK {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get("Store-Era"), body
}

// A restored store gives out revisions again, has no later ones, and says so in the era.
func TestRestoredStoreLosesWhatWasWrittenSinceTheCopy(t *testing.T) {
	is := is.New(t)
	s := store.New()
	server := httptest.NewServer(s)
	defer server.Close()
	url := server.URL + "/api/objects/config"
	is.NoErr(s.Put("config", "main", 1))
	older := s.Copy()
	is.NoErr(s.Put("config", "main", 2))
	status, era, list := get(t, url)
	is.Equal(status, http.StatusOK)
	is.Equal(era, "1")
	is.Equal(list.AsOf, uint64(3))
	aborted := make(chan int, 1)
	go func() {
		status, _, _ := get(t, url+"?watch=3&waitMs=5000")
		aborted <- status
	}()
	time.Sleep(100 * time.Millisecond) // The watch is waiting.
	s.Restore(older)
	is.Equal(<-aborted, 0)
	status, era, list = get(t, url)
	is.Equal(status, http.StatusOK)
	is.Equal(era, "2")
	is.Equal(list.AsOf, uint64(2))
	status, era, _ = get(t, url+"?watch=3&waitMs=0")
	is.Equal(status, http.StatusGone)
	is.Equal(era, "2")
	is.NoErr(s.Put("config", "main", 3))
	_, _, list = get(t, url+"?watch=2&waitMs=1000")
	is.Equal(list.AsOf, uint64(3))
	is.Equal(string(list.Events[0].Object.Spec), "3")
	s.SetFaults(store.Faults{Down: true})
	_, era, _ = get(t, url)
	is.Equal(era, "2")
}

func TestOddSpecsComeBackAsTheyAre(t *testing.T) {
	for name, spec := range store.OddSpecs() {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := store.New()
			s.PutRaw("servers", "i-odd", []byte(spec))
			recorder := httptest.NewRecorder()
			s.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/api/objects/servers", nil))
			is.Equal(recorder.Code, http.StatusOK)
			is.True(strings.Contains(recorder.Body.String(), spec))
		})
	}
}
