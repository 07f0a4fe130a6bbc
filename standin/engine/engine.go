package engine

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/record"
)

// prefillChunk is the maximum number of prompt tokens that one step computes.
const prefillChunk = 512

// sweepInterval is the interval at which abandoned and expired streams are
// collected.
const sweepInterval = 50 * time.Millisecond

// crashExitCode is the exit code of a process that a prompt with the crash
// marker ended.
const crashExitCode = 3

// Engine runs requests in one continuous batch.
type Engine struct {
	options Options
	wake    chan struct{}

	mu            sync.Mutex
	speed         float64
	nextID        uint64
	streams       map[string]*stream
	waiting       []*stream
	running       []*stream
	cache         *prefixCache
	stopping      bool
	leaving       bool
	publishedLoad Load
	serving       servingState
}

// Load is the engine's load report.
type Load struct {
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	PrefillTokens int   `json:"prefill_tokens"`
	DecodeTokens  int   `json:"decode_tokens"`
	AtMillis      int64 `json:"at_unix_ms"`
}

// New returns an engine that processes no requests until Run is called.
func New(options Options) *Engine {
	options = options.withDefaults()
	if options.Exit == nil {
		options.Exit = os.Exit
	}
	return &Engine{
		options: options,
		wake:    make(chan struct{}, 1),
		speed:   options.Speed,
		streams: make(map[string]*stream),
		cache:   newPrefixCache(options.CacheBlocks, options.CacheEventLoss),
		serving: newServingState(options.Models),
	}
}

// Run executes batch steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	go e.sweep(ctx)
	go e.publishLoad(ctx)
	for ctx.Err() == nil {
		if e.step(ctx) {
			continue
		}
		select {
		case <-e.wake:
		case <-ctx.Done():
		}
	}
}

// start queues a request and returns its stream with one reader attached, or
// nil if the engine is stopping.
func (e *Engine) start(requestID, path, model, prompt string, maxOutputTokens int) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopping {
		return nil
	}
	e.nextID++
	id := fmt.Sprintf("%s-%d", e.options.Name, e.nextID)
	if requestID == "" {
		requestID = id
	}
	s := &stream{
		id:              id,
		requestID:       requestID,
		model:           model,
		hashes:          BlockHashes(prompt),
		promptTokens:    (len(prompt) + BytesPerToken - 1) / BytesPerToken,
		maxOutputTokens: maxOutputTokens,
		crashes:         e.options.CrashMarker != "" && strings.Contains(prompt, e.options.CrashMarker),
		readers:         1,
		changed:         make(chan struct{}),
	}
	s.cachedTokens = e.cache.matchPrefix(s.hashes) * BlockTokens
	s.prefillLeft = max(1, s.promptTokens-s.cachedTokens)
	s.line = e.options.Recorder.Start(record.Line{
		RequestID:    requestID,
		Method:       "POST",
		Path:         path,
		PromptTokens: s.promptTokens,
		CachedTokens: s.cachedTokens,
	})
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// step executes one iteration of the batch and reports whether there was work.
// It sleeps for the time that a real engine would take.
func (e *Engine) step(ctx context.Context) bool {
	prefilling, decoding, duration := e.planStep()
	if prefilling == nil && len(decoding) == 0 {
		return false
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
		return false
	}
	for _, s := range decoding {
		e.decode(s)
	}
	if prefilling != nil {
		e.finishPrefill(prefilling)
	}
	return true
}

// planStep fills the batch from the waiting streams and assigns one chunk of
// prefill to the first stream that needs it. It returns that stream, the
// streams that decode one token each, and the duration of the step.
func (e *Engine) planStep() (*stream, []*stream, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeEnded()
	for len(e.running) < e.options.MaxBatch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	var prefilling *stream
	var decoding []*stream
	var seconds float64
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding = append(decoding, s)
			continue
		}
		if prefilling == nil {
			prefilling = s
			chunk := min(s.prefillLeft, prefillChunk)
			s.prefillLeft -= chunk
			seconds += float64(chunk) / e.options.PrefillRate
		}
	}
	if n := len(decoding); n > 0 {
		seconds += (e.options.TokenTime + time.Duration(n-1)*e.options.TokenTimePerRequest).Seconds()
	}
	seconds /= e.speed * e.options.TimeScale
	return prefilling, decoding, time.Duration(seconds * float64(time.Second))
}

func (e *Engine) removeEnded() {
	e.running = withoutEnded(e.running)
	e.waiting = withoutEnded(e.waiting)
}

func withoutEnded(streams []*stream) []*stream {
	var kept []*stream
	for _, s := range streams {
		if !s.ended() {
			kept = append(kept, s)
		}
	}
	return kept
}

// finishPrefill adds the prompt's blocks to the cache and produces the first
// token, once the whole prompt is computed.
func (e *Engine) finishPrefill(s *stream) {
	if s.prefillLeft > 0 {
		return
	}
	if s.crashes {
		e.options.Recorder.End(s.line, record.ResultCrashed)
		e.options.Exit(crashExitCode)
	}
	e.mu.Lock()
	e.cache.add(s.hashes, time.Now())
	e.mu.Unlock()
	e.decode(s)
}

func (e *Engine) decode(s *stream) {
	if s.addToken() {
		e.finish(s, finishLength)
	}
}

func (e *Engine) finish(s *stream, reason string) {
	if !s.end(reason) {
		return
	}
	result := record.ResultDone
	if reason == finishCancelled {
		result = record.ResultCancelled
	}
	e.options.Recorder.End(s.line, result)
}

func (e *Engine) findStream(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// sweep periodically cancels abandoned streams and deletes expired ones.
func (e *Engine) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			e.sweepOnce(now)
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) sweepOnce(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.streams {
		if s.abandoned(now, e.options.ResumeGrace) {
			e.finish(s, finishCancelled)
		}
		if s.expired(now, e.options.Retention) {
			delete(e.streams, id)
		}
	}
}

// Stop rejects new requests and waits until the running and waiting ones have
// ended or the context ends.
func (e *Engine) Stop(ctx context.Context) {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for e.inFlight() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Engine) inFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeEnded()
	return len(e.running) + len(e.waiting)
}
