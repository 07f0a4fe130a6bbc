// Package entry puts one entry node together: it follows the platform's store,
// serves callers, and starts and stops its parts in order.
package entry

import (
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// New returns the application for settings that have been checked.
func New(s *schema.GatewaySettings, further ...fx.Option) *fx.App {
	return fx.New(
		fx.Options(further...),
		fx.Supply(s),
		fx.WithLogger(logging.Startup),
		fx.StopTimeout(s.GetBounds().GetGrace().AsDuration()),
		fx.Provide(
			telemetry.NewEntry,
			newDecisions,
			newBounded,
			newLogger,
			newStore,
			newSelf,
			newIdentity,
			newPool,
			newServer,
			newHub,
			newMesh,
			newBalancer,
			newOwner,
			newDatastore,
			newAllowance,
			newUpstream,
			newRetries,
			newGateway,
		),
		fx.Invoke(appendLifecycle),
	)
}

func newBounded(s *schema.GatewaySettings, t *telemetry.Entry, d *explain.Recorder) (*logging.Bounded, error) {
	return logging.NewBounded(s.GetLog(), logging.StandardOutput{}, t.LinesDropped, d.Add)
}

func newLogger(b *logging.Bounded) *log.Logger { return b.Logger }

func newStore(s *schema.GatewaySettings, t *telemetry.Entry) *platform.Store {
	return platform.NewStore(s.GetStore().GetAddress(), t.StoreCall)
}

func newUpstream(t *telemetry.Entry) *upstream.Client {
	return upstream.NewClient(t.Dialed)
}

func newRetries(s *schema.GatewaySettings, h *hub) *quota.Retries {
	h.retries = quota.NewRetries(retryLimits(s.GetBounds()))
	return h.retries
}

func newGateway(d *datastore.Manager, b *owner.Manager, a *quota.Allowance, r *quota.Retries, u *upstream.Client, t *telemetry.Entry, logger *log.Logger) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Beliefs: d, Dialect: platform.Dialect{}, Balancer: b, Allowance: a, Retries: r, Sender: u,
		Metrics: t, Logger: logger,
	})
}

// settle is how long the balancer takes to stop sending connections to a node
// that says it is not ready: two questions a second apart, and their answers.
const settle = 2500 * time.Millisecond
