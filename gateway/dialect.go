package gateway

import (
	"net/http"
	"time"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID names this attempt of the caller; it is passed on unchanged.
	ID  string
	Key string
	// Limit is how long the caller waits, if HasLimit is set.
	Limit    time.Duration
	HasLimit bool
	// PromptTokens and OutputTokens, the most the answer may have, are known if
	// HasTokens is set.
	PromptTokens int
	OutputTokens int
	HasTokens    bool
	// LengthHint is the caller's estimate of the output tokens, 0 if it has none.
	LengthHint int
	// LastEvent is the id after which a stream is to go on.
	LastEvent string
}

// Ask is what the system adds to a request that goes to a target.
type Ask struct {
	// Left is the time until the caller or the route gives up.
	Left time.Duration
	// Instance is the only instance that may answer.
	Instance string
	// Team is empty on anonymous routes.
	Team string
	// LastEvent replaces the caller's if it is not empty.
	LastEvent string
}

// TargetLoad is what a target says of itself with an answer.
type TargetLoad struct {
	Running, Waiting, Slots int
}

// Answer is what the headers of a target's answer say.
type Answer struct {
	// ID is the request's id as the target repeats it.
	ID string
	// NotRun says that the target did not run the request and will not.
	NotRun bool
	// Signed says that the answer carries a target's signature.
	Signed  bool
	Load    TargetLoad
	HasLoad bool
}

// Dialect translates the headers of one kind of deployment.
type Dialect interface {
	// Read decodes a caller's headers.
	Read(h http.Header) Call
	// Ask changes a caller's headers into those for a target. It drops whatever
	// a caller may not set.
	Ask(h http.Header, a Ask)
	// Answer decodes a target's headers.
	Answer(status int, h http.Header) Answer
	// RetryAfter writes the time after which a caller may come back.
	RetryAfter(d time.Duration) string
}
