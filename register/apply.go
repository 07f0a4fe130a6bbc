package register

import (
	"context"
	"crypto/rand"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	"github.com/primrosemoor/primrosemoor/delay"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/objects"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxRecentNonces is how many preceding revisions a lost answer can be
	// settled over.
	maxRecentNonces = 32
	// maxRetired is how many parts out of use are kept for readers that still
	// hold an older head.
	maxRetired = 24

	firstRetry = 20 * time.Millisecond
	lastRetry  = time.Second
)

// Apply carries changes into the accepted configuration and returns the
// revision that holds them. Concurrent edits of other items are merged. The
// context bounds the retries while the store is down.
//
// Errors are *fault.Error: of kind conflict when another edit of the same item
// came first, bad-request when the result fails the check, store-unavailable
// when nothing was changed, and unknown-effect when the store did not answer
// again after a write whose answer was lost.
func Apply(ctx context.Context, store objects.Store, changes []Change, author string) (uint64, error) {
	w := &writer{store: store, changes: changes, author: author, nonce: rand.Text()[:12]}
	w.wait = backoff.NewExponentialBackOff()
	w.wait.InitialInterval = firstRetry
	w.wait.MaxInterval = lastRetry
	for {
		revision, err := w.attempt(ctx)
		if err == nil || !retryable(err) {
			return revision, err
		}
		if !delay.Sleep(ctx, w.wait.NextBackOff()) {
			return 0, w.giveUp(err)
		}
	}
}

// retryable reports whether the next attempt may end otherwise. A conflict
// that remains after merging is final, see errMoved.
func retryable(err error) bool {
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_CONFLICT,
		schema.ErrorKind_ERROR_KIND_BAD_REQUEST,
		schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE,
		schema.ErrorKind_ERROR_KIND_UNAUTHENTICATED:
		return false
	default:
		return true
	}
}

// writer carries one edit through its attempts.
type writer struct {
	store   objects.Store
	changes []Change
	author  string
	nonce   string
	wait    *backoff.ExponentialBackOff
	// read is what the last attempt read.
	read *held
	// unsettled is the revision of an earlier attempt that may have taken
	// effect; 0 means none.
	unsettled uint64
}

// attempt reads, merges, checks and writes once.
func (w *writer) attempt(ctx context.Context) (uint64, error) {
	current, version, err := readAccepted(ctx, w.store, w.read)
	if err != nil {
		return 0, err
	}
	w.read = current
	if revision, done := w.settled(current.head); done {
		return revision, nil
	}
	if err := w.tooLate(current.head); err != nil {
		return 0, err
	}
	merged, err := Merge(current.config, w.changes)
	if err != nil {
		return 0, err
	}
	if err := Check(merged); err != nil {
		return 0, refuse(err)
	}
	if proto.Equal(merged, current.config) {
		return current.revision(), nil
	}
	return w.write(ctx, current, version, merged)
}

// settled finds the revision of an earlier attempt whose answer was lost.
func (w *writer) settled(head *schema.ConfigHead) (uint64, bool) {
	if head.GetNonce() == w.nonce {
		return head.GetRevision(), true
	}
	i := slices.Index(head.GetRecentNonces(), w.nonce)
	if i < 0 {
		return 0, false
	}
	return head.GetRevision() - 1 - uint64(i), true
}

// tooLate fails if an earlier attempt is unsettled and so many revisions came
// since that the head would not name it any more.
func (w *writer) tooLate(head *schema.ConfigHead) error {
	if w.unsettled == 0 || head.GetRevision() <= w.unsettled+uint64(len(head.GetRecentNonces())) {
		return nil
	}
	return w.unknown(fault.New(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT,
		fmt.Sprintf("revision %d was written by this edit or by another, and %d came since", w.unsettled, head.GetRevision()),
		""))
}

