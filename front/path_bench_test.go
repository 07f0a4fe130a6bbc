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
	// Maximum value in microseconds and significant digits of the histograms.
	maxMicros = 10_000_000
	digits    = 3
)

// epoch is the origin of the timestamps that the benchmark target writes into
// events.
var epoch = time.Now()

// pacedTarget streams tokens at a fixed rate; each event contains the time at
// which it was written.
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
				"\"delta\":{\"content\":\"token \"},\"finish_reason\":null}]}\n\n", i, time.Since(epoch).Microseconds())
			flusher.Flush()
		}
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"c\",\"choices\":[{\"delta\":{},\"finish_reason\":\"length\"}],"+
			"\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", tokens+1, tokens)
	})
}

// fixedPermits immediately grants a permit for the only target.
type fixedPermits struct{ address string }

func (p fixedPermits) Acquire(context.Context, *schema.PermitRequest) (*schema.Permit, error) {
	return &schema.Permit{Target: "vm/llm", Group: "llm/a/0", Address: p.address, ValidFor: durationpb.New(time.Minute)}, nil
}

func (p fixedPermits) Return(*schema.PermitReturn) {}

// startTargetAndNode starts a target and a node in front of it, and returns their
// URLs.
func startTargetAndNode(tb testing.TB, target http.Handler) (direct, viaNode string) {
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

// measureStream runs one streamed chat completion. It records the time to the
// first event, and for each event the time since the target wrote it.
func measureStream(tb testing.TB, client *http.Client, url, id string, first, latency *hdrhistogram.Histogram, mu *sync.Mutex) {
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
		if written, ok := parseWriteTime(string(event.Data)); ok {
			_ = latency.RecordValue(now.Sub(epoch).Microseconds() - written)
		}
		mu.Unlock()
	}
}

func parseWriteTime(data string) (int64, bool) {
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

// BenchmarkAddedTime runs 100 streams through the node alongside 100 directly to
// the same target, and reports the latency that the node adds to the 50th and
// 99th percentiles.
func BenchmarkAddedTime(b *testing.B) {
	direct, viaNode := startTargetAndNode(b, pacedTarget(benchPrefill, benchInterval, benchTokens))
	urls := []string{direct, viaNode}
	var first, latency [2]*hdrhistogram.Histogram
	var mu [2]sync.Mutex
	for i := range urls {
		first[i] = hdrhistogram.New(1, maxMicros, digits)
		latency[i] = hdrhistogram.New(1, maxMicros, digits)
	}
	client := newClient()
	round := func() {
		var wg sync.WaitGroup
		for s := range benchStreams {
			// Spreads arrivals over one interval, like those of independent callers.
			time.Sleep(benchInterval / benchStreams)
			for i, url := range urls {
				wg.Go(func() { measureStream(b, client, url, fmt.Sprint("r", s), first[i], latency[i], &mu[i]) })
			}
		}
		wg.Wait()
	}
	round() // Warm-up that opens the connections.
	for i := range urls {
		first[i].Reset()
		latency[i].Reset()
	}
	for b.Loop() {
		round()
	}
	for _, p := range []float64{50, 99} {
		name := strconv.Itoa(int(p))
		b.ReportMetric(percentileMicros(first[0], p), "direct-first-p"+name+"-us")
		b.ReportMetric(percentileMicros(first[1], p)-percentileMicros(first[0], p), "added-first-p"+name+"-us")
		b.ReportMetric(percentileMicros(latency[0], p), "direct-token-p"+name+"-us")
		b.ReportMetric(percentileMicros(latency[1], p)-percentileMicros(latency[0], p), "added-token-p"+name+"-us")
	}
}

func percentileMicros(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile))
}

// cpuTime returns the CPU time of the process in user and system mode, which
// other load on the machine affects little.
func cpuTime(tb testing.TB) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkRequest compares streamed requests sent directly to the target with
// the same requests through the node; the difference is the node's CPU cost.
func BenchmarkRequest(b *testing.B) {
	direct, viaNode := startTargetAndNode(b, pacedTarget(0, 0, 16))
	for _, c := range []struct{ name, url string }{{"direct", direct}, {"node", viaNode}} {
		b.Run(c.name, func(b *testing.B) {
			client := newClient()
			b.ReportAllocs()
			before := cpuTime(b)
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
			used := cpuTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}
