package objectapi_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/objectapi"
)

func put(t *testing.T, server, key, value, match string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPut, server+"/v1/objects/"+key, strings.NewReader(value))
	if err != nil {
		t.Fatal(err)
	}
	if match == "" {
		request.Header.Set("If-None-Match", "*")
	} else {
		request.Header.Set("If-Match", match)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	return response.StatusCode, response.Header.Get("ETag")
}

func list(t *testing.T, url string) objectapi.Listing {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var l objectapi.Listing
	if err := json.NewDecoder(response.Body).Decode(&l); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestConditionalUpdateAndWatch(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(objectapi.NewHandler(objectapi.Options{}))
	defer server.Close()
	status, tag := put(t, server.URL, "config/head", "one", "")
	is.Equal(status, http.StatusOK)
	status, _ = put(t, server.URL, "config/head", "two", "")
	is.Equal(status, http.StatusPreconditionFailed)
	before := list(t, server.URL+"/v1/objects?prefix=config/")
	is.Equal(string(before.Objects[0].Value), "one")
	status, _ = put(t, server.URL, "config/head", "two", tag)
	is.Equal(status, http.StatusOK)
	after := list(t, server.URL+"/v1/watch?prefix=config/&cursor=1&wait_ms=1000")
	is.Equal(string(after.Objects[0].Value), "two")
	is.True(after.Cursor > before.Cursor)
}

func TestCallWithLostResponseTakesEffect(t *testing.T) {
	is := is.New(t)
	handler := objectapi.NewHandler(objectapi.Options{Faults: objectapi.Faults{LoseAnswers: 1}})
	server := httptest.NewServer(handler)
	defer server.Close()
	status, _ := put(t, server.URL, "k", "v", "")
	is.Equal(status, 0) // the connection was closed without a response
	handler.SetFaults(objectapi.Faults{})
	is.Equal(string(list(t, server.URL+"/v1/objects?prefix=k").Objects[0].Value), "v")
}

func TestOutageAndThrottling(t *testing.T) {
	is := is.New(t)
	handler := objectapi.NewHandler(objectapi.Options{Faults: objectapi.Faults{Down: true}})
	server := httptest.NewServer(handler)
	defer server.Close()
	status, _ := put(t, server.URL, "k", "v", "")
	is.Equal(status, http.StatusServiceUnavailable)
	handler.SetFaults(objectapi.Faults{WritesPerSecond: 0.001})
	status, _ = put(t, server.URL, "k", "v", "")
	is.Equal(status, http.StatusOK)
	status, _ = put(t, server.URL, "k2", "v", "")
	is.Equal(status, http.StatusTooManyRequests)
}