func (w *writer) write(ctx context.Context, current *held, version objects.Version, merged *schema.Config) (uint64, error) {
	next := w.nextHead(current.head, merged)
	dropped := next.retire(current.head)
	for _, p := range next.fresh {
		if err := w.putPart(ctx, p); err != nil {
			return 0, err
		}
	}
	_, err := w.store.Put(ctx, HeadKey, encodeHead(next.head), version)
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_UNSPECIFIED:
		deleteParts(ctx, w.store, dropped)
		return next.head.GetRevision(), nil
	case schema.ErrorKind_ERROR_KIND_CONFLICT:
		// The next attempt merges with what came first.
		return 0, errMoved(err)
	case schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE,
		schema.ErrorKind_ERROR_KIND_THROTTLED,
		schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE:
		return 0, err
	default:
		w.unsettled = next.head.GetRevision()
		return 0, fault.Wrap(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, err, "the answer to the write was lost", "")
	}
}

// errMoved marks a lost race for the head, which is tried again.
func errMoved(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, err,
		"other edits kept coming first; nothing was changed", "apply again")
}

// putPart creates a part object; one that exists already has this content.
func (w *writer) putPart(ctx context.Context, p *part) error {
	_, err := w.store.Put(ctx, partKey(p.ref), p.content, 0)
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_CONFLICT {
		return nil
	}
	return err
}

// giveUp turns the last error into what is known when the time is over.
func (w *writer) giveUp(err error) error {
	if w.unsettled != 0 {
		return w.unknown(err)
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, err,
		"the object API could not be used in time; nothing was changed",
		"see whether the platform is up, then apply again")
}

func (w *writer) unknown(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, err,
		"the edit may or may not be accepted",
		"apply it again once the platform answers; applying twice changes nothing twice")
}

// nextRevision is a head about to be written, with its new parts.
type nextRevision struct {
	head  *schema.ConfigHead
	fresh []*part
}

func (w *writer) nextHead(old *schema.ConfigHead, merged *schema.Config) *nextRevision {
	head := &schema.ConfigHead{
		Revision:    old.GetRevision() + 1,
		Author:      w.author,
		Nonce:       w.nonce,
		TeamBuckets: bucketCount(len(merged.GetTeams()), old.GetTeamBuckets()),
		VmBuckets:   bucketCount(len(merged.GetVms()), old.GetVmBuckets()),
	}
	if old.GetNonce() != "" {
		head.RecentNonces = append([]string{old.GetNonce()}, old.GetRecentNonces()...)
	}
	head.RecentNonces = head.RecentNonces[:min(len(head.RecentNonces), maxRecentNonces)]
	next := &nextRevision{head: head}
	next.addParts(old, split(merged, head.GetTeamBuckets(), head.GetVmBuckets()))
	return next
}

// addParts names every part, and keeps the old reference of those whose
// content is the same.
func (n *nextRevision) addParts(old *schema.ConfigHead, contents map[string]*schema.Config) {
	before := make(map[string]*schema.ConfigPart, len(old.GetParts()))
	for _, ref := range old.GetParts() {
		before[ref.GetName()] = ref
	}
	for _, name := range partNames(n.head.GetTeamBuckets(), n.head.GetVmBuckets()) {
		content := marshal(contents[name])
		ref := before[name]
		if ref == nil || string(ref.GetHash()) != string(contentHash(content)) {
			ref = &schema.ConfigPart{Name: name, Hash: contentHash(content), Revision: n.head.GetRevision()}
			n.fresh = append(n.fresh, &part{ref: ref, content: content, config: contents[name]})
		}
		n.head.Parts = append(n.head.Parts, ref)
	}
}

// retire lists the parts of old that fell out of use, and returns those that
// have been out of use longest and may be deleted.
func (n *nextRevision) retire(old *schema.ConfigHead) []*schema.ConfigPart {
	used := make(map[string]bool, len(n.head.GetParts()))
	for _, ref := range n.head.GetParts() {
		used[partKey(ref)] = true
	}
	retired := slices.Clone(old.GetRetired())
	for _, ref := range old.GetParts() {
		if !used[partKey(ref)] {
			retired = append(retired, ref)
		}
	}
	excess := max(0, len(retired)-maxRetired)
	n.head.Retired = retired[excess:]
	return retired[:excess]
}

// deleteParts removes parts that no head can name again. What fails stays
// behind as garbage.
func deleteParts(ctx context.Context, store objects.Store, refs []*schema.ConfigPart) {
	for _, ref := range refs {
		object, err := store.Get(ctx, partKey(ref))
		if err != nil {
			continue
		}
		_ = store.Delete(ctx, partKey(ref), object.Version)
	}
}
