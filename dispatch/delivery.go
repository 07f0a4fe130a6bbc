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
	// maxFailedResumes limits consecutive resumes that bring no new event.
	maxFailedResumes = 8
	// maxRefusedResumes limits resumes whose connection is refused: the streams
	// of a target are lost when its process ends.
	maxRefusedResumes  = 3
	initialResumeDelay = 20 * time.Millisecond
	maxResumeDelay     = time.Second
	// Sizes of event buffers, in bytes.
	initialBufferSize   = 1 << 10
	maxPooledBufferSize = 16 << 10
)

var (
	errMissingEvent       = errors.New("dispatch: an event is missing in the stream")
	errNotResumable       = errors.New("dispatch: the stream cannot be resumed")
	errNoEndMarker        = errors.New("dispatch: the stream ended without its end marker")
	errCallerDisconnected = errors.New("dispatch: the caller hung up")
	errStreamCancelled    = errors.New("dispatch: the stream was cancelled at the target")
	errInvalidResponse    = errors.New("dispatch: the target's answer cannot be used")
)

// bufferPool holds the event buffers of finished deliveries for reuse.
var bufferPool = sync.Pool{New: func() any {
	buffer := make([]byte, 0, initialBufferSize)
	return &buffer
}}

// delivery forwards one stream from a target to the caller, across broken
// connections.
type delivery struct {
	run      *run
	address  string
	target   string
	streamID string
	stream   *engine.Stream
	// lastEventID is the index of the last event delivered.
	lastEventID uint64
	// unnumbered is set if an event had no index. The stream then cannot be
	// resumed.
	unnumbered bool
	// failedResumes counts resumes since the last new event or stall.
	failedResumes int
	assembler     engine.Assembler
	buffer        []byte
	// permitResult is the result of the permit after a failed delivery.
	permitResult schema.PermitResult
}

// deliver reads the stream to its end. If it fails after the response has
// started, the error has already been reported to the caller.
func (d *delivery) deliver() error {
	defer d.close()
	d.startResponse()
	err := d.readToEnd()
	if err == nil {
		return d.finishResponse()
	}
	if errors.Is(err, errCallerDisconnected) {
		d.run.result.CallerDisconnected = true
		d.permitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
		return callerGoneError().WithOutcomeUnknown()
	}
	reported := d.reportedError(err)
	d.sendErrorEvent(reported)
	return reported
}

func (d *delivery) close() {
	d.stream.Close()
	if cap(d.buffer) <= maxPooledBufferSize {
		buffer := d.buffer[:0]
		bufferPool.Put(&buffer)
	}
	d.buffer = nil
}

// reportedError returns the error to report and sets the permit result. Only a
// broken connection counts as a failure of the target, because the target's
// owner then suspects that the request caused the failure.
func (d *delivery) reportedError(err error) error {
	d.permitResult = schema.PermitResult_PERMIT_RESULT_CANCELLED
	if d.run.targetCtx.Err() != nil {
		return targetFailedError(err, "the answer took longer than allowed")
	}
	if errors.Is(err, errStreamCancelled) {
		return streamCancelledError()
	}
	d.permitResult = targetFailureResult(err)
	return targetFailedError(err, "the target's stream broke off and could not be resumed")
}

// readToEnd reads events and resumes the stream when a connection breaks.
func (d *delivery) readToEnd() error {
	for {
		err := d.readConnection()
		if err == nil || errors.Is(err, errStreamCancelled) || errors.Is(err, errInvalidResponse) {
			return err
		}
		if d.callerDisconnected() {
			return errCallerDisconnected
		}
		if err := d.resume(err); err != nil {
			return err
		}
	}
}

// callerDisconnected reports whether the caller has hung up and the work is not
// detached.
func (d *delivery) callerDisconnected() bool {
	if d.run.detached() {
		return false
	}
	return d.run.callerCtx.Err() != nil || d.run.response.callerGone
}

