// Package explain keeps the scheduling decisions of recent requests in memory, so
// that an operator can query a node for the reasons why a request was sent to a
// target or refused.
package explain

import (
	"context"
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/primrosemoor/primrosemoor/fault"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxRequests is the number of requests whose decisions are kept.
	maxRequests = 4096
	// maxLines is the number of lines that are kept of one request. A request has
	// a few; there are more only if callers reuse an id.
	maxLines = 32
)

// Recorder keeps the decision lines of recent requests. It is safe for
// concurrent use.
type Recorder struct {
	lines *lru.Cache[string, []string]
}

// NewRecorder returns an empty recorder.
func NewRecorder() (*Recorder, error) {
	lines, err := lru.New[string, []string](maxRequests)
	if err != nil {
		return nil, fmt.Errorf("explain: create cache: %w", err)
	}
	return &Recorder{lines: lines}, nil
}

// Add appends a line to the decisions of a request. Lines beyond maxLines are
// dropped.
func (r *Recorder) Add(requestID, line string) {
	existing, _ := r.lines.Get(requestID)
	if len(existing) >= maxLines {
		return
	}
	// The stored slice is shared with readers, so it is copied.
	r.lines.Add(requestID, append(existing[:len(existing):len(existing)], line))
}

// Handle returns the decision lines of a request. The error has kind not-found if
// the recorder has no lines of the request.
func (r *Recorder) Handle(_ context.Context, q *schema.ExplainRequest) (*schema.ExplainReply, error) {
	lines, ok := r.lines.Get(q.GetRequestId())
	if !ok {
		return nil, fault.New(schema.ErrorKind_ERROR_KIND_NOT_FOUND,
			"request "+q.GetRequestId()+" is not among the recent requests of this node",
			"ask the other nodes, or search the logs for the id")
	}
	return &schema.ExplainReply{Lines: lines}, nil
}

// Permits grants permits and takes them back. RecordingPermits wraps it.
type Permits interface {
	Acquire(ctx context.Context, r *schema.PermitRequest) (*schema.Permit, error)
	Return(r *schema.PermitReturn)
}

// RecordingPermits forwards calls to Permits and records the decision on each
// request.
type RecordingPermits struct {
	Permits
	Recorder *Recorder
}

// Acquire implements Permits.
func (r RecordingPermits) Acquire(ctx context.Context, q *schema.PermitRequest) (*schema.Permit, error) {
	permit, err := r.Permits.Acquire(ctx, q)
	if err != nil {
		r.Recorder.Add(q.GetRequestId(), "refused "+err.Error())
		return nil, err
	}
	r.Recorder.Add(q.GetRequestId(), permit.GetDecision())
	return permit, nil
}

// Return implements Permits.
func (r RecordingPermits) Return(q *schema.PermitReturn) {
	line := fmt.Sprintf("event=returned target=%s result=%s first_token_ms=%d total_ms=%d output_tokens=%d",
		q.GetTarget(), q.GetResult(), q.GetFirstToken().AsDuration().Milliseconds(),
		q.GetTotal().AsDuration().Milliseconds(), q.GetOutputTokens())
	r.Recorder.Add(q.GetRequestId(), line)
	r.Permits.Return(q)
}
