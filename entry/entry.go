// Package entry assembles an entry node: it wires the node's components, follows
// the platform's store, serves callers, and starts and stops the components in
// order.
package entry

import (
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/balance"
	"github.com/primrosemoor/primrosemoor/culprit"
	"github.com/primrosemoor/primrosemoor/datastore"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/gateway"
	"github.com/primrosemoor/primrosemoor/hedge"
	"github.com/primrosemoor/primrosemoor/links"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/owner"
	"github.com/primrosemoor/primrosemoor/platform"
	"github.com/primrosemoor/primrosemoor/quota"
	"github.com/primrosemoor/primrosemoor/resume"
	"github.com/primrosemoor/primrosemoor/rollout"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/upstream"
)

// New returns the fx application of an entry node. The settings must already be
// validated.
func New(s *schema.GatewaySettings, extra ...fx.Option) *fx.App {
	return fx.New(
		fx.Options(extra...),
		fx.Supply(s),
		fx.WithLogger(logging.NewFxLogger),
		fx.StopTimeout(s.GetBounds().GetGrace().AsDuration()),
		fx.Provide(
			telemetry.NewEntryMetrics,
			newRecorder,
			newBoundedLogger,
			newLogger,
			newStore,
			newSelf,
			newIdentity,
			newPool,
			newServer,
			newForwarder,
			newCulprits,
			newStreams,
			newArchive,
			newStreamFinder,
			newRollouts,
			newDecider,
			newMesh,
			newBalancer,
			newOwner,
			newDatastore,
			newAllowance,
			upstream.NewDial,
			newUpstream,
			newLinks,
			newLinkClient,
			newForwardClient,
			newForwardServer,
			newSwitch,
			newRetries,
			newHedges,
			newGateway,
		),
		fx.Invoke(appendLifecycle),
	)
}

func newBoundedLogger(s *schema.GatewaySettings, t *telemetry.EntryMetrics, r *explain.Recorder) (*logging.BoundedLogger, error) {
	return logging.NewBoundedLogger(s.GetLog(), logging.StandardOutput{}, t.LinesDropped, r.Add)
}

func newLogger(b *logging.BoundedLogger) *log.Logger { return b.Logger }

func newStore(s *schema.GatewaySettings, t *telemetry.EntryMetrics) *platform.Store {
	return platform.NewStore(s.GetStore().GetAddress(), t.StoreCall)
}

func newUpstream(dial upstream.DialFunc, t *telemetry.EntryMetrics) *upstream.Client {
	return upstream.NewClient(dial, t.Dialed)
}

func newRetries(s *schema.GatewaySettings, f *forwarder) *quota.Retries {
	f.retries = quota.NewRetries(retryLimits(s.GetBounds()))
	return f.retries
}

func newHedges(s *schema.GatewaySettings, r *quota.Retries, t *telemetry.EntryMetrics) *hedge.Manager {
	return hedge.NewManager(hedge.Options{MaxShare: s.GetHedging().GetMaxShare(), AllowRetry: r.AllowHedge, Count: t.CopyCounted})
}

const (
	// heldBytesPerMebibyte is how many bytes of answers requests may hold back together per
	// mebibyte of the node's memory: an eighth of it, because slices that grow take up to
	// twice their length.
	heldBytesPerMebibyte = 1 << 17
	// bodyBytesPerMebibyte is how many bytes of bodies they may hold: a quarter.
	bodyBytesPerMebibyte = 1 << 18
	// headBytesPerMebibyte is how much of it the heads of requests may take: a sixteenth.
	headBytesPerMebibyte = 1 << 16
)

func newGateway(s *schema.GatewaySettings, d *datastore.Manager, b *owner.Manager, l *balance.Manager, a *quota.Allowance, r *quota.Retries, u *upstream.Client, c *culprit.Manager, streams *resume.Finder, m *links.Monitors, sender *links.Switch, h *hedge.Manager, ro *rollout.Manager, t *telemetry.EntryMetrics, logger *log.Logger) *gateway.Gateway {
	return gateway.New(gateway.Options{
		Config: d, HeaderCodec: platform.HeaderCodec{}, Balancer: withRollouts(ro, b), Allowance: a, Retries: r, Hedges: h, Sender: sender,
		Culprits: c, Prober: u, Limits: l, Loads: targetLoads{b}, Signals: b, Streams: streams, Links: m, Metrics: t, Logger: logger,
		HeldBytes: int(s.GetResources().GetMemoryMebibytes() * heldBytesPerMebibyte),
		BodyBytes: int(s.GetResources().GetMemoryMebibytes() * bodyBytesPerMebibyte),
	})
}

// deregistrationDelay is how long the platform's load balancer takes to stop
// sending connections to a node that reports that it is not ready: two readiness
// probes one second apart, and their responses.
const deregistrationDelay = 2500 * time.Millisecond