// readConnection reads the current connection. It returns nil at the stream's
// end marker and an error if the connection breaks first.
func (d *delivery) readConnection() error {
	stream := d.stream
	var stalled atomic.Bool
	stallTimeout := d.run.dispatcher.options.StallTimeout
	timer := time.AfterFunc(stallTimeout, func() {
		// A stall is not a failure of the target: the stream is resumed on a new
		// connection.
		stalled.Store(true)
		stream.Interrupt()
	})
	defer timer.Stop()
	for {
		event, err := stream.Next()
		if err == io.EOF {
			return errNoEndMarker
		}
		if err != nil && stalled.Load() {
			d.failedResumes = 0
		}
		if err != nil {
			return err
		}
		timer.Reset(stallTimeout)
		if event.Done() {
			return d.flushBuffer()
		}
		if err := d.acceptEvent(event); err != nil {
			return err
		}
		if stream.Buffered() && len(d.buffer) < maxBufferedBytes {
			continue
		}
		if err := d.flushBuffer(); err != nil {
			return err
		}
	}
}

// acceptEvent delivers the event that follows lastEventID. It drops events that
// were already delivered and fails if one is missing.
func (d *delivery) acceptEvent(event engine.Event) error {
	switch {
	case event.ID == 0:
		d.unnumbered = true
	case event.ID <= d.lastEventID:
		return nil
	case event.ID != d.lastEventID+1:
		return errMissingEvent
	default:
		d.lastEventID = event.ID
	}
	d.failedResumes = 0
	return d.deliverEvent(event)
}

// deliverEvent records the usage and timing of a new event and buffers it for
// the caller.
func (d *delivery) deliverEvent(event engine.Event) error {
	r := d.run
	metadata, parsed := engine.ParseChunkMetadata(event.Data)
	if parsed && metadata.Usage != nil {
		r.result.PromptTokens = metadata.Usage.PromptTokens
		r.result.CachedTokens = metadata.Usage.PromptDetails.CachedTokens
		r.result.OutputTokens = metadata.Usage.CompletionTokens
	}
	if parsed && metadata.FinishReason == engine.FinishCancelled {
		return errStreamCancelled
	}
	if !parsed || metadata.HasToken {
		r.timing.recordToken(time.Now())
	}
	if !parsed || (metadata.HasToken && metadata.Usage == nil) {
		r.result.OutputTokens++
	}
	if !r.request.Stream {
		return d.assemble(event.Data)
	}
	if parsed && metadata.UsageOnly && !r.request.IncludeUsage {
		return nil
	}
	d.buffer = engine.AppendEvent(d.buffer, event)
	return nil
}

func (d *delivery) assemble(data []byte) error {
	if err := d.assembler.Add(data); err != nil {
		return errors.Join(errInvalidResponse, err)
	}
	return nil
}

// flushBuffer sends the buffered events to the caller.
func (d *delivery) flushBuffer() error {
	if len(d.buffer) == 0 {
		return nil
	}
	d.run.response.write(d.buffer)
	d.run.response.flush()
	d.buffer = d.buffer[:0]
	if d.callerDisconnected() {
		return errCallerDisconnected
	}
	return nil
}

// resume reopens the stream after the last delivered event. It fails when the
// target no longer knows the stream.
func (d *delivery) resume(cause error) error {
	d.stream.Close()
	if err := d.flushBuffer(); err != nil {
		return err
	}
	if d.streamID == "" || d.unnumbered {
		return errors.Join(errNotResumable, cause)
	}
	resumeBackoff := backoff.ExponentialBackOff{
		InitialInterval:     initialResumeDelay,
		RandomizationFactor: backoff.DefaultRandomizationFactor,
		Multiplier:          2,
		MaxInterval:         maxResumeDelay,
	}
	refusedResumes := 0
	for d.failedResumes < maxFailedResumes && refusedResumes < maxRefusedResumes {
		d.failedResumes++
		stream, err := d.run.dispatcher.options.Engine.ResumeChat(d.run.targetCtx, d.address, d.streamID, d.lastEventID)
		if err == nil {
			d.run.result.Resumes++
			d.stream = stream
			return nil
		}
		var status *engine.StatusError
		if errors.As(err, &status) && status.Status < http.StatusInternalServerError {
			return errors.Join(errNotResumable, cause, err)
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			refusedResumes++
		}
		cause = err
		if err := d.waitBeforeResume(resumeBackoff.NextBackOff()); err != nil {
			return err
		}
	}
	return errors.Join(errNotResumable, cause)
}

func (d *delivery) waitBeforeResume(delay time.Duration) error {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-d.run.targetCtx.Done():
		if d.callerDisconnected() {
			return errCallerDisconnected
		}
		return d.run.targetCtx.Err()
	}
}
