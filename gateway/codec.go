package gateway

import (
	"net/http"
	"time"
)

// Call holds the decoded headers of a caller's request.
type Call struct {
	// ID identifies this attempt of the caller; it is forwarded unchanged.
	ID  string
	Key string
	// Timeout is the caller's timeout, valid if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool
	// PromptTokens and OutputTokens, the maximum length of the response, are valid
	// if HasTokens is set.
	PromptTokens int
	OutputTokens int
	HasTokens    bool
	// Parts are the ids of the parts of the prompt, in order. Requests share parts; the
	// last one belongs to the request itself or to its session.
	Parts []uint64
	// LengthHint is the caller's estimate of the output tokens, 0 if it has none.
	LengthHint int
	// LastEventID is the id of the event after which a stream resumes.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of the stream which
	// the caller takes up again; empty for a new stream.
	Resumes string
}

// TargetHeaders holds what the gateway adds to the headers of a request to a
// target.
type TargetHeaders struct {
	// Remaining is the time until the deadline of the caller or the route.
	Remaining time.Duration
	// Instance is the only instance that may respond.
	Instance string
	// Team is empty on anonymous routes.
	Team string
	// LastEventID replaces the caller's value if it is not empty.
	LastEventID string
}

// TargetLoad is the load that a target reports with a response.
type TargetLoad struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the target at this moment, as a multiple of the usual
	// time; 0 if unknown.
	Pace float64
}

// ResponseInfo holds the decoded headers of a target's response.
type ResponseInfo struct {
	// ID is the request's id as echoed by the target.
	ID string
	// NotRun reports that the target did not run the request and will not.
	NotRun bool
	// Signed reports that the response carries a target's signature.
	Signed  bool
	Load    TargetLoad
	HasLoad bool
	// Limit is how many requests a second the target takes from all nodes together,
	// valid if HasLimit is set. A target states it for as long as it holds.
	Limit    float64
	HasLimit bool
	// Brittle reports that the target falls over if it has to turn a few requests away.
	Brittle bool
	// Leaving reports that the target leaves and takes no more requests.
	Leaving bool
	// Pause is for how long the target wants no request from this node; 0 if it asks for
	// no pause.
	Pause time.Duration
}

// HeaderCodec encodes and decodes the headers of one kind of deployment.
type HeaderCodec interface {
	// Read decodes a caller's headers.
	Read(h http.Header) Call
	// SetTargetHeaders changes a caller's headers into those for a target. It
	// removes the headers that a caller may not set.
	SetTargetHeaders(h http.Header, a TargetHeaders)
	// ParseResponse decodes the headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// RetryAfter formats the delay after which a caller may retry.
	RetryAfter(d time.Duration) string
}
