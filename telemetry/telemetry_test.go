package telemetry_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/primrosemoor/primrosemoor/peer"
	"github.com/primrosemoor/primrosemoor/schema"
	"github.com/primrosemoor/primrosemoor/telemetry"
)

var _ peer.Meter = (*telemetry.Telemetry)(nil)

func TestMetricsAreServedByTier(t *testing.T) {
	is := is.New(t)
	m, err := telemetry.New()
	is.NoErr(err)
	m.RecordRequest(telemetry.Request{Tier: "guest", Service: "llm", Result: "completed", Delivered: true,
		Dispatched: true, PromptTokens: 100, CachedTokens: 40, OutputTokens: 7, FirstToken: time.Second,
		Gaps: []time.Duration{20 * time.Millisecond}})
	m.RecordRequest(telemetry.Request{Tier: "batch", Service: "llm", Result: "target-failed",
		Dispatched: true, PromptTokens: 100, CachedTokens: 40})
	m.RecordRequest(telemetry.Request{Tier: "batch", Service: "llm", Result: "overloaded", PromptTokens: 100})
	m.CountCall(schema.Method_METHOD_PERMIT, 10, 20)
	is.NoErr(m.ObserveQueues(func() []telemetry.QueueDepth {
		return []telemetry.QueueDepth{{Service: "llm", Tier: "guest", Waiting: 3}}
	}))
	is.NoErr(m.ObservePlatform(func() telemetry.PlatformUsage {
		return telemetry.PlatformUsage{Calls: 5, BytesSent: 6, BytesReceived: 7}
	}))
	m.CountPermit(schema.PermitResult_PERMIT_RESULT_REFUSED)
	m.CountClaim(schema.ClaimState_CLAIM_STATE_NEW)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	text := w.Body.String()
	for _, want := range []string{
		`primrosemoor_goodput_requests_total{tier="guest"} 1`,
		`primrosemoor_goodput_tokens_total{tier="guest"} 7`,
		`primrosemoor_prefill_wasted_tokens_total{tier="batch"} 60`,
		`primrosemoor_first_token_seconds_count{tier="guest"} 1`,
		`primrosemoor_inter_token_seconds_count{tier="guest"} 1`,
		`primrosemoor_peer_received_bytes_total{method="METHOD_PERMIT"} 20`,
		`primrosemoor_queue_requests{service="llm",tier="guest"} 3`,
		`primrosemoor_platform_calls_total 5`,
		`primrosemoor_platform_received_bytes_total 7`,
		`primrosemoor_permits_total{result="PERMIT_RESULT_REFUSED"} 1`,
		`primrosemoor_ledger_claims_total{state="CLAIM_STATE_NEW"} 1`,
		`process_cpu_seconds_total`,
		`process_resident_memory_bytes`,
	} {
		if !strings.Contains(text, want) {
			t.Errorf("missing %s in:\n%s", want, text)
		}
	}
}
