package main

import (
	"context"
	"time"

	"github.com/primrosemoor/primrosemoor/standin/engine"
	"github.com/primrosemoor/primrosemoor/standin/record"
)

type engineCommand struct {
	Listen              string        `help:"Address to listen on." default:"127.0.0.1:7100"`
	Name                string        `help:"Name of the target in records." default:"engine"`
	Record              string        `help:"File to append run records to."`
	Models              []string      `help:"Models loaded from the start; none serves every model."`
	PrefillRate         float64       `help:"Prompt tokens a second." default:"8000"`
	TokenTime           time.Duration `help:"Time per output token of a lone request." default:"12ms"`
	TokenTimePerRequest time.Duration `help:"Time per output token that each further request adds." default:"400us"`
	MaxBatch            int           `help:"Requests that run at a time." default:"32"`
	CacheBlocks         int           `help:"Prefix cache capacity in blocks of 16 tokens." default:"4096"`
	Speed               float64       `help:"Multiplier of the engine's pace." default:"1"`
	TimeScale           float64       `help:"Divides the engine's times." default:"1"`
	LoadLag             time.Duration `help:"Greatest age of a load report." default:"250ms"`
	CacheEventLag       time.Duration `help:"Age at which a cache event appears." default:"200ms"`
	CacheEventLoss      float64       `help:"Fraction of cache events that never appear." default:"0"`
	ResumeGrace         time.Duration `help:"Time that a stream goes on without a reader." default:"5s"`
	Retention           time.Duration `help:"Time that a finished stream can be read." default:"10s"`
	LoadTime            time.Duration `help:"Time to load a model." default:"2s"`
	ChecksFence         bool          `help:"Refuse orders with an old fencing number."`
	CrashMarker         string        `help:"End the process when a prompt contains this text."`
}

// Run implements kong's command interface.
func (c *engineCommand) Run(ctx context.Context) error {
	recorder, err := record.NewRecorder(c.Name, c.Record)
	if err != nil {
		return err
	}
	e := engine.New(engine.Options{
		Name:                c.Name,
		Recorder:            recorder,
		Models:              c.Models,
		PrefillRate:         c.PrefillRate,
		TokenTime:           c.TokenTime,
		TokenTimePerRequest: c.TokenTimePerRequest,
		MaxBatch:            c.MaxBatch,
		CacheBlocks:         c.CacheBlocks,
		Speed:               c.Speed,
		TimeScale:           c.TimeScale,
		LoadLag:             c.LoadLag,
		CacheEventLag:       c.CacheEventLag,
		CacheEventLoss:      c.CacheEventLoss,
		ResumeGrace:         c.ResumeGrace,
		Retention:           c.Retention,
		LoadTime:            c.LoadTime,
		ChecksFence:         c.ChecksFence,
		CrashMarker:         c.CrashMarker,
	})
	// The engine has a context of its own, so that it keeps running while requests
	// drain.
	engineCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go e.Run(engineCtx)
	return serveHTTP(ctx, c.Listen, e.Handler(), e.Stop)
}
