// Package record defines and writes the log in which target stand-ins record each
// run of a request, one JSON line for its start and one for its end.
package record

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// Kind is the type of the event in a line.
type Kind string

// Kinds of lines.
const (
	KindStart   Kind = "start"
	KindEnd     Kind = "end"
	KindLeaving Kind = "leaving"
)

// Result is how a run ended.
type Result string

// Results of a run.
const (
	ResultDone      Result = "done"
	ResultCancelled Result = "cancelled"
	ResultCrashed   Result = "crashed"
)

// Line is one recorded event of a target.
type Line struct {
	Kind      Kind   `json:"kind"`
	Target    string `json:"target"`
	RequestID string `json:"request_id,omitempty"`
	Method    string `json:"method,omitempty"`
	Path      string `json:"path,omitempty"`
	// Run numbers the runs of one target process, so that the end of a run can be
	// matched to its start.
	Run            uint64 `json:"run,omitempty"`
	StartUnixNanos int64  `json:"start,omitempty"`
	EndUnixNanos   int64  `json:"end,omitempty"`
	PromptTokens   int    `json:"prompt_tokens,omitempty"`
	CachedTokens   int    `json:"cached_tokens,omitempty"`
	OutputTokens   int    `json:"output_tokens,omitempty"`
	Result         Result `json:"result,omitempty"`
}

// Recorder appends lines to a file. It is safe for concurrent use. The zero value
// discards all lines.
type Recorder struct {
	target string

	mu   sync.Mutex
	file *os.File
	runs uint64
}

// NewRecorder opens the file for appending. With an empty path the Recorder
// discards all lines.
func NewRecorder(target, path string) (*Recorder, error) {
	r := &Recorder{target: target}
	if path == "" {
		return r, nil
	}
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open record file: %w", err)
	}
	r.file = file
	return r, nil
}

// Start writes the start of a run and returns its line, to be passed to End.
func (r *Recorder) Start(line Line) Line {
	r.mu.Lock()
	r.runs++
	line.Run = r.runs
	r.mu.Unlock()
	line.Kind = KindStart
	line.Target = r.target
	line.StartUnixNanos = time.Now().UnixNano()
	r.write(line)
	return line
}

// End writes the end of a run.
func (r *Recorder) End(line Line, result Result) {
	line.Kind = KindEnd
	line.EndUnixNanos = time.Now().UnixNano()
	line.Result = result
	r.write(line)
}

// Leaving records that the target announced that it is leaving.
func (r *Recorder) Leaving() {
	r.write(Line{Kind: KindLeaving, Target: r.target, StartUnixNanos: time.Now().UnixNano()})
}

func (r *Recorder) write(line Line) {
	if r.file == nil {
		return
	}
	text, err := json.Marshal(line)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.file.Write(append(text, '\n'))
}
