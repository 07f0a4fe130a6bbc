package admission_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/schema"
)

const plainGroup = "app/a/0"

func plainAsk() *schema.PermitRequest {
	return &schema.PermitRequest{Group: plainGroup, Service: "app"}
}

// A plain target of the test topology runs two requests at once.
func TestNewOwnerDoesNotOvercommitTargetsThatOldPermitsStillUse(t *testing.T) {
	is := is.New(t)
	o := newOwner(&schema.SchedulingSettings{}, 1)
	announced := &schema.HandoverRequest{Group: plainGroup, Targets: []*schema.TargetState{{
		Name:    "vm0/app",
		Permits: []*schema.OutstandingPermit{{Number: 7, Tokens: 1}},
	}}}
	o.AcceptHandover(start, announced)
	o.AcceptHandover(start, announced) // A repeated announcement counts once.
	is.True(ask(o, start, plainAsk()).reply.GetPermit() != nil)
	second := ask(o, start, plainAsk())
	is.True(second.reply == nil)
	o.Return(start.Add(time.Millisecond), &schema.PermitReturn{
		Number: 7, Group: plainGroup, Result: schema.PermitResult_PERMIT_RESULT_COMPLETED,
	})
	is.True(second.reply.GetPermit() != nil)
}
