package dispatch

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	// maxFailedResumes bounds the resumes that bring no new event.
	maxFailedResumes = 8
	// maxRefusedResumes bounds the resumes whose connection is refused: a
	// process that has ended took its streams along.
	maxRefusedResumes = 3
	resumeInterval    = 20 * time.Millisecond
	maxResumePause    = time.Second
	// Sizes of event buffers, in bytes.
	initialBuffer   = 1 << 10
	maxPooledBuffer = 16 << 10
)

var (
	errGap          = errors.New("dispatch: an event is missing in the stream")
	errNoResume     = errors.New("dispatch: the stream cannot be resumed")
	errCutShort     = errors.New("dispatch: the stream ended without its end marker")
	errCallerHungUp = errors.New("dispatch: the caller hung up")
	errCancelled    = errors.New("dispatch: the stream was cancelled at the target")
	errUnusable     = errors.New("dispatch: the target's answer cannot be used")
)

// bufferPool keeps the event buffers of ended deliveries.
var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialBuffer)
	return &buffer
}}

// delivery carries one stream from a target to the caller, across broken
// connections.
type delivery struct {
	run     *run
	address string
	target  string
	id      string
	stream  *engine.Stream
	// last is the index of the last event delivered; streams whose events have
	// no index cannot be resumed.
	last       uint64
	unnumbered bool
	// failed counts resumes since the last new event.
	failed    int
	assembler engine.Assembler
	buffer    []byte
	// permitResult is how the permit ended after a failed delivery.
	permitResult schema.PermitResult
}

// deliver reads the stream to its end. On failure the caller has been told if
// its answer had begun.
func (d *delivery) deliver() error {
	defer d.close()
	d.startAnswer()
	err := d.readAll()
	if err == nil {
		return d.endAnswer()
	}
	if errors.Is(err, errCallerHungUp) {
		d.run.result.CallerGone = true
		d.permitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
		return callerGone().Unknown()
	}
	reported := d.failure(err)
	d.failAnswer(reported)
	return reported
}

func (d *delivery) close() {
	d.stream.Close()
	if cap(d.buffer) <= maxPooledBuffer {
		buffer := d.buffer[:0]
		bufferPool.Put(&buffer)
	}
	d.buffer = nil
}

// failure returns the error to report. Only a target that broke off counts as
// failed: its owner suspects the request of having ended it.
func (d *delivery) failure(err error) error {
	d.permitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
	if d.run.work.Err() != nil {
		return targetFailed(err, "the answer took longer than allowed")
	}
	if errors.Is(err, errCancelled) {
		return streamEndedEarly()
	}
	d.permitResult = failureResult(err)
	return targetFailed(err, "the target's stream broke off and could not be resumed")
}

// readAll reads events, resuming the stream when a connection breaks.
func (d *delivery) readAll() error {
	for {
		err := d.readConnection()
		if err == nil || errors.Is(err, errCancelled) || errors.Is(err, errUnusable) {
			return err
		}
		if d.callerLeft() {
			return errCallerHungUp
		}
		if err := d.resume(err); err != nil {
			return err
		}
	}
}

// callerLeft reports whether nobody waits for the stream any more.
func (d *delivery) callerLeft() bool {
	if d.run.detached() {
		return false
	}
	return d.run.caller.Err() != nil || d.run.answer.gone
}

// readConnection reads the present connection until the stream's end marker,
// for which it returns nil, or until it breaks.
func (d *delivery) readConnection() error {
	stream := d.stream
	var stalled atomic.Bool
	stallTimeout := d.run.dispatcher.options.StallTimeout
	timer := time.AfterFunc(stallTimeout, func() {
		// Silence is no failure of the target: the stream is read again.
		stalled.Store(true)
		stream.Interrupt()
	})
	defer timer.Stop()
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return errCutShort
		}
		if err != nil && stalled.Load() {
			d.failed = 0
		}
		if err != nil {
			return err
		}
		timer.Reset(stallTimeout)
		if event.Done() {
			return d.flushBuffer()
		}
		if err := d.accept(event); err != nil {
			return err
		}
		if stream.Buffered() && len(d.buffer) < maxEventBuffers {
			continue
		}
		if err := d.flushBuffer(); err != nil {
			return err
		}
	}
}

// accept takes one event in its order; one that was delivered before is
// dropped.
func (d *delivery) accept(event engine.Event) error {
	switch {
	case event.ID == 0:
		d.unnumbered = true
	case event.ID <= d.last:
		return nil
	case event.ID != d.last+1:
		return errGap
	default:
		d.last = event.ID
	}
	d.failed = 0
	return d.take(event)
}

// take delivers a new event.
func (d *delivery) take(event engine.Event) error {
	r := d.run
	end, ended := engine.ParseChunkEnd(event.Data)
	if ended && end.Usage != nil {
		r.result.PromptTokens = end.Usage.PromptTokens
		r.result.CachedTokens = end.Usage.PromptDetails.CachedTokens
		r.result.OutputTokens = end.Usage.CompletionTokens
	}
	if ended && end.FinishReason == engine.FinishCancelled {
		return errCancelled
	}
	if !ended || end.HasToken {
		r.timing.token(time.Now())
	}
	if !ended || (end.HasToken && end.Usage == nil) {
		r.result.OutputTokens++
	}
	if !r.request.Stream {
		return d.assemble(event.Data)
	}
	if ended && end.UsageOnly && !r.request.IncludeUsage {
		return nil
	}
	d.buffer = engine.AppendEvent(d.buffer, event)
	return nil
}

func (d *delivery) assemble(data []byte) error {
	if err := d.assembler.Add(data); err != nil {
		return errors.Join(errUnusable, err)
	}
	return nil
}

// flushBuffer sends what has been taken to the caller.
func (d *delivery) flushBuffer() error {
	if len(d.buffer) == 0 {
		return nil
	}
	d.run.answer.write(d.buffer)
	d.run.answer.flush()
	d.buffer = d.buffer[:0]
	if d.callerLeft() {
		return errCallerHungUp
	}
	return nil
}

// resume opens the stream again after the last delivered event. It gives up
// when the target no longer knows the stream.
func (d *delivery) resume(cause error) error {
	d.stream.Close()
	if err := d.flushBuffer(); err != nil {
		return err
	}
	if d.id == "" || d.unnumbered {
		return errors.Join(errNoResume, cause)
	}
	pause := backoff.ExponentialBackOff{
		InitialInterval:     resumeInterval,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxResumePause,
	}
	refused := 0
	for d.failed < maxFailedResumes && refused < maxRefusedResumes {
		d.failed++
		stream, err := d.run.dispatcher.options.Engine.ResumeChat(d.run.work, d.address, d.id, d.last)
		if err == nil {
			d.run.result.Resumes++
			d.stream = stream
			return nil
		}
		var status *engine.StatusError
		if errors.As(err, &status) && status.Status < http.StatusInternalServerError {
			return errors.Join(errNoResume, cause, err)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refused++
		}
		cause = err
		if err := d.waitToResume(pause.NextBackOff()); err != nil {
			return err
		}
	}
	return errors.Join(errNoResume, cause)
}

func (d *delivery) waitToResume(pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-d.run.work.Done():
		if d.callerLeft() {
			return errCallerHungUp
		}
		return d.run.work.Err()
	}
}
