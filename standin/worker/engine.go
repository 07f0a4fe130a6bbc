package worker

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// headerTokens holds the tokens of a prompt and the most that are to be made, headerDeadline
// the milliseconds after which nobody waits for an answer any more.
const (
	headerTokens   = "X-Primrosemoor-Token-Count"
	headerDeadline = "X-Primrosemoor-Deadline-Ms"
)

// Engine makes a worker of streams behave as a model engine: it runs a few requests at a time,
// in the order of their arrival, slows down with their number, and stands still for all of them
// while it reads a prompt.
type Engine struct {
	// TokensPerEvent is the number of tokens in an event.
	TokensPerEvent int
	// PromptRate is how many tokens of prompts are read in a second.
	PromptRate float64
	// StepPerStream is the time that each running stream adds to an event of all.
	StepPerStream time.Duration

	slots   chan struct{}
	reading sync.Mutex
}

// NewEngine returns an engine that runs a number of requests at a time.
func NewEngine(slots, tokensPerEvent int, promptRate float64, stepPerStream time.Duration) *Engine {
	return &Engine{TokensPerEvent: tokensPerEvent, PromptRate: promptRate, StepPerStream: stepPerStream, slots: make(chan struct{}, slots)}
}

// admit waits for a place for a request. It returns false if the request's time is over first.
func (e *Engine) admit(r *http.Request) bool {
	ctx := r.Context()
	if ms, err := strconv.Atoi(r.Header.Get(headerDeadline)); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) release() { <-e.slots }

// read reads the prompt of a request, and returns the number of events of its answer.
func (e *Engine) read(r *http.Request) (events int) {
	in, out, _ := strings.Cut(r.Header.Get(headerTokens), ",")
	prompt, _ := strconv.Atoi(in) // Without the header there is no prompt, and no event.
	tokens, _ := strconv.Atoi(out)
	e.reading.Lock()
	defer e.reading.Unlock()
	time.Sleep(time.Duration(float64(prompt) / e.PromptRate * float64(time.Second)))
	return int(math.Ceil(float64(tokens) / float64(e.TokensPerEvent)))
}

// awaitStep waits for the next event of a running stream.
func (e *Engine) awaitStep(ctx context.Context, step time.Duration) error {
	select {
	case <-time.After(step + time.Duration(len(e.slots))*e.StepPerStream):
	case <-ctx.Done():
		return ctx.Err()
	}
	e.awaitReading()
	return nil
}

// awaitReading waits while a prompt is being read.
func (e *Engine) awaitReading() {
	e.reading.Lock()
	defer e.reading.Unlock()
}
