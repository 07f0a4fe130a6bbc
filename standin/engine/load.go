package engine

import (
	"context"
	"time"
)

// publishLoad replaces the published report once per lag.
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
			e.reported = e.measureLoad()
			e.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// load returns the published report, at most one lag old.
func (e *Engine) load() Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.LoadLag <= 0 || e.reported.AtMillis == 0 {
		return e.measureLoad()
	}
	return e.reported
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
	if p.finish != "" {
		return
	}
	l.PrefillTokens += s.prefillLeft
	l.DecodeTokens += s.maxOutput - p.output
}
