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
	// maxRecentNonces is how many nonces of preceding revisions the head keeps.
	// An edit whose response was lost can be found in the head as long as its
	// nonce is among them.
	maxRecentNonces = 32
	// maxRetiredParts is how many unused parts are kept for readers that still
	// have an older head.
	maxRetiredParts = 24

	minRetryInterval = 20 * time.Millisecond
	maxRetryInterval = time.Second
)

// Apply merges changes into the accepted configuration and returns the revision
// that contains them. Concurrent edits of other items are merged. The context
// bounds the retries while the store is down.
//
// Errors are *fault.Error: of kind conflict when another edit of the same item
// was committed first, bad-request when the result is invalid,
// store-unavailable when nothing was changed, and unknown-effect when the
// response to a write was lost and its effect could not be determined
// afterwards.
func Apply(ctx context.Context, store objects.Store, changes []Change, author string) (uint64, error) {
	w := &writer{store: store, changes: changes, author: author, nonce: rand.Text()[:12]}
	w.backOff = backoff.NewExponentialBackOff()
	w.backOff.InitialInterval = minRetryInterval
	w.backOff.MaxInterval = maxRetryInterval
	for {
		revision, err := w.attempt(ctx)
		if err == nil || !retryable(err) {
			return revision, err
		}
		if !delay.Sleep(ctx, w.backOff.NextBackOff()) {
			return 0, w.timeoutError(err)
		}
	}
}

// retryable reports whether another attempt may succeed. A conflict that
// remains after merging is final; a lost race for the head is not reported as a
// conflict, see headConflict.
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

// writer applies one edit, with retries.
type writer struct {
	store   objects.Store
	changes []Change
	author  string
	nonce   string
	backOff *backoff.ExponentialBackOff
	// lastRead is the configuration that the last attempt read.
	lastRead *snapshot
	// uncertainRevision is the revision of an earlier attempt that may have
	// taken effect; 0 means none.
	uncertainRevision uint64
}

// attempt performs one cycle of read, merge, check and write.
func (w *writer) attempt(ctx context.Context) (uint64, error) {
	current, version, err := readAccepted(ctx, w.store, w.lastRead)
	if err != nil {
		return 0, err
	}
	w.lastRead = current
	if revision, done := w.findCommitted(current.head); done {
		return revision, nil
	}
	if err := w.checkNonceHistory(current.head); err != nil {
		return 0, err
	}
	merged, err := Merge(current.config, w.changes)
	if err != nil {
		return 0, err
	}
	if err := Check(merged); err != nil {
		return 0, invalidConfig(err)
	}
	if proto.Equal(merged, current.config) {
		return current.revision(), nil
	}
	return w.write(ctx, current, version, merged)
}

// findCommitted looks for this edit's nonce in head and returns the revision of
// an earlier attempt that took effect although its response was lost.
func (w *writer) findCommitted(head *schema.ConfigHead) (uint64, bool) {
	if head.GetNonce() == w.nonce {
		return head.GetRevision(), true
	}
	i := slices.Index(head.GetRecentNonces(), w.nonce)
	if i < 0 {
		return 0, false
	}
	return head.GetRevision() - 1 - uint64(i), true
}

// checkNonceHistory returns an error if the outcome of an earlier attempt is
// uncertain and so many revisions followed that the head no longer keeps its
// nonce.
func (w *writer) checkNonceHistory(head *schema.ConfigHead) error {
	if w.uncertainRevision == 0 || head.GetRevision() <= w.uncertainRevision+uint64(len(head.GetRecentNonces())) {
		return nil
	}
	return w.unknownEffect(fault.New(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT,
		fmt.Sprintf("revision %d was written by this edit or by another, and %d came since", w.uncertainRevision, head.GetRevision()),
		""))
}

func (w *writer) write(ctx context.Context, current *snapshot, version objects.Version, merged *schema.Config) (uint64, error) {
	next := w.nextHead(current.head, merged)
	expired := next.retireParts(current.head)
	for _, p := range next.newParts {
		if err := w.putPart(ctx, p); err != nil {
			return 0, err
		}
	}
	_, err := w.store.Put(ctx, HeadKey, encodeHead(next.head), version)
	switch fault.KindOf(err) {
	case schema.ErrorKind_ERROR_KIND_UNSPECIFIED:
		deleteParts(ctx, w.store, expired)
		return next.head.GetRevision(), nil
	case schema.ErrorKind_ERROR_KIND_CONFLICT:
		// The next attempt merges with the edit that was committed first.
		return 0, headConflict(err)
	case schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE,
		schema.ErrorKind_ERROR_KIND_THROTTLED,
		schema.ErrorKind_ERROR_KIND_BODY_TOO_LARGE:
		return 0, err
	default:
		w.uncertainRevision = next.head.GetRevision()
		return 0, fault.Wrap(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, err, "the answer to the write was lost", "")
	}
}

