package problem_test

import (
	"encoding/json"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/problem"
	"github.com/primrosemoor/primrosemoor/schema"
)

func TestProblemContainsKindRemedyAndOutcome(t *testing.T) {
	is := is.New(t)
	err := fault.New(schema.ErrorKind_ERROR_KIND_OVERLOADED, "shed", "retry later").WithOutcomeNotRun().WithRetryAfter(1500 * time.Millisecond)
	w := httptest.NewRecorder()
	problem.Write(w, err, "id-1")
	is.Equal(w.Code, 503)
	is.Equal(w.Header().Get("Retry-After"), "2")
	is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
	var d problem.Details
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &d))
	is.Equal(d.Kind, "overloaded")
	is.Equal(d.Outcome, "not_run")
	is.Equal(d.Remedy, "retry later")
	is.Equal(d.Status, 503)
	is.Equal(d.RequestID, "id-1")
}

func TestCauseOfAnInternalErrorIsNotShown(t *testing.T) {
	is := is.New(t)
	d := problem.New(errors.New("secret path"), "")
	is.Equal(d.Status, 500)
	is.Equal(d.Detail, "internal error")
}

func TestOnlyInternalKindsHaveStatus500(t *testing.T) {
	is := is.New(t)
	for number := range schema.ErrorKind_name {
		kind := schema.ErrorKind(number)
		switch kind {
		case schema.ErrorKind_ERROR_KIND_UNSPECIFIED, schema.ErrorKind_ERROR_KIND_INTERNAL, schema.ErrorKind_ERROR_KIND_INCOMPATIBLE:
			is.Equal(problem.Status(kind), 500)
		default:
			is.True(problem.Status(kind) != 500)
		}
	}
}

func FuzzProblemBody(f *testing.F) {
	f.Add(int32(1), "message", "remedy", "id")
	f.Add(int32(8), "a\"b\n\x00", "\xff\xfe", "</script>")
	f.Add(int32(-5), "", "", "")
	f.Fuzz(func(t *testing.T, kind int32, message, remedy, id string) {
		details := problem.New(fault.New(schema.ErrorKind(kind), message, remedy).WithOutcomeUnknown(), id)
		var decoded problem.Details
		if err := json.Unmarshal(details.Body(), &decoded); err != nil {
			t.Fatalf("body is not JSON: %v", err)
		}
		if decoded.Status < 400 || decoded.Status > 599 || decoded.Outcome != "unknown" {
			t.Fatalf("unexpected problem %+v", decoded)
		}
	})
}
