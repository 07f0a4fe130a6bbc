package register

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/primrosemoor/primrosemoor/logging"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// DefaultCompareInterval is the mean time between comparisons with a
	// randomly chosen peer.
	DefaultCompareInterval = 10 * time.Second
	// storeCompareEvery is the number of comparisons with peers per comparison
	// with the store. It serves nodes that do not watch the store; watchers do
	// it as well.
	storeCompareEvery = 6
	// startInterval is the mean time between attempts of a node that has no
	// configuration yet.
	startInterval = 500 * time.Millisecond

	deltaTimeout     = 2 * time.Second
	fullTimeout      = 20 * time.Second
	storeReadTimeout = 20 * time.Second
)

// Peers calls the other nodes.
type Peers interface {
	// ConfigDelta requests the configuration changes from the node at a peer
	// address.
	ConfigDelta(ctx context.Context, address string, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error)
	// Addresses returns the peer addresses of the other nodes, nearest first.
	Addresses() []string
}

// Options configures a Manager.
type Options struct {
	Store objects.Store
	Peers Peers
	// Logger may be nil.
	Logger *log.Logger
	// CompareInterval is the mean time between comparisons with a peer; 0 means
	// DefaultCompareInterval.
	CompareInterval time.Duration
	// WatchTimeout bounds one watch call; 0 means 30 seconds.
	WatchTimeout time.Duration
	// Seed makes the choice of peers and the jitter reproducible; 0 means a
	// random seed.
	Seed uint64
}

// Manager holds the node's configuration and updates it from the store and from
// peers. It adopts only higher revisions that pass Check.
type Manager struct {
	options      Options
	logger       *log.Logger
	random       *rand.Rand
	current      atomic.Pointer[snapshot]
	watchesStore atomic.Bool
	// wake notifies Run that watchesStore or highestReported changed.
	wake    chan struct{}
	results chan readResult

	mu              sync.Mutex
	highestReported revisionReport
	// highestRejected is the highest revision that failed Check on this node.
	highestRejected uint64
	subscribers     []func(*schema.Config)
}

// revisionReport is a revision that a peer reported, with the peer's address.
type revisionReport struct {
	address  string
	revision uint64
}

// readResult is the result of a read from the store or from a peer.
type readResult struct {
	source string
	// head is the head from the watch whose parts were read from the store.
	head     *schema.ConfigHead
	snapshot *snapshot
	err      error
}

// NewManager returns a manager without a configuration.
func NewManager(options Options) *Manager {
	if options.CompareInterval <= 0 {
		options.CompareInterval = DefaultCompareInterval
	}
	if options.WatchTimeout <= 0 {
		options.WatchTimeout = 30 * time.Second
	}
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	m := &Manager{
		options: options,
		logger:  options.Logger,
		random:  rand.New(rand.NewPCG(options.Seed, 1)),
		wake:    make(chan struct{}, 1),
		results: make(chan readResult),
	}
	if m.logger == nil {
		m.logger = logging.Discard()
	}
	return m
}

// Current returns the configuration active on this node, or nil if there is
// none yet. It must not be modified.
func (m *Manager) Current() *schema.Config {
	s := m.current.Load()
	if s == nil {
		return nil
	}
	return s.config
}

// Revision returns the revision active on this node, or 0 if there is none yet.
func (m *Manager) Revision() uint64 {
	return m.current.Load().revision()
}

// Subscribe calls f with the current configuration, if there is one, and with
// each one adopted later, in order. f must return quickly and must not call
// Subscribe.
func (m *Manager) Subscribe(f func(*schema.Config)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
	if c := m.Current(); c != nil {
		f(c)
	}
}

// SetWatchStore sets whether this node watches the store.
func (m *Manager) SetWatchStore(on bool) {
	if m.watchesStore.Swap(on) != on {
		m.signal()
	}
}

// ReportPeerRevision records that the node at a peer address has a revision. The
// manager requests the delta from it if the revision is higher than its own.
func (m *Manager) ReportPeerRevision(address string, revision uint64) {
	if revision > m.Revision() && m.recordReport(revisionReport{address, revision}) {
		m.signal()
	}
}

// HandleDelta answers a peer's request for the changes since its revision.
func (m *Manager) HandleDelta(_ context.Context, _ peer.Identity, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
	return m.current.Load().deltaSince(r.GetHaveRevision()), nil
}

func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) recordReport(report revisionReport) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.revision <= m.highestRejected || report.revision < m.highestReported.revision {
		return false
	}
	m.highestReported = report
	return true
}

// takeReport returns and clears the highest reported revision. It reports
// whether that revision is higher than the current one.
func (m *Manager) takeReport() (revisionReport, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := m.highestReported
	m.highestReported = revisionReport{}
	return report, report.revision > m.Revision()
}

// adopt makes a revision the current one if it is higher and passes Check.
func (m *Manager) adopt(next *snapshot, source string) {
	previous := m.Revision()
	if next.revision() <= previous {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := Check(next.config); err != nil {
		m.highestRejected = max(m.highestRejected, next.revision())
		m.logger.Error().Str("event", "config_refused").Uint64("revision", next.revision()).
			Str("source", source).Err(invalidConfig(err)).Msg("")
		return
	}
	m.current.Store(next)
	m.logger.Info().Str("event", "config_adopted").Uint64("revision", next.revision()).
		Uint64("previous", previous).Str("author", next.head.GetAuthor()).Str("source", source).Msg("")
	for _, f := range m.subscribers {
		f(next.config)
	}
}
