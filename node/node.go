// Package node puts one primrosemoor process together: the managers that own
// control state, the links between nodes, the callers' HTTP service, and the
// order in which they start and stop.
package node

import (
	"time"

	"github.com/phuslu/log"
	"go.uber.org/fx"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/explain"
	"github.com/primrosemoor/primrosemoor/ledger"
	"github.com/primrosemoor/primrosemoor/limits"
	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/membership"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/placement"
	"github.com/primrosemoor/primrosemoor/probe"
	"github.com/primrosemoor/primrosemoor/quarantine"
	"github.com/primrosemoor/primrosemoor/register"
	"github.com/primrosemoor/primrosemoor/routing"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
	"github.com/primrosemoor/primrosemoor/topology"
)

// stopSlack is the time that a shutdown may take beyond its drain timeout.
const stopSlack = 10 * time.Second

// Options changes how a node is put together.
type Options struct {
	// Store replaces the object API; nil means the one that the settings name.
	Store objects.Store
}

// parts are the managers of one node.
type parts struct {
	fx.In

	Settings   *schema.Settings
	Logger     *log.Logger
	Telemetry  *telemetry.Telemetry
	Current    *topology.Current
	Store      objects.Store
	Pool       *peer.Pool
	Server     *peer.Server
	Membership *membership.Manager
	Register   *register.Manager
	Ledger     *ledger.Manager
	Admission  *admission.Manager
	Quarantine *quarantine.Manager
	Limits     *limits.Limiter
	Placement  *placement.Manager
	Prober     *probe.Prober
	Permits    *routing.Permits
	Explain    *explain.Recorder
	Dispatcher *dispatch.Dispatcher
	Front      *frontServer
	State      *state
	Shutdown   fx.Shutdowner
}

// New returns the application for settings that have been checked. Run it
// with Start and Stop, or with Run. Further options may read its parts.
func New(settings *schema.Settings, options Options, further ...fx.Option) *fx.App {
	return fx.New(
		fx.Options(further...),
		fx.Supply(settings, options),
		fx.WithLogger(logging.Startup),
		fx.StopTimeout(settings.GetShutdown().GetDrainTimeout().AsDuration()+stopSlack),
		fx.Provide(
			newLogger,
			newTelemetry,
			newState,
			newIdentity,
			newStore,
			newTLS,
			newPool,
			newServer,
			topology.NewCurrent,
			newPlace,
			newLinks,
			newMembership,
			newRegister,
			newLedger,
			newQuarantine,
			newLimits,
			newAdmission,
			newPlacement,
			newProber,
			newPermits,
			newClaims,
			newEngine,
			newSigner,
			newDispatcher,
			explain.NewRecorder,
			newFront,
		),
		fx.Invoke(appendLifecycle),
	)
}
