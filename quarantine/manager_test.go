package quarantine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/quarantine"
	"github.com/primrosemoor/primrosemoor/schema"
)

// directNotifier passes notices to another manager synchronously.
type directNotifier struct{ manager *quarantine.Manager }

func (s directNotifier) Broadcast(n *schema.QuarantineNotice) { s.manager.HandleNotice(time.Now(), n) }

func TestQuarantineReachesPeersStoreAndNewNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := objects.NewMemory()
		peer := quarantine.New(quarantine.Options{Store: store})
		m := quarantine.New(quarantine.Options{Store: store, Broadcaster: directNotifier{peer}})
		go m.Run(ctx)
		m.RecordTargetDeath(time.Now(), "vm0", crashing, false)
		verdict, _ := peer.Check(time.Now(), crashing)
		is.Equal(verdict, admission.VerdictSuspect)
		m.RecordTargetDeath(time.Now(), "vm1", crashing, true)
		verdict, err := peer.Check(time.Now(), crashing)
		is.Equal(verdict, admission.VerdictQuarantined)
		is.Equal(fault.KindOf(err), schema.ErrorKind_ERROR_KIND_QUARANTINED)
		is.Equal(fault.From(err).Outcome, schema.Outcome_OUTCOME_NOT_RUN)
		synctest.Wait()
		object, err := store.Get(ctx, quarantine.StoreKey)
		is.NoErr(err)
		list := &schema.QuarantineList{}
		is.NoErr(proto.Unmarshal(object.Value, list))
		is.Equal(list.GetEntries()[0].GetTargets(), []string{"vm0", "vm1"})
		joining := quarantine.New(quarantine.Options{Store: store})
		go joining.Run(ctx)
		synctest.Wait()
		verdict, _ = joining.Check(time.Now(), crashing)
		is.Equal(verdict, admission.VerdictQuarantined)
		cancel()
		synctest.Wait()
	})
}
