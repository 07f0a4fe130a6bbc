package store_test

import (
	"context"
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
