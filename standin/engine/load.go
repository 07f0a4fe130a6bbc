package engine

import (
	"context"
	"time"
)

// publishLoad updates the published load report every LoadLag.
func (e *Engine) publishLoad(ctx context.Context) {
	if e.options.LoadLag <= 0 {
		return
	}
	ticker := time.NewTicker(e.options.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			e.mu.Lock()
			e.publishedLoad = e.measureLoad()
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// currentLoad returns the published load report, which is at most LoadLag old.
// Without a lag, or before the first report, it measures the load.
func (e *Engine) currentLoad() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.LoadLag <= 0 || e.publishedLoad.AtMillis == 0 {
		return e.measureLoad()
	}
	return e.publishedLoad
}

func (e *Engine) measureLoad() Load {
	l := Load{AtMillis: time.Now().UnixMilli()}
	for _, s := range e.running {
		l.add(s)
		l.Running++
	}
	for _, s := range e.waiting {
		l.add(s)
		l.Waiting++
	}
	return l
}

func (l *Load) add(s *stream) {
	p := s.progress()
	if p.finishReason != "" {
		return
	}
	l.PrefillTokens += s.prefillLeft
	l.DecodeTokens += s.maxOutputTokens - p.outputTokens
}
