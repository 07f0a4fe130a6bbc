package explain_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// grantingPermits grants every permit.
type grantingPermits struct{}

func (grantingPermits) Acquire(context.Context, *schema.PermitRequest) (*schema.Permit, error) {
	return &schema.Permit{Decision: "event=permit target=a"}, nil
}

func (grantingPermits) Return(*schema.PermitReturn) {}

func TestDecisionAndReturnOfARequestAreRecorded(t *testing.T) {
	is := is.New(t)
	recorder, err := explain.NewRecorder()
	is.NoErr(err)
	permits := explain.RecordingPermits{Permits: grantingPermits{}, Recorder: recorder}
	_, err = permits.Acquire(t.Context(), &schema.PermitRequest{RequestId: "x"})
	is.NoErr(err)
	permits.Return(&schema.PermitReturn{RequestId: "x", Target: "a"})
	reply, err := recorder.Handle(t.Context(), &schema.ExplainRequest{RequestId: "x"})
	is.NoErr(err)
	is.Equal(len(reply.GetLines()), 2)
	is.Equal(reply.GetLines()[0], "event=permit target=a")
	_, err = recorder.Handle(t.Context(), &schema.ExplainRequest{RequestId: "y"})
	is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_NOT_FOUND)
}
