package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
)

const plainGroup = "app/a/0"

func plainRequest() *schema.PermitRequest {
	return &schema.PermitRequest{Group: plainGroup, Service: "app"}
}

// The only plain target of the test topology has a concurrency limit of 2, and
// a permit of the previous owner uses one of the two slots.
func TestNewOwnerDoesNotOvercommitTargetsThatOldPermitsStillUse(t *testing.T) {
	is := is.New(t)
	o := newOwner(&schema.SchedulingSettings{}, 1)
	announced := &schema.HandoverRequest{Group: plainGroup, Targets: []*schema.TargetState{{
		Name:    "vm0/app",
		Permits: []*schema.OutstandingPermit{{Number: 7, Tokens: 1}},
	}}}
	o.AcceptHandover(start, announced)
	o.AcceptHandover(start, announced) // A repeated handover counts once.
	is.True(enqueue(o, start, plainRequest()).reply.GetPermit() != nil)
	second := enqueue(o, start, plainRequest())
	is.True(second.reply == nil)
	o.Return(start.Add(time.Millisecond), &schema.PermitReturn{
		Number: 7, Group: plainGroup, Result: schema.PermitResult_PERMIT_RESULT_COMPLETED,
	})
	is.True(second.reply.GetPermit() != nil)
}
