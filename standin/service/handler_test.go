package service_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/standin/record"
	"github.com/primrosemoor/primrosemoor/standin/service"
)

func TestRunsAreCountedAndRecorded(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "record")
	recorder, err := record.NewRecorder("s1", path)
	is.NoErr(err)
	handler := service.NewHandler(service.Options{Name: "s1", Recorder: recorder})
	var answer service.Answer
	for range 2 {
		request := httptest.NewRequest(http.MethodPost, "/book", strings.NewReader("{}"))
		request.Header.Set("Idempotency-Key", "b1")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		is.NoErr(json.NewDecoder(response.Body).Decode(&answer))
	}
	is.Equal(answer, service.Answer{Target: "s1", RequestID: "b1", Path: "/book", Run: 2, BodyBytes: 2})
	text, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(strings.Count(string(text), `"kind":"start"`), 2)
}
