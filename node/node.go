// Package node assembles one primrosemoor process: the managers of the control
// state, the connections between nodes, the HTTP server, and the order in which
// they start and stop.
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

// stopMargin is the time that a shutdown may take beyond the drain timeout.
const stopMargin = 10 * time.Second

// Options configures how a node is assembled.
type Options struct {
	// Store replaces the client of the object API; nil means a client for the
	// object API in the settings.
	Store objects.Store
}

// components are the dependencies of one node's lifecycle.
type components struct {
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
	State      *processState
	Shutdown   fx.Shutdowner
}

// New returns the application for validated settings. Run it with Start and
// Stop, or with Run. Extra fx options can access its components.
func New(settings *schema.Settings, options Options, extra ...fx.Option) *fx.App {
	return fx.New(
		fx.Options(extra...),
		fx.Supply(settings, options),
		fx.WithLogger(logging.NewFxLogger),
		fx.StopTimeout(settings.GetShutdown().GetDrainTimeout().AsDuration()+stopMargin),
		fx.Provide(
			newLogger,
			newTelemetry,
			newProcessState,
			newIdentity,
			newStore,
			newTLS,
			newPool,
			newServer,
			topology.NewCurrent,
			newLocation,
			newPeerClient,
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
