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
	// storeCompareEvery is how many comparisons with peers come to one with
	// the store, on nodes that do not watch it.
	storeCompareEvery = 6
	// startInterval is the time between attempts of a node that holds no
	// configuration yet.
	startInterval = 500 * time.Millisecond

	deltaTimeout     = 2 * time.Second
	wholeTimeout     = 20 * time.Second
	storeReadTimeout = 20 * time.Second
)

// Peers reaches the other nodes.
type Peers interface {
	// ConfigDelta asks the node at a peer address.
	ConfigDelta(ctx context.Context, address string, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error)
	// Addresses returns the peer addresses of the other nodes, near ones first.
	Addresses() []string
}

// Options configures a Manager.
type Options struct {
	Store objects.Store
	Peers Peers
	// Logger may be nil.
	Logger *log.Logger
	// CompareInterval; 0 means DefaultCompareInterval.
	CompareInterval time.Duration
	// WatchTimeout bounds one watch call; 0 means 30 seconds.
	WatchTimeout time.Duration
	// Seed makes the choice of peers and the jitter repeatable; 0 draws one.
	Seed uint64
}

// Manager holds the node's configuration and brings it up to date from the
// store and from peers. It adopts only higher revisions that pass the check.
type Manager struct {
	options Options
	logger  *log.Logger
	random  *rand.Rand
	current atomic.Pointer[held]
	watcher atomic.Bool
	// wake tells Run that watcher or noted changed.
	wake   chan struct{}
	events chan event

	mu    sync.Mutex
	noted note
	// refused is the highest revision that failed the check here.
	refused     uint64
	subscribers []func(*schema.Config)
}

// note is the highest revision heard of and who holds it.
type note struct {
	address  string
	revision uint64
}

// event is a finished read, from the store or from a peer.
type event struct {
	source string
	// head is the watched head that a read from the store was to complete.
	head *schema.ConfigHead
	held *held
	err  error
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
		events:  make(chan event),
	}
	if m.logger == nil {
		m.logger = logging.Discard()
	}
	return m
}

// Current returns the configuration in force here, or nil before the first.
// It must not be modified.
func (m *Manager) Current() *schema.Config {
	h := m.current.Load()
	if h == nil {
		return nil
	}
	return h.config
}

// Revision returns the revision in force here, 0 before the first.
func (m *Manager) Revision() uint64 {
	return m.current.Load().revision()
}

// Subscribe calls f with the present configuration, if there is one, and with
// each one adopted later, in order. f must return soon and must not call
// Subscribe.
func (m *Manager) Subscribe(f func(*schema.Config)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers = append(m.subscribers, f)
	if c := m.Current(); c != nil {
		f(c)
	}
}

// SetWatcher says whether this node watches the store.
func (m *Manager) SetWatcher(on bool) {
	if m.watcher.Swap(on) != on {
		m.signal()
	}
}

// NoteRevision reports that the node at a peer address holds a revision. The
// manager asks it for the delta if the revision is higher than its own.
func (m *Manager) NoteRevision(address string, revision uint64) {
	if revision > m.Revision() && m.keepNote(note{address, revision}) {
		m.signal()
	}
}

// HandleDelta answers a peer that asks for what changed since its revision.
func (m *Manager) HandleDelta(_ context.Context, _ peer.Identity, r *schema.ConfigDeltaRequest) (*schema.ConfigDelta, error) {
	return m.current.Load().deltaSince(r.GetHaveRevision()), nil
}

func (m *Manager) signal() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *Manager) keepNote(n note) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n.revision <= m.refused || n.revision < m.noted.revision {
		return false
	}
	m.noted = n
	return true
}

// takeNote returns the highest note above the held revision, once.
func (m *Manager) takeNote() (note, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.noted
	m.noted = note{}
	return n, n.revision > m.Revision()
}

// adopt puts a revision in force if it is higher and passes the check.
func (m *Manager) adopt(h *held, source string) {
	before := m.Revision()
	if h.revision() <= before {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := Check(h.config); err != nil {
		m.refused = max(m.refused, h.revision())
		m.logger.Error().Str("event", "config_refused").Uint64("revision", h.revision()).
			Str("source", source).Err(refuse(err)).Msg("")
		return
	}
	m.current.Store(h)
	m.logger.Info().Str("event", "config_adopted").Uint64("revision", h.revision()).
		Uint64("previous", before).Str("author", h.head.GetAuthor()).Str("source", source).Msg("")
	for _, f := range m.subscribers {
		f(h.config)
	}
}
