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

// prefillChunk is the number of prompt tokens computed in one step.
const prefillChunk = 512

// sweepInterval is the time between looks for abandoned and expired streams.
const sweepInterval = 50 * time.Millisecond

// crashExitCode is the exit code after a prompt with the crash marker.
const crashExitCode = 3

// Engine runs requests in one batch.
type Engine struct {
	options Options
	wake    chan struct{}

	mu       sync.Mutex
	speed    float64
	nextID   uint64
	streams  map[string]*stream
	waiting  []*stream
	running  []*stream
	cache    *prefixCache
	stopping bool
	leaving  bool
	reported Load
	control  control
}

// Load is the engine's load report.
type Load struct {
	Running       int   `json:"running"`
	Waiting       int   `json:"waiting"`
	PrefillTokens int   `json:"prefill_tokens"`
	DecodeTokens  int   `json:"decode_tokens"`
	AtMillis      int64 `json:"at_unix_ms"`
}

// New returns an engine; Run makes it work.
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
		control: newControl(options.Models),
	}
}

// Run advances the batch until the context ends.
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

// start admits a request and returns its stream with one reader attached, or
// nil when the engine is stopping.
func (e *Engine) start(requestID, path, model, prompt string, maxOutput int) *stream {
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
		id:        id,
		requestID: requestID,
		model:     model,
		hashes:    BlockHashes(prompt),
		prompt:    (len(prompt) + BytesPerToken - 1) / BytesPerToken,
		maxOutput: maxOutput,
		crash:     e.options.CrashMarker != "" && strings.Contains(prompt, e.options.CrashMarker),
		readers:   1,
		changed:   make(chan struct{}),
	}
	s.cached = e.cache.match(s.hashes) * BlockTokens
	s.prefillLeft = max(1, s.prompt-s.cached)
	s.line = e.options.Recorder.Start(record.Line{
		RequestID:    requestID,
		Method:       "POST",
		Path:         path,
		PromptTokens: s.prompt,
		CachedTokens: s.cached,
	})
	e.streams[s.id] = s
	e.waiting = append(e.waiting, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// step computes one iteration of the batch. It reports whether there was work.
func (e *Engine) step(ctx context.Context) bool {
	prefilled, decoding, duration := e.plan()
	if prefilled == nil && len(decoding) == 0 {
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
	if prefilled != nil {
		e.finishPrefill(prefilled)
	}
	return true
}

// plan admits waiting streams, spends one chunk of prefill, and returns the
// stream whose prefill the chunk ends or continues, the streams that decode,
// and the time that the step takes.
func (e *Engine) plan() (*stream, []*stream, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dropEnded()
	for len(e.running) < e.options.MaxBatch && len(e.waiting) > 0 {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	var prefilled *stream
	var decoding []*stream
	var seconds float64
	for _, s := range e.running {
		if s.prefillLeft == 0 {
			decoding = append(decoding, s)
			continue
		}
		if prefilled == nil {
			prefilled = s
			chunk := min(s.prefillLeft, prefillChunk)
			s.prefillLeft -= chunk
			seconds += float64(chunk) / e.options.PrefillRate
		}
	}
	if n := len(decoding); n > 0 {
		seconds += (e.options.TokenTime + time.Duration(n-1)*e.options.TokenTimePerRequest).Seconds()
	}
	seconds /= e.speed * e.options.TimeScale
	return prefilled, decoding, time.Duration(seconds * float64(time.Second))
}

func (e *Engine) dropEnded() {
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

// finishPrefill stores the prompt's blocks and produces the first token when
// no prefill is left.
func (e *Engine) finishPrefill(s *stream) {
	if s.prefillLeft > 0 {
		return
	}
	if s.crash {
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

func (e *Engine) find(id string) *stream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams[id]
}

// sweep cancels abandoned streams and forgets expired ones.
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

// Stop refuses new requests and waits until the admitted ones have ended.
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
	e.dropEnded()
	return len(e.running) + len(e.waiting)
}
