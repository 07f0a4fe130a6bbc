package front_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/primrosemoor/primrosemoor/dispatch"
	"github.com/primrosemoor/primrosemoor/engine"
	"github.com/primrosemoor/primrosemoor/front"
	"github.com/primrosemoor/primrosemoor/schema"
)

const (
	benchStreams  = 100
	benchTokens   = 100
	benchPrefill  = 20 * time.Millisecond
	benchInterval = 20 * time.Millisecond
	// Bounds of the histograms, in microseconds.
	maxMicros = 10_000_000
	digits    = 3
)

// clock is the zero of the times that the bench target writes into events.
var clock = time.Now()

// pacedTarget streams tokens at a fixed pace; each event holds its own time.
func pacedTarget(prefill, interval time.Duration, tokens int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(engine.HeaderStreamID, r.Header.Get(engine.HeaderRequestID))
		flusher := w.(http.Flusher)
		flusher.Flush()
		start := time.Now()
		for i := 1; i <= tokens; i++ {
			time.Sleep(time.Until(start.Add(prefill + time.Duration(i-1)*interval)))
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"c\",\"created\":%d,\"model\":\"m\",\"choices\":[{\"index\":0,"+
				"\"delta\":{\"content\":\"token \"},\"finish_reason\":null}]}\n\n", i, time.Since(clock).Microseconds())
			flusher.Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"c\",\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}],"+
			"\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", tokens+1, tokens)
	})
}

// fixedPermits grants the one target at once.
type fixedPermits struct{ address string }

func (p fixedPermits) Acquire(context.Context, *schema.PermitRequest) (*schema.Permit, error) {
	return &schema.Permit{Target: "vm/llm", Group: "llm/a/0", Address: p.address, ValidFor: durationpb.New(time.Minute)}, nil
}

func (p fixedPermits) Return(*schema.PermitReturn) {}

// startPath starts a target and a node before it, and returns their addresses.
func startPath(tb testing.TB, target http.Handler) (direct, via string) {
	tb.Helper()
	server := httptest.NewServer(target)
	tb.Cleanup(server.Close)
	signer, err := dispatch.NewSigner("")
	if err != nil {
		tb.Fatal(err)
	}
	x := newFixture(tb, func(o *front.Options) {
		o.Signer = signer
		o.Dispatcher = dispatch.New(dispatch.Options{Node: "n1", Signer: signer,
			Permits: fixedPermits{server.Listener.Addr().String()}, Engine: engine.NewClient(engine.Options{})})
	})
	return server.URL, x.server.URL
}

// stream runs one chat and notes the time to the first event, and of each
// event the time since the target wrote it.
func stream(tb testing.TB, client *http.Client, url, id string, first, delay *hdrhistogram.Histogram, mu *sync.Mutex) {
	start := time.Now()
	resp, err := client.Do(benchRequest(tb, url, id, true))
	if err != nil {
		tb.Error(err)
		return
	}
	defer resp.Body.Close()
	reader := engine.NewEventReader(resp.Body)
	for i := 0; ; i++ {
		event, err := reader.Next()
		if err != nil || event.Done() {
			if i != benchTokens+1 {
				tb.Errorf("%s ended after %d events: %v", id, i, err)
			}
			return
		}
		now := time.Now()
		mu.Lock()
		if i == 0 {
			_ = first.RecordValue(now.Sub(start).Microseconds())
		}
		if written, ok := writtenAt(string(event.Data)); ok {
			_ = delay.RecordValue(now.Sub(clock).Microseconds() - written)
		}
		mu.Unlock()
	}
}

func writtenAt(data string) (int64, bool) {
	_, rest, ok := strings.Cut(data, `"created":`)
	if !ok {
		return 0, false
	}
	number, _, _ := strings.Cut(rest, ",")
	micros, err := strconv.ParseInt(number, 10, 64)
	return micros, err == nil
}

func benchRequest(tb testing.TB, url, id string, stream bool) *http.Request {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"which walk suits a child?"}],"stream":%t}`, stream)
	req, err := http.NewRequest("POST", url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		tb.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+guestKey)
	req.Header.Set(engine.HeaderRequestID, id)
	return req
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams}}
}

// BenchmarkAddedTime runs 100 streams through the node beside 100 to the same
// target, and reports what the node adds to the 99th percentiles.
func BenchmarkAddedTime(b *testing.B) {
	direct, via := startPath(b, pacedTarget(benchPrefill, benchInterval, benchTokens))
	urls := []string{direct, via}
	var first, delay [2]*hdrhistogram.Histogram
	var mu [2]sync.Mutex
	for i := range urls {
		first[i] = hdrhistogram.New(1, maxMicros, digits)
		delay[i] = hdrhistogram.New(1, maxMicros, digits)
	}
	client := newClient()
	round := func() {
		var wg sync.WaitGroup
		for s := range benchStreams {
			// Arrivals are spread over one interval, as callers' are.
			time.Sleep(benchInterval / benchStreams)
			for i, url := range urls {
				wg.Go(func() { stream(b, client, url, fmt.Sprint("r", s), first[i], delay[i], &mu[i]) })
			}
		}
		wg.Wait()
	}
	round() // Opens the connections.
	for i := range urls {
		first[i].Reset()
		delay[i].Reset()
	}
	for b.Loop() {
		round()
	}
	for _, p := range []float64{50, 99} {
		name := strconv.Itoa(int(p))
		b.ReportMetric(micros(first[0], p), "direct-first-p"+name+"-us")
		b.ReportMetric(micros(first[1], p)-micros(first[0], p), "added-first-p"+name+"-us")
		b.ReportMetric(micros(delay[0], p), "direct-token-p"+name+"-us")
		b.ReportMetric(micros(delay[1], p)-micros(delay[0], p), "added-token-p"+name+"-us")
	}
}

func micros(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile))
}

// processorTime returns the process's time in user and system mode, which
// other processes on the machine change little.
func processorTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest compares streamed requests to the target with the same
// through the node; the difference is the node's own cost.
func BenchmarkRequest(b *testing.B) {
	direct, via := startPath(b, pacedTarget(0, 0, 16))
	for _, c := range []struct{ name, url string }{{"direct", direct}, {"node", via}} {
		b.Run(c.name, func(b *testing.B) {
			client := newClient()
			b.ReportAllocs()
			before := processorTime(b)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					resp, err := client.Do(benchRequest(b, c.url, "r", true))
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			})
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
