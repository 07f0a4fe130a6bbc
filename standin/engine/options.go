// Package engine simulates a model inference engine. It has continuous batching
// and a prefix cache of limited size, but no priorities. It serves chat
// completions as complete responses or as event streams that can be resumed and
// cancelled, and it reports its load and its cache events with a delay.
package engine

import (
	"time"

	"github.com/primrosemoor/primrosemoor/standin/record"
)

// Options configures an Engine. The times of prefill, decoding and model loading
// are those of a real engine; the simulation divides them by TimeScale.
type Options struct {
	Name     string
	Recorder *record.Recorder
	// Models are the models loaded at startup; if empty, every model is served.
	Models []string

	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// TokenTime is the time per output token of a single request.
	// TokenTimePerRequest is added for each further request in the batch.
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	// MaxBatch is the maximum number of requests in the batch.
	MaxBatch int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// Speed multiplies the engine's speed; below 1 the engine is a straggler.
	Speed     float64
	TimeScale float64

	// LoadLag is the interval between load reports, and so their maximum age.
	LoadLag time.Duration
	// CacheEventLag is the time after which a cache event can be read.
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that are dropped.
	CacheEventLoss float64

	// ResumeGrace is the time after which a stream without a reader is cancelled.
	ResumeGrace time.Duration
	// Retention is the time for which a finished stream can still be read.
	Retention time.Duration

	// LoadTime is the time that loading a model takes.
	LoadTime time.Duration
	// ChecksFence rejects orders with a lower fencing number than the highest
	// received so far.
	ChecksFence bool
	// CrashMarker is a text that ends the process once the prefill of a prompt
	// that contains it is done; if empty, no prompt does.
	CrashMarker string
	// Exit ends the process; the default is os.Exit. Tests replace it.
	Exit func(code int)
}

const (
	defaultPrefillRate         = 8000
	defaultTokenTime           = 12 * time.Millisecond
	defaultTokenTimePerRequest = 400 * time.Microsecond
	defaultMaxBatch            = 32
	defaultCacheBlocks         = 4096
	defaultResumeGrace         = 5 * time.Second
	defaultRetention           = 10 * time.Second
)

// withDefaults sets fields that are zero to their defaults.
func (o Options) withDefaults() Options {
	if o.PrefillRate <= 0 {
		o.PrefillRate = defaultPrefillRate
	}
	if o.TokenTime <= 0 {
		o.TokenTime = defaultTokenTime
	}
	if o.TokenTimePerRequest <= 0 {
		o.TokenTimePerRequest = defaultTokenTimePerRequest
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.CacheBlocks <= 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	if o.ResumeGrace <= 0 {
		o.ResumeGrace = defaultResumeGrace
	}
	if o.Retention <= 0 {
		o.Retention = defaultRetention
	}
	if o.Speed <= 0 {
		o.Speed = 1
	}
	if o.TimeScale <= 0 {
		o.TimeScale = 1
	}
	if o.Recorder == nil {
		o.Recorder = &record.Recorder{}
	}
	return o
}
