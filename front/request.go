package front

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"time"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

// HeaderDeadline is the header with the maximum time to the first token, in
// milliseconds.
const HeaderDeadline = "X-Deadline-Ms"

const (
	maxDeadline       = time.Hour
	maxIDBytes        = 255
	firstPrintable    = 0x21
	lastPrintable     = 0x7e
	lastEventIDHeader = "Last-Event-ID"
)

func badRequest(message, remedy string) error {
	return fault.New(schema.ErrorKind_ERROR_KIND_BAD_REQUEST, message, remedy).WithOutcomeNotRun()
}

// deadline returns the maximum time that the request may wait for its first
// token.
func (f *Front) deadline(r *http.Request) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return f.bounds.defaultDeadline, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, badRequest("X-Deadline-Ms is no number of milliseconds up to one hour",
			"send a whole number from 1 to 3600000, or leave the header out")
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// assignID sets the request's id to the caller's idempotency key, or to a newly
// generated id.
func (f *Front) assignID(r *http.Request, team string, request *dispatch.Request) error {
	keys := r.Header.Values(dispatch.HeaderIdempotencyKey)
	if len(keys) == 0 {
		request.ID = f.options.Signer.NewID(team)
		return nil
	}
	if len(keys) > 1 || !validID(keys[0]) {
		return badRequest("Idempotency-Key is not one printable word of up to 255 bytes",
			"send one key of letters, digits and punctuation, such as a UUID")
	}
	request.ID = keys[0]
	request.HasCallerID = true
	return f.checkIDOrigin(request.ID, team)
}

// checkIDOrigin rejects ids that nodes generated. Their requests were dispatched
// without a ledger entry, so a duplicate would go undetected and must not be
// dispatched again.
func (f *Front) checkIDOrigin(id, team string) error {
	switch f.options.Signer.Origin(id, team) {
	case dispatch.IDFromNode:
		return fault.New(schema.ErrorKind_ERROR_KIND_ALREADY_FINISHED,
			"the key was made by a node for an earlier request, which is not sent again",
			"resume its stream with X-Stream-Ticket, or choose a key of your own").WithOutcomeUnknown()
	case dispatch.IDForged:
		return badRequest("Idempotency-Key begins like a node's key and is none",
			"choose a key that does not begin with pm1-")
	default:
		return nil
	}
}

// validID reports whether id is a non-empty word of printable ASCII without
// spaces, and is not too long.
func validID(id string) bool {
	if id == "" || len(id) > maxIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c < firstPrintable || c > lastPrintable {
			return false
		}
	}
	return true
}

// digest returns a hash of the request's content, which detects a key that is
// reused for another request. Each part is prefixed with its length, so that
// different splits of the same bytes have different digests.
func digest(parts ...[]byte) []byte {
	h := sha256.New()
	for _, part := range parts {
		h.Write(strconv.AppendInt(nil, int64(len(part)), 10))
		h.Write([]byte{0})
		h.Write(part)
	}
	return h.Sum(nil)
}

// lastEventID returns the index of the last event that the caller received, or 0
// if it received none.
func lastEventID(r *http.Request) (uint64, error) {
	text := r.Header.Get(lastEventIDHeader)
	if text == "" {
		return 0, nil
	}
	id, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, badRequest("Last-Event-ID is no event index", "send the id of the last event received")
	}
	return id, nil
}
