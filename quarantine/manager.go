package quarantine

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/admission"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

// StoreKey is the key of the stored list in the object store.
const StoreKey = "quarantine"

const (
	// pollInterval is the time between two reads of the stored list.
	pollInterval = 20 * time.Second
	storeTimeout = 10 * time.Second
)

// Broadcaster sends a notice to all other nodes. It must not block.
type Broadcaster interface {
	Broadcast(n *schema.QuarantineNotice)
}

// Options configures a Manager.
type Options struct {
	Store objects.Store
	// Broadcaster may be nil.
	Broadcaster Broadcaster
	Logger      *log.Logger
}

// Manager maintains one node's copy of the list. It checks requests for
// admission, notifies the other nodes of changes, and persists quarantined
// fingerprints in the store. It is safe for concurrent use.
type Manager struct {
	options Options
	// syncRequested makes Run synchronise at once, because a fingerprint has to be
	// stored.
	syncRequested chan struct{}

	mu   sync.Mutex
	list *List
}

var _ admission.FingerprintScreener = (*Manager)(nil)

// New returns a manager with an empty list.
func New(options Options) *Manager {
	return &Manager{options: options, syncRequested: make(chan struct{}, 1), list: NewList()}
}

// Run synchronises with the stored list until ctx ends. It returns nil.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		m.sync(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-m.syncRequested:
		case <-ticker.C:
		}
	}
}

// Check implements admission.FingerprintScreener.
func (m *Manager) Check(now time.Time, fingerprint uint64) (admission.Verdict, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch m.list.State(now, fingerprint) {
	case Quarantined:
		return admission.VerdictQuarantined, errQuarantined(fingerprint, m.list.ExpiresAt(fingerprint).Sub(now))
	case Suspect:
		return admission.VerdictSuspect, nil
	default:
		return admission.VerdictClear, nil
	}
}

// RecordTargetDeath implements admission.FingerprintScreener.
func (m *Manager) RecordTargetDeath(now time.Time, target string, fingerprint uint64, alone bool) {
	m.mu.Lock()
	state := m.list.RecordDeath(now, fingerprint, target, alone)
	m.mu.Unlock()
	deaths := uint32(1)
	if state == Quarantined {
		deaths = 2
		m.requestSync()
	}
	m.logState("target_died", fingerprint, target, state)
	m.notifyPeers(&schema.QuarantineNotice{Fingerprint: fingerprint, Deaths: deaths})
}

// RecordSoloCompletion implements admission.FingerprintScreener.
func (m *Manager) RecordSoloCompletion(fingerprint uint64) {
	m.mu.Lock()
	cleared := m.list.ClearSuspect(fingerprint)
	m.mu.Unlock()
	if cleared {
		m.logState("suspect_cleared", fingerprint, "", Clear)
		m.notifyPeers(&schema.QuarantineNotice{Fingerprint: fingerprint, Released: true})
	}
}

// HandleNotice applies a notice from another node.
func (m *Manager) HandleNotice(now time.Time, n *schema.QuarantineNotice) *schema.QuarantineAck {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case n.GetReleased():
		m.list.Release(n.GetFingerprint())
	case n.GetDeaths() > 1:
		m.list.MarkQuarantined(now, n.GetFingerprint())
	default:
		m.list.MarkSuspect(now, n.GetFingerprint(), int(n.GetDeaths()))
	}
	return &schema.QuarantineAck{}
}

func (m *Manager) requestSync() {
	select {
	case m.syncRequested <- struct{}{}:
	default:
	}
}

func (m *Manager) notifyPeers(n *schema.QuarantineNotice) {
	if m.options.Broadcaster != nil {
		m.options.Broadcaster.Broadcast(n)
	}
}

func (m *Manager) logState(event string, fingerprint uint64, target string, state State) {
	if m.options.Logger != nil {
		m.options.Logger.Warn().Str("event", event).Str("fingerprint", fmt.Sprintf("%016x", fingerprint)).
			Str("target", target).Str("state", state.String()).Msg("")
	}
}

// sync writes the entries that the stored list lacks and merges the stored list
// into the local one. While the store cannot be reached, the local list stays in
// effect.
func (m *Manager) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	m.mu.Lock()
	unstored := m.list.Unstored(time.Now())
	m.mu.Unlock()
	object, err := m.readOrUpdate(ctx, unstored)
	if err != nil {
		return
	}
	stored := &schema.QuarantineList{}
	if err := proto.Unmarshal(object.Value, stored); err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.list.MergeStored(time.Now(), stored)
}

// readOrUpdate returns the stored list, after adding entries if there are any.
func (m *Manager) readOrUpdate(ctx context.Context, entries []*schema.Quarantine) (objects.Object, error) {
	if len(entries) > 0 {
		return objects.Update(ctx, m.options.Store, appendEntries(entries, rand.Text(), time.Now()))
	}
	object, err := m.options.Store.Get(ctx, StoreKey)
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_NOT_FOUND {
		return objects.Object{}, nil
	}
	return object, err
}

// appendEntries returns the update that adds entries and removes expired ones.
func appendEntries(entries []*schema.Quarantine, nonce string, now time.Time) objects.Change {
	return objects.Change{
		Key: StoreKey,
		Mutate: func(current objects.Object) ([]byte, error) {
			list := &schema.QuarantineList{}
			if err := proto.Unmarshal(current.Value, list); err != nil {
				return nil, fmt.Errorf("decode %s: %w", StoreKey, err)
			}
			list.Entries = merge(list.GetEntries(), entries, now)
			list.Nonce = nonce
			return proto.Marshal(list)
		},
		IsOwnWrite: func(stored []byte) bool {
			list := &schema.QuarantineList{}
			return proto.Unmarshal(stored, list) == nil && list.GetNonce() == nonce
		},
	}
}

func merge(old, added []*schema.Quarantine, now time.Time) []*schema.Quarantine {
	seen := make(map[uint64]bool)
	var merged []*schema.Quarantine
	for _, q := range append(old, added...) {
		if seen[q.GetFingerprint()] || q.GetExpiresUnixMs() <= now.UnixMilli() {
			continue
		}
		seen[q.GetFingerprint()] = true
		merged = append(merged, q)
	}
	return merged
}

func errQuarantined(fingerprint uint64, remaining time.Duration) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_QUARANTINED,
		fmt.Sprintf("request %016x crashed more than one target and is in quarantine", fingerprint),
		fmt.Sprintf("change the request, or release it with primrosectl release %016x", fingerprint)).WithOutcomeNotRun().WithRetryAfter(remaining)
}