// headConflict wraps a version conflict on the head in a retryable error.
func headConflict(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, err,
		"other edits kept coming first; nothing was changed", "apply again")
}

// putPart creates a part object. An existing object has the same content, since
// the key contains the content's hash.
func (w *writer) putPart(ctx context.Context, p *part) error {
	_, err := w.store.Put(ctx, partKey(p.ref), p.content, 0)
	if fault.KindOf(err) == schema.ErrorKind_ERROR_KIND_CONFLICT {
		return nil
	}
	return err
}

// timeoutError converts the last attempt's error into the one that Apply
// returns when its context ends.
func (w *writer) timeoutError(err error) error {
	if w.uncertainRevision != 0 {
		return w.unknownEffect(err)
	}
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_STORE_UNAVAILABLE, err,
		"the object API could not be used in time; nothing was changed",
		"see whether the platform is up, then apply again")
}

func (w *writer) unknownEffect(err error) error {
	return fault.Wrap(schema.ErrorKind_ERROR_KIND_UNKNOWN_EFFECT, err,
		"the edit may or may not be accepted",
		"apply it again once the platform answers; applying twice changes nothing twice")
}

// nextRevision is a head to be written, with its new parts.
type nextRevision struct {
	head     *schema.ConfigHead
	newParts []*part
}

func (w *writer) nextHead(previous *schema.ConfigHead, merged *schema.Config) *nextRevision {
	head := &schema.ConfigHead{
		Revision:    previous.GetRevision() + 1,
		Author:      w.author,
		Nonce:       w.nonce,
		TeamBuckets: bucketCount(len(merged.GetTeams()), previous.GetTeamBuckets()),
		VmBuckets:   bucketCount(len(merged.GetVms()), previous.GetVmBuckets()),
	}
	if previous.GetNonce() != "" {
		head.RecentNonces = append([]string{previous.GetNonce()}, previous.GetRecentNonces()...)
	}
	head.RecentNonces = head.RecentNonces[:min(len(head.RecentNonces), maxRecentNonces)]
	next := &nextRevision{head: head}
	next.addParts(previous, splitParts(merged, head.GetTeamBuckets(), head.GetVmBuckets()))
	return next
}

// addParts adds a reference to every part to the head. Parts with unchanged
// content keep their previous reference.
func (n *nextRevision) addParts(previous *schema.ConfigHead, contents map[string]*schema.Config) {
	previousRefs := make(map[string]*schema.ConfigPart, len(previous.GetParts()))
	for _, ref := range previous.GetParts() {
		previousRefs[ref.GetName()] = ref
	}
	for _, name := range partNames(n.head.GetTeamBuckets(), n.head.GetVmBuckets()) {
		content := marshal(contents[name])
		ref := previousRefs[name]
		if ref == nil || string(ref.GetHash()) != string(contentHash(content)) {
			ref = &schema.ConfigPart{Name: name, Hash: contentHash(content), Revision: n.head.GetRevision()}
			n.newParts = append(n.newParts, &part{ref: ref, content: content, config: contents[name]})
		}
		n.head.Parts = append(n.head.Parts, ref)
	}
}

// retireParts adds the parts of previous that are no longer used to the head's
// retired parts. It removes those beyond maxRetiredParts, the longest unused
// first, and returns them for deletion.
func (n *nextRevision) retireParts(previous *schema.ConfigHead) []*schema.ConfigPart {
	used := make(map[string]bool, len(n.head.GetParts()))
	for _, ref := range n.head.GetParts() {
		used[partKey(ref)] = true
	}
	retired := slices.Clone(previous.GetRetired())
	for _, ref := range previous.GetParts() {
		if !used[partKey(ref)] {
			retired = append(retired, ref)
		}
	}
	excess := max(0, len(retired)-maxRetiredParts)
	n.head.Retired = retired[excess:]
	return retired[:excess]
}

// deleteParts deletes parts that no head can reference again. Parts whose
// deletion fails remain in the store as garbage.
func deleteParts(ctx context.Context, store objects.Store, refs []*schema.ConfigPart) {
	for _, ref := range refs {
		object, err := store.Get(ctx, partKey(ref))
		if err != nil {
			continue
		}
		_ = store.Delete(ctx, partKey(ref), object.Version)
	}
}
