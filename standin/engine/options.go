// Package engine stands in for a model engine: it batches continuously, keeps
// a limited prefix cache, knows no priorities, serves chat completions as
// whole answers or as event streams that can be resumed and cancelled, and
// reports its load and cache events late.
package engine

import (
	"time"

	"github.com/primrosemoor/primrosemoor/standin/record"
)

// Options configures an Engine. Times are those of a real engine; TimeScale
// divides them.
type Options struct {
	Name     string
	Recorder *record.Recorder
	// Models are loaded from the start; none means that every model is served.
	Models []string

	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// TokenTime is the time per output token of a lone request, and
	// TokenTimePerRequest what each further request in the batch adds.
	TokenTime           time.Duration
	TokenTimePerRequest time.Duration
	MaxBatch            int
	// CacheBlocks is the capacity of the prefix cache.
	CacheBlocks int
	// Speed multiplies the engine's pace; below 1 it is a straggler.
	Speed     float64
	TimeScale float64

	LoadLag       time.Duration
	CacheEventLag time.Duration
	// CacheEventLoss is the fraction of cache events that never appear.
	CacheEventLoss float64

	// ResumeGrace is how long a stream without a reader goes on.
	ResumeGrace time.Duration
	// Retention is how long a finished stream can be read.
	Retention time.Duration

	LoadTime    time.Duration
	ChecksFence bool
	// CrashMarker ends the process when a prompt contains it; empty disables.
	CrashMarker string
	// Exit ends the process; tests replace it.
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

// withDefaults fills in what is zero.
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
